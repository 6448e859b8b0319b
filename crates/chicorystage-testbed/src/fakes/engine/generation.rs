//! Completions of a fake engine: queueing for a batch slot and writing tokens.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_borders::BorderError;
use chicorystage_borders::engine::{
    CompletionStart, EngineEvent, EngineReplicaState, EngineStream,
};
use tokio::time::sleep;

use crate::fakes::engine::fake_engine::FakeEngine;
use crate::fakes::engine::state::rejected;
use crate::fakes::engine::stream::{self, StreamLog, StreamWriter};
use crate::fakes::{EngineFault, answer_words};

impl FakeEngine {
    /// Starts a completion and returns its stream; rejects it if the weights aren't loaded.
    pub(super) fn begin_stream(&self, start: CompletionStart) -> Result<EngineStream, BorderError> {
        let mut state = self.lock();
        state.check_up()?;
        let loaded = state.replica(&start.model).is_some_and(|replica| {
            let adapter_loaded = start.adapter.as_ref().is_none_or(|adapter| {
                let mut loaded = replica.adapters.iter();
                loaded.any(|(name, _)| name == adapter)
            });
            replica.state == EngineReplicaState::Loaded
                && replica.version == start.version
                && adapter_loaded
        });
        if !loaded {
            return Err(rejected("model or adapter is not loaded"));
        }
        let (entry, writer) = stream::open();
        let events = entry.read(0);
        state.add_stream(Arc::clone(&start.stream_id), entry);
        state.completions += 1;
        let engine_run = state.engine_run;
        tokio::spawn(self.clone().generate(engine_run, start, writer));
        Ok(events)
    }

    /// Generates a response once a batch slot is granted; ends early if it is cancelled.
    async fn generate(self, engine_run: u64, start: CompletionStart, mut writer: StreamWriter) {
        let mut slot = {
            let mut state = self.lock();
            let slot = state.batch.enqueue(start.class);
            state.record_load();
            slot
        };
        let granted = tokio::select! {
            granted = &mut slot => granted.is_ok(),
            _cancelled = &mut writer.cancelled => {
                slot.close();
                slot.try_recv().is_ok()
            }
        };
        if granted {
            let cancelled = tokio::select! {
                () = self.write_tokens(&start, &writer.log) => false,
                _cancelled = &mut writer.cancelled => true,
            };
            let mut state = self.lock();
            if state.engine_run == engine_run {
                state.batch.release_slot();
                state.record_load();
                if !cancelled {
                    state.reports.publish(&self.config, &start);
                }
            }
        }
    }

    async fn write_tokens(&self, start: &CompletionStart, log: &StreamLog) {
        sleep(Duration::from_millis(self.config.first_token_ms)).await;
        if self.triggers_crash(start) {
            self.inject(EngineFault::Crash);
            return;
        }
        let crash_after = self.lock().take_fault(|fault| match fault {
            EngineFault::CrashMidAnswer { tokens } => Some(*tokens),
            _ => None,
        });
        let mut tokens = 0;
        for word in answer_words(&start.prompt, start.max_tokens) {
            if crash_after == Some(tokens) {
                self.inject(EngineFault::Crash);
                return;
            }
            log.token(tokens, word);
            tokens += 1;
            sleep(Duration::from_millis(self.config.token_ms)).await;
        }
        log.push(EngineEvent::Done { tokens });
    }

    /// Returns whether an injected fault makes this completion crash the engine.
    fn triggers_crash(&self, start: &CompletionStart) -> bool {
        self.lock().faults.iter().any(|fault| match fault {
            EngineFault::CrashOnDigest { digest } => *digest == start.digest,
            EngineFault::CrashOnPrompt { text } => start.prompt.contains(text.as_str()),
            _ => false,
        })
    }
}
