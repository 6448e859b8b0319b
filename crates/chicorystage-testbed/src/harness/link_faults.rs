/// Faults on the link from one process to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Whether every connection is refused, which the sender observes.
    pub cut_off: bool,
    /// Share of connections that are refused before delivery, in percent.
    pub refused_percent: u32,
    /// Share of requests that are delivered but whose response is lost, in percent.
    pub answer_lost_percent: u32,
    /// Share of streams that close after some frames, in percent.
    pub stream_cut_percent: u32,
    /// Share of streams that stay open but stop sending after some frames, in percent.
    pub stream_silent_percent: u32,
    /// Longest delay of a request, a response or a frame, in milliseconds.
    pub delay_max_ms: u64,
}
