//! Reports the end of a relayed answer in log, metrics and records.

use chicorystage_core::latency::AnswerTimes;

use crate::gateway::crash_checks::AnswerProgress;
use crate::gateway::lateness::late_cause;
use crate::gateway::poison;
use crate::gateway::relay::relay_end::RelayEnd;
use crate::gateway::relay::{BEGINNING_EVENTS, StreamRelay};
use crate::gateway::stream_rows;

impl StreamRelay {
    /// Records a complete answer and returns its connection to the pool.
    pub(super) fn finish(mut self) {
        let answer_ms = self.gateway.now_ms() - self.work.arrived_ms;
        self.gateway
            .metrics
            .answer_ms(&self.work.route.name, answer_ms);
        self.log_end(RelayEnd::Whole);
        stream_rows::end(&self.gateway, &self.work);
        self.record_proof();
        let Some(answered) = self.answered.take() else {
            return;
        };
        answered.reservation.outcome(true);
        answered.recycle(&self.gateway);
    }

    /// Records that a complete answer proves its request sound, if its endpoint has not ended with it.
    fn record_proof(&self) {
        let is_past_beginning = self.events_relayed >= BEGINNING_EVENTS;
        if !self.framing.is_end_marked() && !is_past_beginning {
            self.check_for_crash(AnswerProgress::Ended);
            return;
        }
        poison::record_answer(&self.gateway, &self.work);
        if !is_past_beginning {
            self.record_sound_prompt();
        }
    }

    /// Logs and counts the end of the answer.
    pub(super) fn log_end(&mut self, end: RelayEnd) {
        self.is_logged = true;
        let (framing, end_text) = (self.framing.to_string(), end.to_string());
        self.gateway.metrics.count_stream_end(&framing, &end_text);
        let times = AnswerTimes {
            waits: self.work.waits.get(),
            first_ms: self.event_timing.first_ms.unwrap_or_default(),
            pause_max_ms: self.event_timing.pause_max_ms,
        };
        let late = late_cause(&self.gateway, &self.work.route, &times);
        log::info!(
            event = "stream_ended", request = self.work.head.attempt_id.as_str(), end:%,
            route = self.work.route.name.as_ref(), endpoint = self.endpoint.as_str(),
            model = self.work.head.model.as_ref().map_or("", |model| model.as_str()),
            framing:% = self.framing, bytes = self.received_bytes,
            is_within_event = self.is_within_event(),
            runs = self.runs, first_ms = self.event_timing.first_ms.unwrap_or_default(),
            pause_max_ms = self.event_timing.pause_max_ms,
            pause_max_at_ms = self.event_timing.pause_max_at_ms,
            wait_ms = times.waits.total_ms(), late,
            time_ms = self.gateway.now_ms() - self.work.arrived_ms;
            "stream ended"
        );
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_logged {
            self.log_end(RelayEnd::CallerLeft);
        }
    }
}
