use std::collections::BTreeMap;

/// Counts of what callers and the operator observed.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Requests sent over an open connection.
    pub(super) sent: u64,
    /// Complete and correct answers.
    pub(super) served: u64,
    /// Number of refusals by code.
    pub(super) refused: BTreeMap<String, u64>,
    /// Requests whose connection ended because their router was killed.
    pub(super) cut_by_kill: u64,
    /// Requests whose connection ended for another reason.
    pub(super) cut: u64,
    /// Requests that had no answer long after their deadline.
    pub(super) unanswered: u64,
    /// Answers whose content does not belong to the request.
    pub(super) wrong: u64,
    /// Answers that came after the deadline and a grace period, although their
    /// router was neither paused nor killed.
    pub(super) late: u64,
    /// Completions that reached an endpoint after the bound for leaving VMs.
    pub(super) work_after_leaving: u64,
    /// Changes whose answer says that they were accepted.
    pub(super) changes_accepted: u64,
    /// Value that the last accepted change set, in milliseconds.
    pub(super) change_value_ms: u64,
    /// Observations of a router whose value had decreased, or that lacked the
    /// last accepted change at the end.
    pub(super) changes_reverted: u64,
    /// Number of injected faults by name.
    pub(super) faults: BTreeMap<String, u64>,
    /// Descriptions of the first few unexpected observations; late answers are
    /// among them, although they break no guarantee.
    pub(super) notes: Vec<String>,
}

/// Most notes that are kept.
const NOTES_MAX: usize = 20;

impl Tally {
    pub(super) fn add_note(&mut self, note: String) {
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
