use chicorystage_api::peer::{Changes, ChangesQuery};
use chicorystage_core::inventory::{ChangeLog, InventoryState};
use tokio::sync::oneshot;

/// Maximum number of polls held open; polls above it are answered immediately.
const POLLS_MAX: usize = 4_096;
/// Maximum time that a poll is held open, in milliseconds.
const POLL_MAX_MS: u64 = 25_000;

/// Long polls of agents that wait for a newer revision than they have.
#[derive(Debug, Default)]
pub(crate) struct LongPolls {
    waiting: Vec<Poll>,
}

#[derive(Debug)]
struct Poll {
    since_revision: u64,
    until_ms: u64,
    reply: oneshot::Sender<Changes>,
}

impl LongPolls {
    pub(crate) fn add(
        &mut self,
        query: &ChangesQuery,
        reply: oneshot::Sender<Changes>,
        now_ms: u64,
    ) {
        let wait_ms = if self.waiting.len() < POLLS_MAX {
            query.wait_ms.min(POLL_MAX_MS)
        } else {
            0
        };
        self.waiting.push(Poll {
            since_revision: query.since_revision,
            until_ms: now_ms + wait_ms,
            reply,
        });
    }

    /// Answers the polls whose revision is outdated or whose wait time has passed.
    pub(crate) fn answer_due(&mut self, state: &InventoryState, log: &ChangeLog, now_ms: u64) {
        let due = self
            .waiting
            .extract_if(.., |poll| {
                poll.since_revision < state.revision() || poll.until_ms <= now_ms
            })
            .collect::<Vec<_>>();
        for poll in due {
            // An agent that has disconnected polls another router.
            let _sent = poll.reply.send(changes(state, log, poll.since_revision));
        }
        self.waiting.retain(|poll| !poll.reply.is_closed());
    }
}

fn changes(state: &InventoryState, log: &ChangeLog, since_revision: u64) -> Changes {
    if since_revision >= state.revision() {
        return Changes::Unchanged;
    }
    if let Some(records) = log.since(since_revision)
        && since_revision > 0
    {
        return Changes::Tail { records };
    }
    Changes::Whole {
        snapshot: state.snapshot(),
    }
}
