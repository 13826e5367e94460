//! Updates that an entry derives from changes of the store's tables.

use serde_json::{json, Value};
use sorreldeck::Time;
use sorreldeck_platform::store::{Page, Row};
use sorreldeck_platform::Table;
use sorreldeck_sim::rows::{self, deleted};
use sorreldeckd::hosted::{Merge, Mirror, Update};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn row(id: &str, state: &str, version: u64) -> Row {
    rows::row(id, &upstream(state, None), version)
}

/// Returns the row value of an upstream; `born` is the time of its start.
fn upstream(state: &str, born: Option<u64>) -> Value {
    let mut value = rows::upstream(state);
    if let Some(born) = born {
        value["born"] = born.into();
    }
    value
}

fn page(rows: Vec<Row>, version: u64) -> Page {
    Page {
        rows,
        version,
        now: Duration::ZERO,
        era: None,
    }
}

/// Returns a mirror that knows eight upstreams, `i-0` to `i-7`, at version 10.
fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    let rows = (0..8)
        .map(|i| row(&format!("i-{i}"), "ready", 10))
        .collect();
    let updates = mirror.apply(Table::Upstreams, page(rows, 10), true, at(0));
    assert_eq!(updates.len(), 8);
    mirror
}

fn retired(updates: &[Update]) -> Vec<String> {
    let names = updates.iter().filter_map(|n| match n {
        Update::Retired(upstream) => Some(upstream.to_string()),
        _ => None,
    });
    names.collect()
}

/// Guards against mistaking a few departures for expired leases. The rows of three upstreams that
/// left without a notice within 0.8 s were removed in one page, and the upstreams still got
/// requests 2.0 s after they had left.
#[test]
fn a_few_upstreams_that_leave_together_are_retired_at_once() {
    let mut mirror = mirror();
    let rows = vec![deleted("i-0", 11), deleted("i-1", 12), deleted("i-2", 13)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 13), false, at(100));
    assert_eq!(retired(&updates), ["i-0", "i-1", "i-2"]);
}

/// Guards against counting rows of upstreams that were retired before. The rows of eleven
/// upstreams retired 3 s earlier were removed in one page with that of one which left without a
/// notice. All twelve were taken for expired leases, and that one got a request 2.05 s later.
#[test]
fn rows_of_retired_upstreams_are_no_sign_of_expired_leases() {
    let mut mirror = mirror();
    let draining = (0..5).map(|i| row(&format!("i-{i}"), "draining", 11));
    let draining = page(draining.collect(), 11);
    mirror.apply(Table::Upstreams, draining, false, at(100));
    let rows = (0..6).map(|i| deleted(&format!("i-{i}"), 12)).collect();
    let updates = mirror.apply(Table::Upstreams, page(rows, 12), false, at(3_000));
    assert_eq!(retired(&updates), ["i-5"]);
}

#[test]
fn a_draining_upstream_is_retired_at_once() {
    let mut mirror = mirror();
    let rows = vec![row("i-3", "draining", 11)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(retired(&updates), ["i-3"]);
}

/// During an outage of the store leases expire, and the rows of most upstreams are removed in one
/// page: 18 to 21 of 21, 11 and 12 of 12, and 14 and 15 of 15 were seen after outages of 8 s.
#[test]
fn upstreams_whose_leases_expired_in_an_outage_may_renew_them() {
    let mut mirror = mirror();
    let rows = (0..7).map(|i| deleted(&format!("i-{i}"), 11 + i)).collect();
    let updates = mirror.apply(Table::Upstreams, page(rows, 17), false, at(5_400));
    assert!(updates.is_empty(), "{updates:?}");
    assert_eq!(mirror.take_suspects()[0].keys.len(), 7);
    let last = vec![deleted("i-7", 18)];
    let updates = mirror.apply(Table::Upstreams, page(last, 18), false, at(5_900));
    assert!(
        updates.is_empty(),
        "the last lease expires a page later: {updates:?}"
    );
    let back = (0..6).map(|i| row(&format!("i-{i}"), "ready", 20 + i));
    let back = page(back.collect(), 25);
    let updates = mirror.apply(Table::Upstreams, back, false, at(6_000));
    assert!(updates.is_empty(), "they were never retired: {updates:?}");
    assert!(mirror.tick(at(7_100), None).is_empty());
    assert_eq!(retired(&mirror.tick(at(7_200), None)), ["i-6"]);
    assert_eq!(retired(&mirror.tick(at(7_700), None)), ["i-7"]);
}

/// Guards against taking failed calls of the store for a sign of expired leases: an upstream that
/// left without a notice got requests for up to 4.1 s. Calls also fail while the store works: they
/// hang on a connection that no longer delivers, a wait times out, or the store refuses one entry.
/// The log then has `retired` with `from=lapsed` 1.8 s after the removal of the row, shortly after
/// `store-lost`.
///
/// Each row: the table whose calls failed, how often in a row, and how many of eight upstreams
/// leave.
#[test_case(Table::Operator, 1, 1; "one call hung on a connection that does not deliver")]
#[test_case(Table::Operator, 8, 1; "the store refuses this entry")]
#[test_case(Table::Operator, 8, 2; "two that leave together")]
#[test_case(Table::Operator, 8, 3; "three that leave together")]
#[test_case(Table::Upstreams, 1, 1; "one wait for upstreams timed out")]
#[test_case(Table::Upstreams, 2, 1; "reads of upstreams get no answer")]
#[test_case(Table::Progress, 3, 1; "reads of records get no answer")]
#[test_case(Table::Own, 1, 1; "a wait for entries timed out")]
fn failed_calls_are_no_sign_of_expired_leases(table: Table, times: u64, leaving: u64) {
    let mut mirror = mirror();
    for _ in 0..times {
        mirror.mark_failing(table);
    }
    let rows = (0..leaving).map(|i| deleted(&format!("i-{i}"), 11 + i));
    let rows = page(rows.collect(), 10 + leaving);
    let updates = mirror.apply(Table::Upstreams, rows, false, at(5_500));
    assert_eq!(retired(&updates).len() as u64, leaving);
    assert!(mirror.take_suspects().is_empty());
}

#[test]
fn removal_of_all_rows_at_once_means_expired_leases() {
    let mut mirror = mirror();
    let rows = (0..8).map(|i| deleted(&format!("i-{i}"), 11 + i)).collect();
    let updates = mirror.apply(Table::Upstreams, page(rows, 18), false, at(100));
    assert!(updates.is_empty(), "{updates:?}");
    assert_eq!(retired(&mirror.tick(at(2_000), None)).len(), 8);
}

#[test]
fn an_older_page_changes_nothing() {
    let mut mirror = mirror();
    let updates = mirror.apply(Table::Upstreams, page(Vec::new(), 9), true, at(100));
    assert!(updates.is_empty());
    assert_eq!(mirror.version(Table::Upstreams), 10);
    let updates = mirror.apply_copy(Table::Upstreams, page(Vec::new(), 10), Vec::new(), at(100));
    assert!(updates.is_empty());
}

#[test]
fn rows_missing_from_a_whole_page_are_removed() {
    let mut mirror = mirror();
    let rows = (1..8)
        .map(|i| row(&format!("i-{i}"), "ready", 10))
        .collect();
    let updates = mirror.apply(Table::Upstreams, page(rows, 20), true, at(100));
    assert_eq!(retired(&updates), ["i-0"]);
}

#[test]
fn a_restarted_upstream_is_a_new_one() {
    let mut mirror = mirror();
    let rows = vec![deleted("i-0", 11), row("i-9", "ready", 12)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 12), false, at(100));
    assert_eq!(retired(&updates), ["i-0"]);
    assert!(updates.iter().any(|n| matches!(n, Update::Joined(_, _))));
}

#[test]
fn a_malformed_row_is_reported_and_affects_no_other_row() {
    let mut mirror = mirror();
    let nonsense = |key: &str| Row {
        key: key.into(),
        value: Some(b"nonsense".to_vec()),
        version: 11,
    };
    let rows = vec![nonsense("i-0")];
    let updates = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(
        retired(&updates),
        ["i-0"],
        "the row no longer describes that upstream"
    );
    assert_eq!(updates.len(), 1);
    assert_eq!(mirror.take_malformed().len(), 1);
    let rows = vec![nonsense("config")];
    let updates = mirror.apply(Table::Operator, page(rows, 11), false, at(100));
    assert!(updates.is_empty());
    assert_eq!(mirror.take_malformed().len(), 1);
}

#[test]
fn the_record_of_an_earlier_rollout_is_ignored() {
    let mut mirror = Mirror::default();
    let key = "rollout/engines";
    let order = |version| Row {
        key: key.into(),
        value: Some(br#"{"service": "engines", "target-version": "v2", "duration-s": 9}"#.to_vec()),
        version,
    };
    let record = Row {
        key: key.into(),
        value: Some(
            br#"{"service": "engines", "target-version": "v2", "state": "completed"}"#.to_vec(),
        ),
        version: 6,
    };
    mirror.apply(Table::Progress, page(vec![record], 6), true, at(0));
    let state = |updates: &[Update]| match updates {
        [Update::Move(_, state, _)] => *state,
        other => panic!("{other:?}"),
    };
    let updates = mirror.apply(Table::Operator, page(vec![order(5)], 6), true, at(0));
    assert_eq!(state(&updates), Some(sorreldeck::release::State::Completed));
    let updates = mirror.apply(Table::Operator, page(vec![order(7)], 7), false, at(0));
    assert_eq!(state(&updates), None);
}

/// Changes two upstreams of a mirror; returns the delta for a receiver at version `have`.
fn delta_after_changes(sender: &mut Mirror, have: u64) -> sorreldeck::wire::TableDelta {
    let rows = vec![row("i-0", "draining", 11), deleted("i-1", 12)];
    sender.apply(Table::Upstreams, page(rows, 13), false, at(100));
    sender.delta(Table::Upstreams, have.into()).unwrap()
}

#[test]
fn a_delta_gives_the_same_updates_as_the_store() {
    let (mut sender, mut receiver) = (mirror(), mirror());
    let delta = delta_after_changes(&mut sender, 10);
    assert_eq!(
        (delta.since, delta.version, delta.rows.len()),
        (Some(10), 13, 2)
    );
    let Merge::Applied(updates) = receiver.apply_delta(delta.clone(), at(200)) else {
        panic!("nothing was taken in");
    };
    let left: BTreeSet<String> = retired(&updates).into_iter().collect();
    assert_eq!(left, BTreeSet::from(["i-0".into(), "i-1".into()]));
    assert_eq!(receiver.version(Table::Upstreams), 13);
    assert!(
        matches!(receiver.apply_delta(delta, at(300)), Merge::Stale),
        "the delta is delivered twice"
    );
}

#[test]
fn an_empty_mirror_gets_the_whole_table() {
    let mut sender = mirror();
    let delta = delta_after_changes(&mut sender, 0);
    assert_eq!((delta.since, delta.rows.len()), (None, 7));
    let mut receiver = Mirror::default();
    let Merge::Applied(updates) = receiver.apply_delta(delta, at(200)) else {
        panic!("nothing was taken in");
    };
    assert_eq!(updates.len(), 6, "one of the seven is leaving: {updates:?}");
}

#[test]
fn a_delta_with_a_gap_is_not_applied() {
    let mut sender = mirror();
    let delta = delta_after_changes(&mut sender, 11);
    let mut receiver = mirror();
    assert!(matches!(receiver.apply_delta(delta, at(200)), Merge::Gap));
    assert_eq!(receiver.version(Table::Upstreams), 10);
}

#[test]
fn an_older_delta_from_another_source_is_ignored() {
    let (mut sender, mut receiver) = (mirror(), mirror());
    let old = delta_after_changes(&mut sender, 10);
    let rows = vec![
        deleted("i-0", 11),
        deleted("i-1", 12),
        row("i-8", "ready", 14),
    ];
    receiver.apply(Table::Upstreams, page(rows, 14), false, at(150));
    assert!(matches!(receiver.apply_delta(old, at(200)), Merge::Stale));
    assert_eq!(receiver.version(Table::Upstreams), 14);
    assert!(receiver.row(Table::Upstreams, "i-0").is_none());
}

/// A configuration takes about 20 KB, so the retained changes are bounded by their bytes. A receiver
/// that needs older changes gets the whole table.
#[test]
fn the_whole_table_is_sent_if_changes_are_no_longer_retained() {
    let mut sender = Mirror::default();
    let big = |version| Row {
        key: "x".into(),
        value: Some(vec![0; 20_000]),
        version,
    };
    sender.apply(Table::Own, page(vec![big(1)], 1), true, at(0));
    for version in 2..40 {
        sender.apply(
            Table::Own,
            page(vec![big(version)], version),
            false,
            at(version),
        );
    }
    assert_eq!(sender.delta(Table::Own, 2.into()).unwrap().since, None);
    assert_eq!(sender.delta(Table::Own, 38.into()).unwrap().since, Some(38));
    assert!(sender.delta(Table::Own, 39.into()).is_none());
}

fn joined(updates: &[Update]) -> Vec<Option<u64>> {
    let starts = updates.iter().filter_map(|n| match n {
        Update::Joined(listed, _) => Some(listed.member.placement.incarnation.map(|start| start.0)),
        _ => None,
    });
    starts.collect()
}

/// Each row: the start times in successive rows of one upstream, and those that make it a new one.
#[test_case(&[None, None], &[None]; "no start time")]
#[test_case(&[Some(5), Some(5)], &[Some(5)]; "the same start")]
#[test_case(&[Some(5), Some(9)], &[Some(5), Some(9)]; "a newer one")]
#[test_case(&[Some(9), Some(5)], &[Some(9), Some(5)]; "one whose clock was set back")]
#[test_case(&[Some(5), Some(9), Some(5)], &[Some(5), Some(9)]; "a late row of an earlier one")]
#[test_case(&[Some(9), Some(5), Some(9)], &[Some(9), Some(5)]; "a late row of one whose clock was ahead")]
#[test_case(&[None, Some(9)], &[None, Some(9)]; "the first start time")]
#[test_case(&[Some(9), None], &[Some(9)]; "the start time is missing later")]
fn another_start_under_the_same_name_is_another_upstream(
    starts: &[Option<u64>],
    expected: &[Option<u64>],
) {
    let mut mirror = Mirror::default();
    let mut found = Vec::new();
    let mut left = 0;
    for (number, start) in starts.iter().enumerate() {
        let version = 10 + number as u64;
        let rows = vec![rows::row("i-1", &upstream("ready", *start), version)];
        let updates = mirror.apply(Table::Upstreams, page(rows, version), false, at(version));
        found.extend(joined(&updates));
        left += retired(&updates).len();
    }
    assert_eq!(found, expected);
    assert_eq!(left, expected.len() - 1, "the previous one is retired");
}

/// Applies rows of one upstream with these states and start times; returns the mirror and how many
/// starts of it were used.
fn mirror_after(rows: &[(&str, u64)]) -> (Mirror, usize) {
    let mut mirror = Mirror::default();
    let mut used = 0;
    for (number, (state, born)) in rows.iter().enumerate() {
        let version = 10 + number as u64;
        let rows = vec![rows::row("i-1", &upstream(state, Some(*born)), version)];
        let updates = mirror.apply(Table::Upstreams, page(rows, version), false, at(version));
        used += joined(&updates).len();
    }
    (mirror, used)
}

#[test_case(&[("ready", 5), ("ready", 9), ("draining", 9), ("ready", 5)]; "its clock went forward")]
#[test_case(&[("ready", 9), ("ready", 5), ("draining", 5), ("ready", 9)]; "its clock was set back")]
#[test_case(&[("ready", 9), ("ready", 9), ("draining", 9), ("ready", 9)]; "a late row of the start that left")]
fn a_late_row_that_arrives_after_the_latest_start_left_is_not_used(rows: &[(&str, u64)]) {
    let starts: BTreeSet<u64> = rows.iter().map(|(_, born)| *born).collect();
    let (mut mirror, used) = mirror_after(rows);
    assert_eq!(used, starts.len());
    // Rows of an upstream that has gone are removed after three heartbeats of 1.2 s.
    for ms in (0..3_600).step_by(200) {
        let now = at(100 + ms);
        assert!(mirror.tick(now, Some(now)).is_empty(), "after {ms} ms");
    }
}

#[test]
fn requests_went_on_to_a_draining_upstream_whose_clock_was_set_back() {
    let (_, used) = mirror_after(&[("ready", 9), ("ready", 5)]);
    assert_eq!(used, 2);
    let (mut mirror, _) = mirror_after(&[("ready", 9), ("ready", 5)]);
    let rows = vec![rows::row("i-1", &upstream("draining", Some(5)), 20)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 20), false, at(100));
    assert_eq!(retired(&updates), ["i-1"]);
}

#[test]
fn a_start_that_looks_like_an_earlier_one_is_used_once_its_row_is_no_late_one() {
    let (mut mirror, _) = mirror_after(&[("ready", 9), ("draining", 9), ("ready", 9)]);
    let mut used = 0;
    for ms in (0..10_000).step_by(200) {
        // Without contact to the store nothing shows whether the row was written again.
        let synced = (ms >= 5_000).then(|| at(100 + ms));
        let found = joined(&mirror.tick(at(100 + ms), synced)).len();
        assert!(found == 0 || ms >= 9_000, "used after {ms} ms");
        used += found;
    }
    assert_eq!(used, 1);
}

#[test]
fn an_upstream_with_a_new_address_is_replaced() {
    let mut mirror = mirror();
    let mut value = upstream("ready", None);
    value["address"] = "127.0.0.1:10".into();
    let rows = vec![rows::row("i-3", &value, 11)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(retired(&updates), ["i-3"]);
    assert_eq!(joined(&updates).len(), 1);
}

/// Another writer overwrites the row of an upstream: that upstream is retired, the others stay.
#[test_case(b"" ; "nothing")]
#[test_case(b"\xff\xfe\x00"; "bytes that are no text")]
#[test_case(b"{\"service\":\"engines\",\"address\":\"127.0.0.1:9\"}"; "fields missing")]
#[test_case(b"[[[[[[[["; "an open list")]
fn a_malformed_row_retires_only_its_upstream(value: &[u8]) {
    let mut mirror = mirror();
    let bad = |id: &str, version| Row {
        key: id.into(),
        value: Some(value.to_vec()),
        version,
    };
    let rows = vec![
        bad("i-3", 11),
        bad("i-99", 12),
        bad("odd \n key", 13),
        row("i-8", "ready", 14),
    ];
    let updates = mirror.apply(Table::Upstreams, page(rows, 14), false, at(100));
    assert_eq!(retired(&updates), ["i-3"]);
    assert_eq!(joined(&updates).len(), 1);
    assert_eq!(
        mirror.take_malformed().len(),
        3,
        "each malformed row is reported"
    );
}

fn evacuated(updates: &[Update]) -> Vec<Vec<String>> {
    let orders = updates.iter().filter_map(|n| match n {
        Update::Evacuated(halls) => Some(halls.iter().map(ToString::to_string).collect()),
        _ => None,
    });
    orders.collect()
}

fn evacuation(key: &str, version: u64) -> Row {
    rows::row(key, &json!({}), version)
}

/// Guards against an evacuation that is not read: the row was ignored, and evacuated data halls got
/// 3,445 and 3,933 requests.
#[test]
fn an_evacuation_applies_until_its_row_is_removed() {
    let mut mirror = Mirror::default();
    let rows = vec![evacuation("evacuate/a", 5), evacuation("evacuate/b", 6)];
    let updates = mirror.apply(Table::Operator, page(rows, 6), true, at(0));
    assert_eq!(evacuated(&updates), [["a", "b"]]);
    let back = page(vec![deleted("evacuate/a", 7)], 7);
    let updates = mirror.apply(Table::Operator, back, false, at(100));
    assert_eq!(evacuated(&updates), [["b"]]);
    // The store lost its history, and the whole table that is read next has no evacuation.
    let updates = mirror.apply(Table::Operator, page(Vec::new(), 9), true, at(200));
    assert_eq!(evacuated(&updates), [[""; 0]]);
    let updates = mirror.apply(
        Table::Operator,
        page(vec![evacuation("evacuate/a", 11)], 11),
        false,
        at(300),
    );
    assert_eq!(evacuated(&updates), [["a"]]);
}

/// An older page that arrives late from a source that is behind changes nothing.
#[test]
fn an_older_page_does_not_revoke_an_evacuation() {
    let mut mirror = Mirror::default();
    mirror.apply(
        Table::Operator,
        page(vec![evacuation("evacuate/a", 5)], 5),
        true,
        at(0),
    );
    let updates = mirror.apply_copy(Table::Operator, page(Vec::new(), 4), Vec::new(), at(100));
    assert!(evacuated(&updates).is_empty());
    let updates = mirror.apply(
        Table::Operator,
        page(vec![deleted("evacuate/a", 3)], 5),
        false,
        at(200),
    );
    assert!(evacuated(&updates).is_empty(), "{updates:?}");
}

/// An upstream that becomes cold without a restart writes its row again.
#[test]
fn an_upstream_that_becomes_cold_is_reported() {
    let mut mirror = mirror();
    let mut cold = upstream("ready", None);
    cold["cold-left-ms"] = 2_400.into();
    let rows = vec![rows::row("i-3", &cold, 11)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert!(matches!(&updates[..], [Update::Cold(upstream, left)]
        if upstream.as_str() == "i-3" && left.millis() == 2_400));
    let rows = vec![row("i-3", "ready", 12)];
    let updates = mirror.apply(Table::Upstreams, page(rows, 12), false, at(2_600));
    assert!(updates.is_empty(), "{updates:?}");
}

/// Returns a mirror with 3,000 upstreams.
fn many_upstreams() -> Mirror {
    let mut mirror = Mirror::default();
    let rows = (0..3_000u64).map(|i| {
        let mut value = upstream("ready", Some(1_790_000_000_000 + i * 7_919));
        value["address"] = format!("10.2.{}.{}:8247", i / 250, i % 250).into();
        rows::row(
            &format!("i-{:010x}", i.wrapping_mul(0x9e37_79b9_7f4a)),
            &value,
            1 + i,
        )
    });
    mirror.apply(Table::Upstreams, page(rows.collect(), 3_000), true, at(0));
    mirror
}

/// 530 KB of rows compress to 66 KB.
#[test]
fn whole_tables_are_compressed() {
    let mut sender = many_upstreams();
    let delta = delta_after_changes(&mut sender, 0);
    let packed = delta.packed.as_ref().unwrap().len();
    let plain: usize = sender
        .rows(Table::Upstreams)
        .map(|row| row.key.len() + row.value.as_ref().unwrap().len() + 8)
        .sum();
    println!("{plain} bytes compressed to {packed}");
    assert!(packed * 4 < plain, "{plain} bytes compressed to {packed}");
    assert!(delta.rows.is_empty());
    let mut receiver = Mirror::default();
    let Merge::Applied(updates) = receiver.apply_delta(delta, at(0)) else {
        panic!("it is not taken");
    };
    assert_eq!(updates.len(), 3_000);
    assert!(receiver
        .rows(Table::Upstreams)
        .eq(sender.rows(Table::Upstreams)));
    let again = delta_after_changes(&mut sender, 0);
    let (first, second) = (
        delta_after_changes(&mut sender, 0).packed.unwrap(),
        again.packed.unwrap(),
    );
    assert!(
        std::ptr::eq(&*first, &*second),
        "all receivers share the compressed table"
    );
    // Later changes are sent as single rows.
    let changed = vec![row("i-new", "ready", 3_001)];
    sender.apply(Table::Upstreams, page(changed, 3_001), false, at(100));
    let delta = delta_after_changes(&mut sender, 3_000);
    assert_eq!((delta.rows.len(), delta.packed.is_some()), (1, false));
}

/// Guards against large rows that are sent uncompressed: a configuration of 1,900 routes blocked the
/// links of entries with little CPU for seconds.
#[test]
fn one_large_row_is_compressed() {
    let mut sender = Mirror::default();
    let route = |number: u64| {
        format!("{{\"name\":\"r-{number}\",\"host\":\"a.example\",\"path-prefix\":\"/{number}/\",\"timeout-ms\":20000}}")
    };
    let routes: Vec<String> = (0..1_900).map(route).collect();
    let value = format!("{{\"version\":10,\"routes\":[{}]}}", routes.join(","));
    sender.apply(Table::Operator, page(Vec::new(), 1), true, at(0));
    let changed = Row {
        key: "config".into(),
        value: Some(value.clone().into_bytes()),
        version: 2,
    };
    sender.apply(Table::Operator, page(vec![changed], 2), false, at(0));
    let delta = sender.delta(Table::Operator, 1.into()).unwrap();
    let packed = delta.packed.as_ref().unwrap();
    assert!(
        packed.len() * 4 < value.len(),
        "{} of {}",
        packed.len(),
        value.len()
    );
    let mut receiver = Mirror::default();
    receiver.apply(Table::Operator, page(Vec::new(), 1), true, at(0));
    receiver.apply_delta(delta, at(0));
    assert!(receiver
        .rows(Table::Operator)
        .eq(sender.rows(Table::Operator)));
}

#[test]
fn a_corrupt_compressed_table_is_requested_again() {
    let mut sender = many_upstreams();
    let mut delta = delta_after_changes(&mut sender, 0);
    let packed = delta.packed.as_mut().unwrap();
    let half = packed.len() / 2;
    *packed = packed[..half].to_vec().into();
    let mut receiver = Mirror::default();
    assert!(matches!(receiver.apply_delta(delta, at(0)), Merge::Gap));
    assert_eq!(receiver.version(Table::Upstreams), 0);
    assert_eq!(receiver.take_malformed().len(), 1);
}
