use chicorystage_api::name::VmId;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::{AttemptRequest, EndSummary, Payload};

/// How one connection to an attempt ends before the attempt does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breaks {
    /// It does not.
    Never,
    /// It is closed after so many frames.
    Cut(usize),
    /// Nothing more comes after so many frames, not even heartbeats.
    Silent(usize),
    /// One frame is missing after so many.
    Gap(usize),
    /// Every frame comes twice, with one of an earlier attempt in between.
    Echo,
    /// Only heartbeats come after so many frames.
    Stalls(usize),
}

/// What an agent does with an attempt.
#[derive(Clone, Debug)]
pub enum Act {
    /// It never sees the attempt.
    NotDelivered,
    /// It may have seen it and knows nothing of it later.
    Unknown,
    /// It answers, over connections that break one after the other.
    Answer(Vec<Payload>, Vec<Breaks>),
}

/// Decides what agents do.
pub trait Script: Fn(&AttemptRequest, &VmId) -> Act + Send + Sync + 'static {}

impl<F: Fn(&AttemptRequest, &VmId) -> Act + Send + Sync + 'static> Script for F {}

impl Act {
    /// A whole answer of some tokens.
    pub fn whole(tokens: &[&str]) -> Self {
        Self::broken(tokens, &[])
    }

    /// A whole answer over connections that break.
    pub fn broken(tokens: &[&str], breaks: &[Breaks]) -> Self {
        Self::Answer(text_frames(tokens), breaks.to_vec())
    }

    /// A refusal after some tokens.
    pub fn refused(tokens: &[&str], refusal: Refusal) -> Self {
        let mut frames = text_frames(tokens);
        frames.pop();
        frames.push(Payload::Refused(refusal));
        Self::Answer(frames, Vec::new())
    }
}

/// Frames of a whole answer.
pub fn text_frames(tokens: &[&str]) -> Vec<Payload> {
    let tokens = tokens.iter().map(|token| Payload::Token((*token).into()));
    let end = Payload::End(EndSummary::default());
    tokens.chain([end]).collect()
}
