//! Suspensions of the machine.

use super::EventLoop;
use log::info;
use sorreldeck::entry::Input;
use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;

/// Minimum suspension of the machine after which the tables are polled anew. A page of the
/// store is about 20 ms old, and links tolerate 0.5 s.
const MIN_SUSPENSION: Span = Span::from_millis(200);
/// After a suspension, the tables are trusted again if the last contact with the store,
/// directly or through other entries, was within this time. Answers arrive every 0.5 s.
const MAX_AGE: Span = Span::from_millis(700);
/// Maximum time for which the tables are not trusted after a suspension: the store answers
/// within about 5 ms, another entry within 0.5 s.
const MAX_DISTRUST: Span = Span::from_millis(600);

impl EventLoop {
    /// Detects that the machine was suspended, before messages that arrived in the meantime are
    /// handled. Ends what has timed out, restarts long polls that stood still and suspends
    /// trust in the tables until they are confirmed.
    pub(super) fn detect_suspension(&mut self) {
        let suspended = self.clock.suspended();
        let span = suspended - self.suspended;
        if span < MIN_SUSPENSION {
            return;
        }
        self.suspended = suspended;
        info!("event=suspended for_ms={}", span.millis());
        let now = self.clock.now();
        self.distrusted_since = Some(now);
        self.handle(Input::Suspended);
        self.handle(Input::Tick);
        self.client.clear_pool();
        self.relay.invalidate(now);
        for table in Table::ALL {
            self.followers.poll(table);
        }
    }

    /// Trusts the tables again once they are confirmed, or if that takes too long.
    pub(super) fn end_distrust(&mut self, now: Time) {
        let Some(since) = self.distrusted_since else {
            return;
        };
        let age = self.relay.follow().age(now);
        if age.is_some_and(|age| age < MAX_AGE) || now.since(since) >= MAX_DISTRUST {
            self.distrusted_since = None;
            self.handle(Input::Resynced);
        }
    }
}
