use crate::replay::idle_policy::{FixedIdle, IdlePolicy, LearnedIdle};

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;
/// Keep-alive longer than any trace, in milliseconds.
const FOREVER_MS: u64 = 1 << 50;

/// A scheduling policy to replay: the product's own or a baseline.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag switches one feature on or off, independently of the others"
)]
pub struct Policy {
    /// Name on the command line and in tables.
    pub name: &'static str,
    /// Whether it is a fixed keep-alive, the kind of baseline that expected outcomes compare with.
    pub is_fixed_keep_alive: bool,
    /// Whether requests run in arrival order, regardless of class, deadline and caller.
    pub first_come: bool,
    /// Whether the weights of every model are cached on its first slot's VM before they are used.
    pub seeds_caches: bool,
    /// Whether slots are placed on random VMs.
    pub random_placement: bool,
    pub(crate) idle: Box<dyn IdlePolicy>,
}

impl Policy {
    /// Returns the product's policy, named `learned`.
    #[must_use]
    pub fn learned() -> Self {
        Self {
            name: "learned",
            is_fixed_keep_alive: false,
            first_come: false,
            seeds_caches: true,
            random_placement: false,
            idle: Box::new(LearnedIdle),
        }
    }

    /// Returns the product's policy, followed by every baseline.
    #[must_use]
    pub fn all() -> Vec<Self> {
        vec![
            Self::learned(),
            Self::fixed("keep-1m", MINUTE_MS),
            Self::fixed("keep-5m", 5 * MINUTE_MS),
            Self::fixed("keep-15m", 15 * MINUTE_MS),
            Self::fixed("keep-60m", 60 * MINUTE_MS),
            Self::fixed("never-unload", FOREVER_MS),
            Self::fixed("unload-at-once", 0),
            Self {
                name: "learned-unseeded",
                seeds_caches: false,
                ..Self::learned()
            },
            Self {
                name: "first-come",
                first_come: true,
                ..Self::learned()
            },
            Self {
                name: "random-placement",
                random_placement: true,
                ..Self::learned()
            },
        ]
    }

    fn fixed(name: &'static str, keep_alive_ms: u64) -> Self {
        Self {
            name,
            is_fixed_keep_alive: true,
            seeds_caches: false,
            idle: Box::new(FixedIdle { keep_alive_ms }),
            ..Self::learned()
        }
    }
}
