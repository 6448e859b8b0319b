use chicorystage_api::name::Digest;
use serde::{Deserialize, Serialize};

/// Fault of a [`FakeEngine`](crate::fakes::FakeEngine).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineFault {
    /// The engine dies now and restarts with empty memory.
    Crash,
    /// The engine dies halfway through its next model load.
    CrashMidLoad,
    /// The engine dies after so many tokens of the next completion.
    CrashMidAnswer {
        /// Tokens that are generated before.
        tokens: u64,
    },
    /// The engine dies whenever it runs work of this digest.
    CrashOnDigest {
        /// Digest of the work.
        digest: Digest,
    },
    /// The engine dies whenever it runs a prompt that contains this text.
    CrashOnPrompt {
        /// Text within the prompt.
        text: String,
    },
    /// The next orders take effect and their answers are lost.
    LostOrderAnswers {
        /// Number of orders.
        orders: u32,
    },
    /// The next order is lost to its sender and begins this much later.
    LateOrder {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// All open streams are cut; the completions run on and can be resumed.
    CutStreams,
    /// All streams, open or finished, are forgotten.
    ForgetStreams,
    /// All faults that wait for something are taken back.
    Clear,
}
