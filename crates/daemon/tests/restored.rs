//! The tables of an entry after the store was restored from a backup: the latest writes are lost and
//! their versions are issued again.

use serde_json::json;
use sorreldeck::era::{Era, Freshness, Stamp};
use sorreldeck::release::State;
use sorreldeck::{Span, Time};
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use sorreldeck_sim::rows::{self, deleted, row};
use sorreldeckd::hosted::{Merge, Mirror, Update};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn upstream(id: &str, state: &str, version: u64) -> Row {
    row(id, &rows::upstream(state), version)
}

fn config(revision: u64, version: u64) -> Row {
    row("config", &rows::config(revision), version)
}

/// Interval between answers of the store, in milliseconds.
const STEP: u64 = 200;

/// A process that follows the store's tables.
struct Follower {
    mirror: Mirror,
    era: u64,
    now: u64,
}

impl Follower {
    fn new() -> Follower {
        Follower {
            mirror: Mirror::default(),
            era: 4,
            now: 0,
        }
    }

    fn page(&self, rows: Vec<Row>, version: u64) -> Page {
        Page {
            rows,
            version,
            now: Duration::ZERO,
            era: Some(Era(self.era)),
        }
    }

    /// Applies an answer of the store.
    fn read(&mut self, table: Table, rows: Vec<Row>, version: u64, whole: bool) -> Vec<Update> {
        let page = self.page(rows, version);
        let (asked, now) = (at(self.now), at(self.now) + Span::from_micros(1));
        let freshness = self.mirror.observe_era(table, &page, whole, asked, now);
        assert_ne!(freshness, Freshness::Stale);
        self.mirror.apply(table, page, whole, at(self.now))
    }

    fn whole(&mut self, table: Table, rows: Vec<Row>, version: u64) -> Vec<Update> {
        self.read(table, rows, version, true)
    }

    fn changed(&mut self, table: Table, row: Row) -> Vec<Update> {
        let version = row.version;
        self.read(table, vec![row], version, false)
    }

    /// Restores the store from the backup.
    fn restore(&mut self) {
        self.era += 1;
        self.now += 3_000;
    }

    /// Advances the clock while the store answers.
    fn advance(&mut self, ms: u64) -> Vec<Update> {
        let mut updates = Vec::new();
        for _ in 0..ms / STEP {
            self.now += STEP;
            let now = at(self.now);
            updates.extend(self.mirror.tick(now, Some(now)));
        }
        updates
    }

    /// Advances the clock while the store does not answer.
    fn advance_without_store(&mut self, ms: u64) -> Vec<Update> {
        let heard = at(self.now);
        self.now += ms;
        self.mirror.tick(at(self.now), Some(heard))
    }
}

fn retired(updates: &[Update]) -> BTreeSet<String> {
    let names = updates.iter().filter_map(|update| match update {
        Update::Retired(upstream) => Some(upstream.to_string()),
        _ => None,
    });
    names.collect()
}

fn joined(updates: &[Update]) -> BTreeSet<String> {
    let names = updates.iter().filter_map(|update| match update {
        Update::Joined(listed, _) => Some(listed.member.upstream.to_string()),
        _ => None,
    });
    names.collect()
}

fn revisions(updates: &[Update]) -> Vec<u64> {
    let found = updates.iter().filter_map(|update| match update {
        Update::Config(config) => Some(config.tree.revision().0),
        _ => None,
    });
    found.collect()
}

fn evacuated(updates: &[Update]) -> Vec<usize> {
    let found = updates.iter().filter_map(|update| match update {
        Update::Evacuated(halls) => Some(halls.len()),
        _ => None,
    });
    found.collect()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}

/// Returns a follower of a configuration that the backup at version 20 contains.
fn with_config() -> Follower {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    follower
}

/// Returns a follower of ten upstreams, of which the last joined after the backup at version 20.
fn with_upstreams() -> Follower {
    let mut follower = Follower::new();
    follower.whole(Table::Upstreams, backup(), 20);
    follower.changed(Table::Upstreams, upstream("i-9", "ready", 21));
    follower
}

/// Returns the rows of the backup at version 20.
fn backup() -> Vec<Row> {
    let rows = (0..9).map(|i| upstream(&format!("i-{i}"), "ready", 10 + i));
    rows.collect()
}

#[test]
fn an_upstream_missing_from_the_backup_is_used_until_it_had_time_to_write() {
    let mut follower = with_upstreams();
    follower.restore();
    let updates = follower.whole(Table::Upstreams, backup(), 20);
    assert!(updates.is_empty(), "{updates:?}");
    assert!(follower.advance(1_600).is_empty());
    assert_eq!(retired(&follower.advance(400)), names(["i-9"]));
}

/// The backup contains the upstream, so its row was removed after the restore.
#[test]
fn an_upstream_that_leaves_before_the_first_answer_is_retired_at_once() {
    let mut follower = with_upstreams();
    follower.restore();
    let rows = backup().into_iter().filter(|row| row.key != "i-3");
    let updates = follower.whole(Table::Upstreams, rows.collect(), 21);
    assert_eq!(retired(&updates), names(["i-3"]));
}

#[test]
fn an_upstream_that_writes_again_after_a_restore_stays() {
    let mut follower = with_upstreams();
    follower.restore();
    follower.whole(Table::Upstreams, backup(), 20);
    let updates = follower.changed(Table::Upstreams, upstream("i-9", "ready", 21));
    assert!(retired(&updates).is_empty() && joined(&updates).is_empty());
    assert!(follower.advance(5_000).is_empty());
}

#[test]
fn a_backup_older_than_all_upstreams_retires_none_at_once() {
    let mut follower = with_upstreams();
    follower.restore();
    assert!(follower.whole(Table::Upstreams, Vec::new(), 3).is_empty());
    assert!(follower.advance(1_600).is_empty());
    assert_eq!(retired(&follower.advance(400)).len(), 10);
}

/// Each row: whether the row of the leaving upstream was removed before the loss, and the minimum
/// time in milliseconds for which the upstream is not used although the backup lists it as ready.
#[test_case(false, 60_000; "it has not left yet")]
#[test_case(true, 4_000; "its row was removed")]
fn a_draining_upstream_is_not_used_again_because_of_the_backup(is_gone: bool, ms: u64) {
    let mut follower = with_upstreams();
    let updates = follower.changed(Table::Upstreams, upstream("i-3", "draining", 22));
    assert_eq!(retired(&updates), names(["i-3"]));
    if is_gone {
        follower.changed(Table::Upstreams, deleted("i-3", 23));
    }
    follower.restore();
    let mut used = joined(&follower.whole(Table::Upstreams, backup(), 20));
    used.extend(joined(&follower.advance(ms)));
    assert!(used.is_empty(), "{used:?}");
}

#[test]
fn an_upstream_that_writes_its_draining_state_again_stays_retired() {
    let mut follower = with_upstreams();
    follower.changed(Table::Upstreams, upstream("i-3", "draining", 22));
    follower.restore();
    follower.whole(Table::Upstreams, backup(), 20);
    let again = upstream("i-3", "draining", 21);
    assert!(joined(&follower.changed(Table::Upstreams, again)).is_empty());
    assert!(joined(&follower.changed(Table::Upstreams, deleted("i-3", 24))).is_empty());
    // A later start under the same name is a new upstream.
    let mut other = upstream("i-3", "ready", 25);
    let value = String::from_utf8(other.value.unwrap()).unwrap();
    other.value = Some(value.replace("127.0.0.1:9", "127.0.0.1:10").into_bytes());
    assert_eq!(
        joined(&follower.changed(Table::Upstreams, other)),
        names(["i-3"])
    );
}

#[test]
fn a_removed_upstream_that_is_alive_is_used_again_after_a_lease() {
    let mut follower = with_upstreams();
    let updates = follower.changed(Table::Upstreams, deleted("i-3", 22));
    assert_eq!(retired(&updates), names(["i-3"]));
    follower.restore();
    assert!(follower
        .whole(Table::Upstreams, backup(), 20)
        .iter()
        .all(|n| !matches!(n, Update::Joined(_, _))));
    assert!(joined(&follower.advance(4_000)).is_empty());
    assert_eq!(joined(&follower.advance(600)), names(["i-3"]));
}

#[test]
fn the_applied_configuration_is_not_reverted_by_the_backup() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.changed(Table::Operator, config(30, 25));
    follower.restore();
    let mut found = revisions(&follower.whole(Table::Operator, vec![config(23, 13)], 20));
    // The operator writes the lost configurations again, one by one, under versions that are issued
    // a second time.
    found.extend(revisions(
        &follower.changed(Table::Operator, config(26, 21)),
    ));
    assert!(found.is_empty(), "{found:?}");
    follower.changed(Table::Operator, config(30, 22));
    let found = revisions(&follower.changed(Table::Operator, config(33, 23)));
    assert_eq!(found, [33]);
}

#[test]
fn an_entry_that_starts_after_the_loss_learns_the_applied_configuration() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.restore();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    let delta = follower.mirror.delta(Table::Operator, Stamp::default());
    let mut fresh = Mirror::default();
    let Merge::Applied(updates) = fresh.apply_delta(delta.unwrap(), at(follower.now)) else {
        panic!("it is not taken");
    };
    assert_eq!(revisions(&updates).last(), Some(&26));
}

#[test]
fn an_evacuation_outlives_the_loss_of_its_row() {
    let mut follower = with_config();
    let order = row("evacuate/a", &json!({}), 24);
    assert_eq!(evacuated(&follower.changed(Table::Operator, order)), [1]);
    follower.restore();
    let updates = follower.whole(Table::Operator, vec![config(23, 13)], 20);
    assert!(evacuated(&updates).is_empty(), "{updates:?}");
    assert!(evacuated(&follower.advance(20_000)).is_empty());
    // It is written again, and then revoked.
    let again = row("evacuate/a", &json!({}), 22);
    assert_eq!(evacuated(&follower.changed(Table::Operator, again)), [1]);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 25))),
        [0]
    );
}

#[test]
fn a_revoked_evacuation_does_not_return_with_the_backup() {
    let mut follower = Follower::new();
    let order = row("evacuate/a", &json!({}), 14);
    let copy = vec![config(23, 13), order];
    follower.whole(Table::Operator, copy.clone(), 20);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 24))),
        [0]
    );
    follower.restore();
    let updates = follower.whole(Table::Operator, copy, 20);
    assert!(evacuated(&updates).is_empty(), "{updates:?}");
    // A new evacuation of the same hall applies at once.
    let new = row("evacuate/a", &json!({}), 22);
    assert_eq!(evacuated(&follower.changed(Table::Operator, new)), [1]);
}

/// A row was changed and removed again between two answers, or before this process started.
#[test]
fn a_state_never_seen_does_not_return_with_the_backup() {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![row("evacuate/a", &json!(2), 19)], 20);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 24))),
        [0]
    );
    follower.restore();
    let updates = follower.whole(Table::Operator, vec![row("evacuate/a", &json!(1), 15)], 16);
    assert!(evacuated(&updates).is_empty(), "{updates:?}");
}

/// A row written after the restore and before the first answer also has a version that was issued
/// before.
#[test]
fn an_evacuation_written_right_after_the_restore_applies_at_once() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.restore();
    let rows = vec![config(23, 13), row("evacuate/a", &json!({}), 21)];
    assert_eq!(evacuated(&follower.whole(Table::Operator, rows, 21)), [1]);
}

#[test]
fn an_evacuation_applies_while_the_operator_cannot_write_it_again() {
    let mut follower = with_config();
    follower.changed(Table::Operator, row("evacuate/a", &json!({}), 24));
    follower.restore();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    assert!(evacuated(&follower.advance(20_000)).is_empty());
    assert!(evacuated(&follower.advance_without_store(60_000)).is_empty());
    assert!(evacuated(&follower.advance(5_000)).is_empty());
    assert_eq!(evacuated(&follower.advance(6_000)), [0]);
}

/// The second loss happens before the lost rows of the first have been written again.
#[test]
fn a_second_loss_reverts_nothing() {
    let mut follower = with_upstreams();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    follower.changed(Table::Operator, config(26, 24));
    follower.changed(Table::Upstreams, upstream("i-3", "draining", 25));
    for _ in 0..2 {
        follower.restore();
        let updates = follower.whole(Table::Operator, vec![config(23, 13)], 20);
        assert!(revisions(&updates).is_empty(), "{updates:?}");
        let updates = follower.whole(Table::Upstreams, backup(), 20);
        assert!(joined(&updates).is_empty(), "{updates:?}");
    }
    assert!(joined(&follower.advance(10_000)).is_empty());
}

const ROLLOUT: &str = "rollout/engines";

fn rollout(version: u64) -> Row {
    let value = json!({"service": "engines", "target-version": "v2", "duration-s": 24});
    row(ROLLOUT, &value, version)
}

fn record(state: &str, version: u64) -> Row {
    let value = json!({"service": "engines", "target-version": "v2", "state": state});
    row(ROLLOUT, &value, version)
}

fn rollouts(updates: &[Update]) -> Vec<(Stamp, Option<State>)> {
    let found = updates.iter().filter_map(|update| match update {
        Update::Move(order, state, _) => Some((order.issued, *state)),
        _ => None,
    });
    found.collect()
}

/// Returns a follower of a roll-out that was ordered at version 22 and completed at 25, after the
/// store was restored from a backup at version 20, which contains neither.
fn with_rollout() -> Follower {
    let mut follower = with_config();
    follower.whole(Table::Progress, Vec::new(), 20);
    follower.whole(Table::Own, Vec::new(), 20);
    follower.changed(Table::Operator, rollout(22));
    follower.changed(Table::Progress, record("running", 23));
    follower.changed(Table::Own, row(ROLLOUT, &json!(1_000_000), 23));
    follower.changed(Table::Progress, record("completed", 25));
    follower.restore();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    follower.whole(Table::Progress, Vec::new(), 20);
    follower.whole(Table::Own, Vec::new(), 20);
    follower
}

fn lost(follower: &Follower) -> Vec<(Table, String, u64)> {
    let lost = follower
        .mirror
        .lost_rows("entry/e-1", at(follower.now))
        .into_iter();
    lost.map(|again| (again.table, again.key, again.version))
        .collect()
}

#[test]
fn a_rollout_that_is_written_again_is_the_same_rollout() {
    let mut follower = with_rollout();
    let found = rollouts(&follower.changed(Table::Operator, rollout(21)));
    assert_eq!(found, [(Stamp::new(Era(4), 22), Some(State::Completed))]);
    // A later order is a new roll-out although its content is the same.
    let found = rollouts(&follower.changed(Table::Operator, rollout(30)));
    assert_eq!(found, [(Stamp::new(Era(5), 30), None)]);
}

#[test]
fn lost_records_are_due_to_be_written_again() {
    let mut follower = with_rollout();
    let both = [
        (Table::Progress, ROLLOUT.to_owned(), 0),
        (Table::Own, ROLLOUT.to_owned(), 0),
    ];
    assert_eq!(lost(&follower), both);
    // Another entry has written them first.
    follower.changed(Table::Progress, record("completed", 21));
    follower.changed(Table::Own, row(ROLLOUT, &json!(1_000_000), 21));
    assert!(lost(&follower).is_empty());
}

#[test]
fn a_record_older_than_its_order_is_written_again() {
    let mut follower = with_rollout();
    follower.changed(Table::Progress, record("completed", 21));
    follower.changed(Table::Own, row(ROLLOUT, &json!(1_000_000), 21));
    follower.changed(Table::Operator, rollout(24));
    assert_eq!(lost(&follower), [(Table::Progress, ROLLOUT.to_owned(), 21)]);
    let found = rollouts(&follower.changed(Table::Progress, record("completed", 26)));
    assert_eq!(found, [(Stamp::new(Era(4), 22), Some(State::Completed))]);
    assert!(lost(&follower).is_empty());
}

/// The backup contains an earlier state of the record; its version is the condition of the write.
#[test]
fn a_record_restored_in_an_earlier_state_is_written_again() {
    let mut follower = Follower::new();
    let copied = vec![config(23, 13), rollout(14)];
    follower.whole(Table::Operator, copied.clone(), 20);
    follower.whole(Table::Progress, vec![record("running", 15)], 20);
    follower.changed(Table::Progress, record("completed", 25));
    follower.restore();
    assert!(rollouts(&follower.whole(Table::Operator, copied, 20)).is_empty());
    let updates = follower.whole(Table::Progress, vec![record("running", 15)], 20);
    assert!(rollouts(&updates).is_empty(), "{updates:?}");
    assert_eq!(lost(&follower), [(Table::Progress, ROLLOUT.to_owned(), 15)]);
}

/// Only the entry itself writes the row that announces its address.
#[test]
fn the_row_of_an_entry_is_written_again_by_that_entry() {
    let mut follower = Follower::new();
    follower.whole(Table::Own, Vec::new(), 20);
    for (name, version) in [("entry/e-1", 22), ("entry/e-2", 23)] {
        follower.changed(Table::Own, row(name, &json!({}), version));
    }
    follower.restore();
    follower.whole(Table::Own, Vec::new(), 20);
    assert_eq!(lost(&follower), [(Table::Own, "entry/e-1".to_owned(), 0)]);
}

/// Each row: the eras that the store reports before and after it was restored with lower versions.
#[test_case(None, None; "none is reported")]
#[test_case(Some(4), Some(4); "it does not rise")]
#[test_case(Some(4), Some(2); "it falls")]
#[test_case(Some(4), None; "it is no longer reported")]
#[test_case(None, Some(7); "it is reported from then on")]
fn a_restored_store_is_followed_whatever_era_it_reports(before: Option<u64>, after: Option<u64>) {
    let mut mirror = Mirror::default();
    let mut read = |era: Option<u64>, row: Row, version, ms| {
        let page = Page {
            rows: vec![row],
            version,
            now: Duration::ZERO,
            era: era.map(Era),
        };
        let later = at(ms) + Span::from_millis(5);
        mirror.observe_era(Table::Operator, &page, true, at(ms), later);
        revisions(&mirror.apply(Table::Operator, page, true, later))
    };
    assert_eq!(read(before, config(23, 31), 31, 0), [23]);
    assert!(read(after, config(23, 13), 20, 3_000).is_empty());
    assert_eq!(read(after, config(24, 21), 21, 4_000), [24]);
    assert_eq!(read(after, config(25, 22), 22, 5_000), [25]);
}

/// An answer was in flight when the store was lost.
#[test]
fn a_late_answer_of_an_earlier_era_is_discarded() {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![config(23, 31)], 31);
    follower.restore();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    let late = Page {
        era: Some(Era(4)),
        ..follower.page(vec![config(40, 33)], 33)
    };
    let (asked, now) = (at(follower.now - 10), at(follower.now + 10));
    let freshness = follower
        .mirror
        .observe_era(Table::Operator, &late, true, asked, now);
    assert_eq!(freshness, Freshness::Stale);
    assert_eq!(
        follower.mirror.stamp(Table::Operator),
        Stamp::new(Era(5), 20)
    );
}
