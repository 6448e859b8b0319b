use std::path::Path;
use std::time::Duration;

use crate::deployment::{Deployment, DeploymentConfig};
use crate::slopes::inventory::declare_inventory;
use crate::slopes::load::{Load, load_first_model};
use crate::slopes::measurement::{CounterSnapshot, Measurement};

/// Every axis, in the order in which the command measures them.
pub(super) const AXES: [Axis; 7] = [
    Axis::Inventory,
    Axis::Routers,
    Axis::Agents,
    Axis::Requests,
    Axis::ColdStarts,
    Axis::Claims,
    Axis::Changes,
];

/// Number of models where the inventory is not the varied quantity.
const DEFAULT_MODELS: u32 = 65;
/// Number of adapters where the inventory is not the varied quantity.
const DEFAULT_ADAPTERS: u32 = 100;
/// Number of models where each event needs one that was not used before.
const MODELS_FOR_FIRST_USES: u32 = 280;
/// Adapters per model in an inventory of the target size.
const ADAPTERS_PER_MODEL: u32 = 82;
/// Time for a deployment to become idle after its start, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// A quantity that is varied while the others stay constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Axis {
    /// Number of models in the inventory, with their adapters.
    Inventory,
    /// Number of routers.
    Routers,
    /// Number of agents.
    Agents,
    /// Completions per second by a model that is loaded.
    Requests,
    /// Cold starts per second.
    ColdStarts,
    /// Claims per second.
    Claims,
    /// Inventory changes per second.
    Changes,
}

impl Axis {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Inventory => "models",
            Self::Routers => "routers",
            Self::Agents => "agents",
            Self::Requests => "requests_per_s",
            Self::ColdStarts => "cold_starts_per_s",
            Self::Claims => "claims_per_s",
            Self::Changes => "changes_per_s",
        }
    }

    pub(super) fn sizes(self) -> &'static [u32] {
        match self {
            Self::Inventory => &[1, 70, 140, 280],
            Self::Routers => &[1, 4, 10, 20, 30],
            Self::Agents => &[4, 16, 32, 64],
            Self::Requests => &[0, 50, 150, 300],
            Self::ColdStarts => &[0, 1, 2, 4],
            Self::Claims => &[0, 25, 75, 150],
            Self::Changes => &[0, 1, 4, 8],
        }
    }

    /// Starts a deployment of one size and measures it for a number of seconds.
    ///
    /// Prints how many events of the load succeeded, where there is a load.
    pub(super) async fn measure(
        self,
        program: &Path,
        size: u32,
        seconds: u64,
    ) -> anyhow::Result<Measurement> {
        let mut deployment = Deployment::start(self.config(program, size)).await?;
        let (models, adapters) = self.inventory(size);
        declare_inventory(&deployment, models, adapters).await?;
        deployment.wait_until_ready().await?;
        if self == Self::Requests {
            load_first_model(&deployment).await?;
        }
        tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
        let per_s = if self.load() == Load::Idle { 0 } else { size };
        let before = CounterSnapshot::read(&deployment).await?;
        let succeeded = self.load().run(&deployment, per_s, seconds).await?;
        let after = CounterSnapshot::read(&deployment).await?;
        if per_s > 0 {
            let requested = u64::from(per_s) * seconds;
            println!("  {size:>6}: {succeeded} of {requested} events went well");
        }
        deployment.stop().await?;
        Ok(after.since(&before, seconds))
    }

    fn config(self, program: &Path, size: u32) -> DeploymentConfig {
        let mut config = DeploymentConfig::new(program.to_path_buf());
        let size = usize::try_from(size).unwrap_or(1);
        match self {
            Self::Routers => config.routers = size,
            Self::Agents => config.engines = size,
            _ => {}
        }
        config
    }

    fn inventory(self, size: u32) -> (u32, u32) {
        match self {
            Self::Inventory => (size, size * ADAPTERS_PER_MODEL),
            Self::ColdStarts | Self::Changes => (MODELS_FOR_FIRST_USES, DEFAULT_ADAPTERS),
            _ => (DEFAULT_MODELS, DEFAULT_ADAPTERS),
        }
    }

    fn load(self) -> Load {
        match self {
            Self::Inventory | Self::Routers | Self::Agents => Load::Idle,
            Self::Requests => Load::Requests,
            Self::ColdStarts => Load::ColdStarts,
            Self::Claims => Load::Claims,
            Self::Changes => Load::Changes,
        }
    }
}
