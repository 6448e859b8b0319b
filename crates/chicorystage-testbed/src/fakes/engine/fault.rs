use chicorystage_api::name::Digest;
use serde::{Deserialize, Serialize};

/// Fault that a test injects into a [`FakeEngine`](crate::fakes::FakeEngine).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineFault {
    /// The engine crashes now and restarts with empty memory.
    Crash,
    /// The engine crashes during its next model load, after half the remote load time.
    CrashMidLoad,
    /// The engine crashes after some tokens of the next completion.
    CrashMidAnswer {
        /// Number of tokens that are generated before the crash.
        tokens: u64,
    },
    /// The engine crashes whenever it runs work with a digest.
    CrashOnDigest {
        /// Digest that identifies the work.
        digest: Digest,
    },
    /// The engine crashes whenever it runs a prompt that contains a text.
    CrashOnPrompt {
        /// Text that triggers the crash.
        text: String,
    },
    /// The next orders take effect, but their responses are lost.
    LostOrderAnswers {
        /// Number of orders.
        orders: u32,
    },
    /// The response to the next order is lost, and the order starts after a delay.
    LateOrder {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// All open streams are cut; the completions continue and can be resumed.
    CutStreams,
    /// All streams, open or finished, are removed and their completions cancelled.
    ForgetStreams,
    /// All injected faults that are still active are removed.
    Clear,
}
