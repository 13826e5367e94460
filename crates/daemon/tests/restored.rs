//! What holds of the store's tables after it came back from a copy.

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

/// How often the store is heard, in milliseconds.
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

    /// Takes in an answer of the store.
    fn read(&mut self, table: Table, rows: Vec<Row>, version: u64, whole: bool) -> Vec<Update> {
        let page = self.page(rows, version);
        let (asked, now) = (at(self.now), at(self.now) + Span::from_micros(1));
        let heard = self.mirror.observe_era(table, &page, whole, asked, now);
        assert_ne!(heard, Freshness::Stale);
        self.mirror.apply(table, page, whole, at(self.now))
    }

    fn whole(&mut self, table: Table, rows: Vec<Row>, version: u64) -> Vec<Update> {
        self.read(table, rows, version, true)
    }

    fn changed(&mut self, table: Table, row: Row) -> Vec<Update> {
        let version = row.version;
        self.read(table, vec![row], version, false)
    }

    /// The store comes back from a copy.
    fn restored(&mut self) {
        self.era += 1;
        self.now += 3_000;
    }

    /// Lets time pass in which the store is heard.
    fn passes(&mut self, ms: u64) -> Vec<Update> {
        let mut news = Vec::new();
        for _ in 0..ms / STEP {
            self.now += STEP;
            let now = at(self.now);
            news.extend(self.mirror.tick(now, Some(now)));
        }
        news
    }

    /// Lets time pass in which it is not.
    fn passes_unheard(&mut self, ms: u64) -> Vec<Update> {
        let heard = at(self.now);
        self.now += ms;
        self.mirror.tick(at(self.now), Some(heard))
    }
}

fn retired(news: &[Update]) -> BTreeSet<String> {
    let names = news.iter().filter_map(|news| match news {
        Update::Retired(upstream) => Some(upstream.to_string()),
        _ => None,
    });
    names.collect()
}

fn joined(news: &[Update]) -> BTreeSet<String> {
    let names = news.iter().filter_map(|news| match news {
        Update::Joined(listed) => Some(listed.member.upstream.to_string()),
        _ => None,
    });
    names.collect()
}

fn revisions(news: &[Update]) -> Vec<u64> {
    let told = news.iter().filter_map(|news| match news {
        Update::Config(config) => Some(config.tree.revision().0),
        _ => None,
    });
    told.collect()
}

fn evacuated(news: &[Update]) -> Vec<usize> {
    let told = news.iter().filter_map(|news| match news {
        Update::Evacuated(halls) => Some(halls.len()),
        _ => None,
    });
    told.collect()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}

/// A follower of a configuration that the copy at version 20 holds.
fn with_config() -> Follower {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    follower
}

/// A follower of ten upstreams, of which the last joined after the copy at version 20.
fn with_upstreams() -> Follower {
    let mut follower = Follower::new();
    follower.whole(Table::Upstreams, copied(), 20);
    follower.changed(Table::Upstreams, upstream("i-9", "ready", 21));
    follower
}

/// The rows of the copy at version 20.
fn copied() -> Vec<Row> {
    let rows = (0..9).map(|i| upstream(&format!("i-{i}"), "ready", 10 + i));
    rows.collect()
}

#[test]
fn an_upstream_that_joined_after_the_copy_is_used_until_it_had_time_to_write() {
    let mut follower = with_upstreams();
    follower.restored();
    let news = follower.whole(Table::Upstreams, copied(), 20);
    assert!(news.is_empty(), "{news:?}");
    assert!(follower.passes(1_600).is_empty());
    assert_eq!(retired(&follower.passes(400)), names(["i-9"]));
}

/// It was copied, so its row went since the store is back.
#[test]
fn an_upstream_that_leaves_before_the_first_answer_is_left_at_once() {
    let mut follower = with_upstreams();
    follower.restored();
    let rows = copied().into_iter().filter(|row| row.key != "i-3");
    let news = follower.whole(Table::Upstreams, rows.collect(), 21);
    assert_eq!(retired(&news), names(["i-3"]));
}

#[test]
fn an_upstream_that_writes_again_after_a_restore_stays() {
    let mut follower = with_upstreams();
    follower.restored();
    follower.whole(Table::Upstreams, copied(), 20);
    let news = follower.changed(Table::Upstreams, upstream("i-9", "ready", 21));
    assert!(retired(&news).is_empty() && joined(&news).is_empty());
    assert!(follower.passes(5_000).is_empty());
}

#[test]
fn a_copy_older_than_all_upstreams_takes_none_away_at_once() {
    let mut follower = with_upstreams();
    follower.restored();
    assert!(follower.whole(Table::Upstreams, Vec::new(), 3).is_empty());
    assert!(follower.passes(1_600).is_empty());
    assert_eq!(retired(&follower.passes(400)).len(), 10);
}

/// Each row: whether the upstream that leaves is also gone before the store is lost, and for how long
/// it gets nothing at least though the copy says that it is ready.
#[test_case(false, 60_000; "it has not left yet")]
#[test_case(true, 4_000; "its row was gone")]
fn an_upstream_that_said_it_leaves_is_not_used_again_by_a_copy(is_gone: bool, ms: u64) {
    let mut follower = with_upstreams();
    let news = follower.changed(Table::Upstreams, upstream("i-3", "draining", 22));
    assert_eq!(retired(&news), names(["i-3"]));
    if is_gone {
        follower.changed(Table::Upstreams, deleted("i-3", 23));
    }
    follower.restored();
    let mut used = joined(&follower.whole(Table::Upstreams, copied(), 20));
    used.extend(joined(&follower.passes(ms)));
    assert!(used.is_empty(), "{used:?}");
}

#[test]
fn an_upstream_whose_leaving_is_written_again_is_left() {
    let mut follower = with_upstreams();
    follower.changed(Table::Upstreams, upstream("i-3", "draining", 22));
    follower.restored();
    follower.whole(Table::Upstreams, copied(), 20);
    let again = upstream("i-3", "draining", 21);
    assert!(joined(&follower.changed(Table::Upstreams, again)).is_empty());
    assert!(joined(&follower.changed(Table::Upstreams, deleted("i-3", 24))).is_empty());
    // A later start under its name is another upstream.
    let mut other = upstream("i-3", "ready", 25);
    let value = String::from_utf8(other.value.unwrap()).unwrap();
    other.value = Some(value.replace("127.0.0.1:9", "127.0.0.1:10").into_bytes());
    assert_eq!(
        joined(&follower.changed(Table::Upstreams, other)),
        names(["i-3"])
    );
}

#[test]
fn an_upstream_that_was_gone_and_lives_is_used_again_after_its_lease() {
    let mut follower = with_upstreams();
    let news = follower.changed(Table::Upstreams, deleted("i-3", 22));
    assert_eq!(retired(&news), names(["i-3"]));
    follower.restored();
    assert!(follower
        .whole(Table::Upstreams, copied(), 20)
        .iter()
        .all(|n| !matches!(n, Update::Joined(_))));
    assert!(joined(&follower.passes(4_000)).is_empty());
    assert_eq!(joined(&follower.passes(600)), names(["i-3"]));
}

#[test]
fn a_configuration_in_force_is_not_taken_back_by_a_copy() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.changed(Table::Operator, config(30, 25));
    follower.restored();
    let mut told = revisions(&follower.whole(Table::Operator, vec![config(23, 13)], 20));
    // The operator writes again what was lost, one after the other, under versions given out again.
    told.extend(revisions(
        &follower.changed(Table::Operator, config(26, 21)),
    ));
    assert!(told.is_empty(), "{told:?}");
    follower.changed(Table::Operator, config(30, 22));
    let told = revisions(&follower.changed(Table::Operator, config(33, 23)));
    assert_eq!(told, [33]);
}

#[test]
fn an_entry_that_starts_after_the_loss_learns_the_configuration_in_force() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.restored();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    let delta = follower.mirror.delta(Table::Operator, Stamp::default());
    let mut fresh = Mirror::default();
    let Merge::Applied(news) = fresh.apply_delta(delta.unwrap(), at(follower.now)) else {
        panic!("it is not taken");
    };
    assert_eq!(revisions(&news).last(), Some(&26));
}

#[test]
fn an_order_to_empty_a_data_hall_outlives_the_loss_of_its_row() {
    let mut follower = with_config();
    let order = row("evacuate/a", &json!({}), 24);
    assert_eq!(evacuated(&follower.changed(Table::Operator, order)), [1]);
    follower.restored();
    let news = follower.whole(Table::Operator, vec![config(23, 13)], 20);
    assert!(evacuated(&news).is_empty(), "{news:?}");
    assert!(evacuated(&follower.passes(20_000)).is_empty());
    // It is written again, and taken back.
    let again = row("evacuate/a", &json!({}), 22);
    assert_eq!(evacuated(&follower.changed(Table::Operator, again)), [1]);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 25))),
        [0]
    );
}

#[test]
fn an_order_that_was_taken_back_does_not_return_with_the_copy() {
    let mut follower = Follower::new();
    let order = row("evacuate/a", &json!({}), 14);
    let copy = vec![config(23, 13), order];
    follower.whole(Table::Operator, copy.clone(), 20);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 24))),
        [0]
    );
    follower.restored();
    let news = follower.whole(Table::Operator, copy, 20);
    assert!(evacuated(&news).is_empty(), "{news:?}");
    // A new order for it counts at once.
    let new = row("evacuate/a", &json!({}), 22);
    assert_eq!(evacuated(&follower.changed(Table::Operator, new)), [1]);
}

/// A row was changed and dropped again between two answers, or before this process began.
#[test]
fn a_state_that_was_never_heard_of_does_not_return_with_the_copy() {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![row("evacuate/a", &json!(2), 19)], 20);
    assert_eq!(
        evacuated(&follower.changed(Table::Operator, deleted("evacuate/a", 24))),
        [0]
    );
    follower.restored();
    let news = follower.whole(Table::Operator, vec![row("evacuate/a", &json!(1), 15)], 16);
    assert!(evacuated(&news).is_empty(), "{news:?}");
}

/// What is written before the first answer arrives has a version that was given out before, too.
#[test]
fn an_order_written_right_after_the_return_counts_at_once() {
    let mut follower = with_config();
    follower.changed(Table::Operator, config(26, 24));
    follower.restored();
    let rows = vec![config(23, 13), row("evacuate/a", &json!({}), 21)];
    assert_eq!(evacuated(&follower.whole(Table::Operator, rows, 21)), [1]);
}

#[test]
fn an_order_holds_while_the_operator_cannot_write_it_again() {
    let mut follower = with_config();
    follower.changed(Table::Operator, row("evacuate/a", &json!({}), 24));
    follower.restored();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    assert!(evacuated(&follower.passes(20_000)).is_empty());
    assert!(evacuated(&follower.passes_unheard(60_000)).is_empty());
    assert!(evacuated(&follower.passes(5_000)).is_empty());
    assert_eq!(evacuated(&follower.passes(6_000)), [0]);
}

/// The second loss comes while the first is being made good.
#[test]
fn what_holds_after_one_loss_holds_after_another() {
    let mut follower = with_upstreams();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    follower.changed(Table::Operator, config(26, 24));
    follower.changed(Table::Upstreams, upstream("i-3", "draining", 25));
    for _ in 0..2 {
        follower.restored();
        let news = follower.whole(Table::Operator, vec![config(23, 13)], 20);
        assert!(revisions(&news).is_empty(), "{news:?}");
        let news = follower.whole(Table::Upstreams, copied(), 20);
        assert!(joined(&news).is_empty(), "{news:?}");
    }
    assert!(joined(&follower.passes(10_000)).is_empty());
}

const MOVE: &str = "rollout/engines";

fn order(version: u64) -> Row {
    let value = json!({"service": "engines", "target-version": "v2", "duration-s": 24});
    row(MOVE, &value, version)
}

fn record(state: &str, version: u64) -> Row {
    let value = json!({"service": "engines", "target-version": "v2", "state": state});
    row(MOVE, &value, version)
}

fn moves(news: &[Update]) -> Vec<(Stamp, Option<State>)> {
    let told = news.iter().filter_map(|news| match news {
        Update::Move(order, state, _) => Some((order.issued, *state)),
        _ => None,
    });
    told.collect()
}

/// A follower of a move that was ordered at 22 and completed at 25, of which nothing was copied, after
/// the store came back from a copy at 20.
fn with_move() -> Follower {
    let mut follower = with_config();
    follower.whole(Table::Progress, Vec::new(), 20);
    follower.whole(Table::Own, Vec::new(), 20);
    follower.changed(Table::Operator, order(22));
    follower.changed(Table::Progress, record("running", 23));
    follower.changed(Table::Own, row(MOVE, &json!(1_000_000), 23));
    follower.changed(Table::Progress, record("completed", 25));
    follower.restored();
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
fn an_order_that_is_written_again_is_the_same_order() {
    let mut follower = with_move();
    let told = moves(&follower.changed(Table::Operator, order(21)));
    assert_eq!(told, [(Stamp::new(Era(4), 22), Some(State::Completed))]);
    // What the operator orders later is another one, though it asks for the same.
    let told = moves(&follower.changed(Table::Operator, order(30)));
    assert_eq!(told, [(Stamp::new(Era(5), 30), None)]);
}

#[test]
fn records_that_were_lost_are_to_be_written_again() {
    let mut follower = with_move();
    let both = [
        (Table::Progress, MOVE.to_owned(), 0),
        (Table::Own, MOVE.to_owned(), 0),
    ];
    assert_eq!(lost(&follower), both);
    // Another entry was sooner.
    follower.changed(Table::Progress, record("completed", 21));
    follower.changed(Table::Own, row(MOVE, &json!(1_000_000), 21));
    assert!(lost(&follower).is_empty());
}

#[test]
fn a_record_that_stands_before_its_order_is_written_again() {
    let mut follower = with_move();
    follower.changed(Table::Progress, record("completed", 21));
    follower.changed(Table::Own, row(MOVE, &json!(1_000_000), 21));
    follower.changed(Table::Operator, order(24));
    assert_eq!(lost(&follower), [(Table::Progress, MOVE.to_owned(), 21)]);
    let told = moves(&follower.changed(Table::Progress, record("completed", 26)));
    assert_eq!(told, [(Stamp::new(Era(4), 22), Some(State::Completed))]);
    assert!(lost(&follower).is_empty());
}

/// The copy holds an earlier state of the record, under a version that is the condition.
#[test]
fn a_record_that_the_copy_holds_in_an_earlier_state_is_written_again() {
    let mut follower = Follower::new();
    let copied = vec![config(23, 13), order(14)];
    follower.whole(Table::Operator, copied.clone(), 20);
    follower.whole(Table::Progress, vec![record("running", 15)], 20);
    follower.changed(Table::Progress, record("completed", 25));
    follower.restored();
    assert!(moves(&follower.whole(Table::Operator, copied, 20)).is_empty());
    let news = follower.whole(Table::Progress, vec![record("running", 15)], 20);
    assert!(moves(&news).is_empty(), "{news:?}");
    assert_eq!(lost(&follower), [(Table::Progress, MOVE.to_owned(), 15)]);
}

/// Each entry writes where it is, and no other does.
#[test]
fn the_row_of_an_entry_is_written_again_by_that_entry() {
    let mut follower = Follower::new();
    follower.whole(Table::Own, Vec::new(), 20);
    for (name, version) in [("entry/e-1", 22), ("entry/e-2", 23)] {
        follower.changed(Table::Own, row(name, &json!({}), version));
    }
    follower.restored();
    follower.whole(Table::Own, Vec::new(), 20);
    assert_eq!(lost(&follower), [(Table::Own, "entry/e-1".to_owned(), 0)]);
}

/// Each row: the eras that the store tells before and after it came back with lower versions.
#[test_case(None, None; "none is told")]
#[test_case(Some(4), Some(4); "it does not rise")]
#[test_case(Some(4), Some(2); "it falls")]
#[test_case(Some(4), None; "it is not told any more")]
#[test_case(None, Some(7); "it is told from then on")]
fn a_store_that_goes_back_is_followed_whatever_era_it_tells(
    before: Option<u64>,
    after: Option<u64>,
) {
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

/// An answer that was on its way when the store was lost.
#[test]
fn an_answer_of_an_earlier_era_that_arrives_late_is_left() {
    let mut follower = Follower::new();
    follower.whole(Table::Operator, vec![config(23, 31)], 31);
    follower.restored();
    follower.whole(Table::Operator, vec![config(23, 13)], 20);
    let late = Page {
        era: Some(Era(4)),
        ..follower.page(vec![config(40, 33)], 33)
    };
    let (asked, now) = (at(follower.now - 10), at(follower.now + 10));
    let heard = follower
        .mirror
        .observe_era(Table::Operator, &late, true, asked, now);
    assert_eq!(heard, Freshness::Stale);
    assert_eq!(
        follower.mirror.stamp(Table::Operator),
        Stamp::new(Era(5), 20)
    );
}
