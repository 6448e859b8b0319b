use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::audit::EndpointAudit;
use crate::chaos::caller::CRASH_PROMPT_TEXT;
use crate::chaos::fault::{Fault, FaultSequence};
use crate::chaos::shared_state::SharedState;
use crate::deployment::{Deployment, Signal};
use crate::fakes::{EngineFault, ServiceFault, TableFault};

/// Range of the pause between two rounds of faults, in milliseconds.
const ROUND_PAUSE_MS: (u64, u64) = (500, 3_000);
/// Range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (500, 7_000);
/// Time after which an endpoint on a leaving VM must get no new work, in milliseconds.
const LEAVING_BOUND_MS: u64 = 5_000;
/// Time for which that endpoint is watched after the bound, in milliseconds.
const LEAVING_WATCH_MS: u64 = 2_000;
/// Number of the random number stream of the faults.
const RNG_STREAM: u64 = 901;
const TABLE_FAULT_PATH: &str = "/control/table/fault";
const SLOWDOWN_PATH: &str = "/control/weights/slowdown";
const STALE_PATH: &str = "/control/vms/stale";
const FAULTS_PATH: &str = "/control/faults";

/// Injects faults into a deployment, one or two at a time.
pub(super) struct FaultLoop<'a> {
    deployment: &'a mut Deployment,
    shared: Arc<SharedState>,
    rng: StdRng,
    process_faults: FaultSequence,
    platform_faults: FaultSequence,
    verbose: bool,
}

impl<'a> FaultLoop<'a> {
    pub(super) fn new(
        deployment: &'a mut Deployment,
        shared: Arc<SharedState>,
        verbose: bool,
    ) -> Self {
        Self {
            deployment,
            rng: shared.rng(RNG_STREAM),
            process_faults: FaultSequence::of_processes(),
            platform_faults: FaultSequence::of_platform(),
            shared,
            verbose,
        }
    }

    /// Injects faults for a duration; each round's faults end before the next round.
    ///
    /// An endpoint's armed fault is the exception: it lasts until it is
    /// triggered, replaced or cleared.
    pub(super) async fn run_for(&mut self, length: Duration) -> anyhow::Result<()> {
        let start = Instant::now();
        while start.elapsed() < length {
            self.pause(ROUND_PAUSE_MS).await;
            let both = self.rng.random_range(0..3) == 0;
            let platform = both || self.rng.random_range(0..3) == 0;
            if platform {
                let fault = self.platform_faults.next_fault(&mut self.rng);
                self.record(fault);
                self.inject_on_platform(fault).await?;
            }
            if both || !platform {
                let fault = self.process_faults.next_fault(&mut self.rng);
                self.record(fault);
                self.inject(fault)
                    .await
                    .with_context(|| format!("{fault:?}"))?;
            }
            if platform {
                self.pause(FAULT_DURATION_MS).await;
                self.clear_platform_faults().await?;
            }
        }
        Ok(())
    }

    /// Clears every fault that is still active or armed on the platform and the engines.
    pub(super) async fn clear_faults(&mut self) -> anyhow::Result<()> {
        self.clear_platform_faults().await?;
        for i in 0..self.deployment.config.engines {
            self.inject_engine_fault(i, EngineFault::Clear).await?;
        }
        Ok(())
    }

    fn record(&self, fault: Fault) {
        let name = format!("{fault:?}");
        if self.verbose {
            println!("fault: {name}");
        }
        *self.shared.tally().faults.entry(name).or_default() += 1;
    }

    async fn pause(&mut self, range_ms: (u64, u64)) {
        let pause_ms = self.rng.random_range(range_ms.0..range_ms.1);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn post_to_platform<B: Serialize + Sync>(
        &self,
        path: &str,
        body: &B,
    ) -> anyhow::Result<()> {
        let platform = self.deployment.platform;
        self.deployment.post_control(platform, path, body).await
    }

    async fn inject_on_platform(&mut self, fault: Fault) -> anyhow::Result<()> {
        let commits = self.rng.random_range(1..20);
        let table = match fault {
            Fault::TableDown => TableFault::Down,
            Fault::TableSlow => TableFault::Slow { delay_ms: 400 },
            Fault::TableUnanswered => TableFault::UnansweredNext { commits },
            Fault::TableLost => TableFault::LostNext { commits },
            Fault::WeightsSlow => return self.post_to_platform(SLOWDOWN_PATH, &400).await,
            _ => return self.post_to_platform(STALE_PATH, &true).await,
        };
        self.post_to_platform(TABLE_FAULT_PATH, &table).await
    }

    async fn clear_platform_faults(&mut self) -> anyhow::Result<()> {
        self.post_to_platform(TABLE_FAULT_PATH, &TableFault::None)
            .await?;
        self.post_to_platform(SLOWDOWN_PATH, &0).await?;
        self.post_to_platform(STALE_PATH, &false).await
    }

    async fn inject(&mut self, fault: Fault) -> anyhow::Result<()> {
        let agent = self.rng.random_range(0..self.deployment.agents.len());
        let engine = self.rng.random_range(0..self.deployment.config.engines);
        let router = self.rng.random_range(0..self.deployment.routers.len());
        let tokens = self.rng.random_range(0..50);
        let text = CRASH_PROMPT_TEXT.to_owned();
        match fault {
            Fault::KillAgent => self.kill_agent(agent).await,
            Fault::KillRouter => self.kill_router(router).await,
            Fault::StopAgent => self.stop_agent(agent).await,
            Fault::StopRouter => self.stop_router(router).await,
            Fault::TerminateRouter => self.terminate_router(router).await,
            Fault::LeaveVm => self.leave_and_replace_vm(engine).await,
            Fault::EngineCrash => self.inject_engine_fault(engine, EngineFault::Crash).await,
            Fault::EngineCrashMidLoad => {
                self.inject_engine_fault(engine, EngineFault::CrashMidLoad)
                    .await
            }
            Fault::EngineCrashMidAnswer => {
                self.inject_engine_fault(engine, EngineFault::CrashMidAnswer { tokens })
                    .await
            }
            Fault::EnginePoison => {
                for i in 0..self.deployment.config.engines {
                    let fault = EngineFault::CrashOnPrompt { text: text.clone() };
                    self.inject_engine_fault(i, fault).await?;
                }
                Ok(())
            }
            Fault::OrderAnswersLost => {
                self.inject_engine_fault(engine, EngineFault::LostOrderAnswers { orders: 2 })
                    .await
            }
            Fault::OrderLate => {
                self.inject_engine_fault(engine, EngineFault::LateOrder { delay_ms: 300 })
                    .await
            }
            Fault::StreamsCut => {
                self.inject_engine_fault(engine, EngineFault::CutStreams)
                    .await
            }
            Fault::ServiceLosesAnswer => self.inject_service_fault(ServiceFault::LostAnswer).await,
            Fault::ServiceDiesBefore => self.inject_service_fault(ServiceFault::DiesBefore).await,
            _ => {
                self.inject_service_fault(ServiceFault::Slow { delay_ms: 3_000 })
                    .await
            }
        }
    }

    async fn inject_engine_fault(&self, i: usize, fault: EngineFault) -> anyhow::Result<()> {
        let endpoint = self.endpoint_of(i)?;
        self.deployment
            .post_control(endpoint, FAULTS_PATH, &fault)
            .await
    }

    async fn inject_service_fault(&mut self, fault: ServiceFault) -> anyhow::Result<()> {
        let services = self.deployment.config.engines..self.deployment.agents.len();
        let service = self.rng.random_range(services);
        let endpoint = self.endpoint_of(service)?;
        self.deployment
            .post_control(endpoint, FAULTS_PATH, &fault)
            .await
    }

    fn endpoint_of(&self, agent: usize) -> anyhow::Result<SocketAddr> {
        let endpoint = self.deployment.agents[agent].endpoint();
        endpoint.context("agent without an endpoint")
    }

    async fn kill_agent(&mut self, i: usize) -> anyhow::Result<()> {
        self.deployment.agents[i].process.kill().await?;
        self.pause(FAULT_DURATION_MS).await;
        self.deployment.agents[i].restart()
    }

    async fn kill_router(&mut self, i: usize) -> anyhow::Result<()> {
        self.shared.routers[i].record_kill();
        self.deployment.routers[i].process.kill().await?;
        self.pause(FAULT_DURATION_MS).await;
        self.deployment.routers[i].restart()?;
        self.deployment.routers[i].wait_until_listening().await
    }

    async fn stop_agent(&mut self, i: usize) -> anyhow::Result<()> {
        self.deployment.agents[i]
            .process
            .signal(Signal::Stop)
            .await?;
        self.pause(FAULT_DURATION_MS).await;
        self.deployment.agents[i]
            .process
            .signal(Signal::Continue)
            .await
    }

    async fn stop_router(&mut self, i: usize) -> anyhow::Result<()> {
        self.shared.routers[i].record_stop();
        self.deployment.routers[i]
            .process
            .signal(Signal::Stop)
            .await?;
        self.pause(FAULT_DURATION_MS).await;
        let continued = Signal::Continue;
        self.deployment.routers[i].process.signal(continued).await
    }

    /// Stops a router gracefully and restarts it; none of its callers may be cut off.
    async fn terminate_router(&mut self, i: usize) -> anyhow::Result<()> {
        self.deployment.routers[i].process.stop().await?;
        self.deployment.routers[i].restart()?;
        self.deployment.routers[i].wait_until_listening().await
    }

    /// Marks a VM as leaving, checks that its engine gets no new work after the
    /// bound, and replaces the VM by a new one beside the same engine.
    async fn leave_and_replace_vm(&mut self, i: usize) -> anyhow::Result<()> {
        let vm = self.deployment.agents[i].settings.vm.clone();
        // The bound counts from when the VM list shows the VM as leaving, so the list must not be stale.
        self.post_to_platform(STALE_PATH, &false).await?;
        self.post_to_platform("/control/vms/leaving", &vm).await?;
        sleep(Duration::from_millis(LEAVING_BOUND_MS)).await;
        let before = EndpointAudit::read_engine(self.deployment, i).await?;
        sleep(Duration::from_millis(LEAVING_WATCH_MS)).await;
        let after = EndpointAudit::read_engine(self.deployment, i).await?;
        let late = after.completions - before.completions;
        if late > 0 {
            let mut tally = self.shared.tally();
            tally.work_after_leaving += late;
            tally.add_note(format!("{vm} got {late} completions after it was leaving"));
        }
        self.deployment.agents[i].process.stop().await?;
        self.post_to_platform("/control/vms/remove", &vm).await?;
        // An engine on a new VM starts without loaded models.
        self.inject_engine_fault(i, EngineFault::Crash).await?;
        self.deployment.replace_agent(i).await
    }
}
