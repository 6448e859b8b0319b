//! Scripts of the stub agents: what an agent does with an attempt, and how connections fail.

use chicorystage_api::name::VmId;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::{AttemptRequest, EndSummary, Payload};

/// How one connection fails while its attempt goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// The connection does not fail.
    Never,
    /// The connection is closed after this many frames.
    Cut(usize),
    /// The connection stays open, but nothing is sent after this many frames, not even heartbeats.
    Silent(usize),
    /// The frame after this many frames is missing; the later ones are sent.
    Gap(usize),
    /// Every frame is sent twice, preceded by a frame with another attempt's number.
    Echo,
    /// Only heartbeats are sent after this many frames.
    Stalls(usize),
}

/// What an agent does with an attempt that a router starts.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// The start fails, and the agent has certainly not received the attempt.
    NotDelivered,
    /// The start fails with an unknown outcome, and the agent has no record of the attempt later.
    Unknown,
    /// The agent answers with these frames. Each connection, the first one and those that resume
    /// it, takes the next fault of the list; connections after the last fault do not fail.
    Answer(Vec<Payload>, Vec<ConnectionFault>),
}

/// Decides what an agent does with an attempt.
pub trait Script: Fn(&AttemptRequest, &VmId) -> AgentAction + Send + Sync + 'static {}

impl<F: Fn(&AttemptRequest, &VmId) -> AgentAction + Send + Sync + 'static> Script for F {}

impl AgentAction {
    /// Returns a complete answer of these tokens.
    pub fn answer(tokens: &[&str]) -> Self {
        Self::answer_with_faults(tokens, &[])
    }

    /// Returns a complete answer over connections that fail in this order.
    pub fn answer_with_faults(tokens: &[&str], faults: &[ConnectionFault]) -> Self {
        Self::Answer(text_frames(tokens), faults.to_vec())
    }

    /// Returns a refusal after these tokens.
    pub fn refuse(tokens: &[&str], refusal: Refusal) -> Self {
        let mut frames = text_frames(tokens);
        frames.pop();
        frames.push(Payload::Refused(refusal));
        Self::Answer(frames, Vec::new())
    }
}

/// Returns the frames of a complete answer.
pub fn text_frames(tokens: &[&str]) -> Vec<Payload> {
    let tokens = tokens.iter().map(|token| Payload::Token((*token).into()));
    let end = Payload::End(EndSummary::default());
    tokens.chain([end]).collect()
}
