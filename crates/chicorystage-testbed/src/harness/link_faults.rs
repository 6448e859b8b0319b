/// What goes wrong on the way between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Nothing goes through, and both sides can tell.
    pub cut_off: bool,
    /// Share of connections that are refused, in percent.
    pub refused_percent: u32,
    /// Share of requests whose response is lost after delivery, in percent.
    pub answer_lost_percent: u32,
    /// Share of streams that are cut after some frames, in percent.
    pub stream_cut_percent: u32,
    /// Share of streams that go silent after some frames, in percent.
    pub stream_silent_percent: u32,
    /// Longest delay of a request, a response or a frame, in milliseconds.
    pub delay_max_ms: u64,
}
