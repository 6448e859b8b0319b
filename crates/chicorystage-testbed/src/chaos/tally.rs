use std::collections::BTreeMap;

/// Counts of what callers and the operator saw.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Requests sent.
    pub(super) sent: u64,
    /// Whole answers.
    pub(super) served: u64,
    /// Refusals by code.
    pub(super) refused: BTreeMap<String, u64>,
    /// Connections that ended with their killed router.
    pub(super) cut_by_kill: u64,
    /// Connections that ended otherwise.
    pub(super) cut: u64,
    /// Requests without an answer long after their deadline.
    pub(super) unanswered: u64,
    /// Answers that were not the request's own.
    pub(super) wrong: u64,
    /// Answers later than the deadline by more than the grace, no router being stopped.
    pub(super) late: u64,
    /// Work that reached an endpoint after its VM was leaving for the bound.
    pub(super) work_after_leaving: u64,
    /// Accepted changes.
    pub(super) changes_accepted: u64,
    /// Value of the last accepted change, in milliseconds.
    pub(super) change_value_ms: u64,
    /// Changes seen to go back.
    pub(super) changes_reverted: u64,
    /// Faults by name.
    pub(super) faults: BTreeMap<String, u64>,
    /// The first few things that were not as they must be.
    pub(super) notes: Vec<String>,
}

/// Notes that are kept.
const NOTES_MAX: usize = 20;

impl Tally {
    pub(super) fn note(&mut self, note: String) {
        if self.notes.len() < NOTES_MAX {
            self.notes.push(note);
        }
    }

    pub(super) fn breaches(&self) -> Vec<String> {
        let refused: u64 = self.refused.values().sum();
        let accounted = self.served + refused + self.cut_by_kill;
        let counts = [
            ("requests unaccounted for", self.sent.abs_diff(accounted)),
            ("connections cut without a killed router", self.cut),
            ("requests never answered", self.unanswered),
            ("wrong or mixed answers", self.wrong),
            ("runs on a leaving endpoint", self.work_after_leaving),
            ("reverted changes", self.changes_reverted),
        ];
        let broken = counts.into_iter().filter(|(_, count)| *count > 0);
        broken
            .map(|(name, count)| format!("{name}: {count}"))
            .collect()
    }

    pub(super) fn print(&self) {
        let refused: u64 = self.refused.values().sum();
        println!(
            "requests: sent {} = served {} + refused {refused} + cut by a killed router {} \
             + cut otherwise {} + unanswered {} + wrong {}; late {}",
            self.sent,
            self.served,
            self.cut_by_kill,
            self.cut,
            self.unanswered,
            self.wrong,
            self.late
        );
        println!("refusals: {:?}", self.refused);
        println!(
            "changes: accepted {}, reverted {}",
            self.changes_accepted, self.changes_reverted
        );
        println!("work after leaving: {}", self.work_after_leaving);
        println!("faults: {:?}", self.faults);
        for note in &self.notes {
            println!("note: {note}");
        }
    }
}
