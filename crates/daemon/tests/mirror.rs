//! What changes of the store's tables mean.

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

/// Returns what an upstream writes of itself.
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

/// A mirror that knows eight upstreams, `i-0` to `i-7`, at version 10.
fn mirror() -> Mirror {
    let mut mirror = Mirror::default();
    let rows = (0..8)
        .map(|i| row(&format!("i-{i}"), "ready", 10))
        .collect();
    let news = mirror.apply(Table::Upstreams, page(rows, 10), true, at(0));
    assert_eq!(news.len(), 8);
    mirror
}

fn retired(news: &[Update]) -> Vec<String> {
    let names = news.iter().filter_map(|n| match n {
        Update::Retired(upstream) => Some(upstream.to_string()),
        _ => None,
    });
    names.collect()
}

/// Three upstreams that left without a word within 0.8 s came in one page and were taken for
/// lapsed leases, so that they got requests 2.0 s after they had left.
#[test]
fn a_few_that_leave_together_are_left_at_once() {
    let mut mirror = mirror();
    let rows = vec![deleted("i-0", 11), deleted("i-1", 12), deleted("i-2", 13)];
    let news = mirror.apply(Table::Upstreams, page(rows, 13), false, at(100));
    assert_eq!(retired(&news), ["i-0", "i-1", "i-2"]);
}

/// The rows of eleven upstreams that had been left 3 s before went in one page with that of
/// one which left without a word. All twelve were taken for lapsed leases, and that one got a
/// request 2.05 s after.
#[test]
fn the_rows_of_upstreams_that_were_left_before_say_nothing_of_leases() {
    let mut mirror = mirror();
    let draining = (0..5).map(|i| row(&format!("i-{i}"), "draining", 11));
    let draining = page(draining.collect(), 11);
    mirror.apply(Table::Upstreams, draining, false, at(100));
    let rows = (0..6).map(|i| deleted(&format!("i-{i}"), 12)).collect();
    let news = mirror.apply(Table::Upstreams, page(rows, 12), false, at(3_000));
    assert_eq!(retired(&news), ["i-5"]);
}

#[test]
fn a_draining_upstream_is_left_at_once() {
    let mut mirror = mirror();
    let rows = vec![row("i-3", "draining", 11)];
    let news = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(retired(&news), ["i-3"]);
}

/// As the lines of entries told after outages of 8 s, over three installations: 18 to 21 of
/// 21, 11 and 12 of 12, 14 and 15 of 15 upstreams vanished in one page, on 18 of 18 days.
#[test]
fn leases_that_lapse_while_the_store_is_down_may_come_back() {
    let mut mirror = mirror();
    let rows = (0..7).map(|i| deleted(&format!("i-{i}"), 11 + i)).collect();
    let news = mirror.apply(Table::Upstreams, page(rows, 17), false, at(5_400));
    assert!(news.is_empty(), "{news:?}");
    assert_eq!(mirror.take_suspects()[0].keys.len(), 7);
    let last = vec![deleted("i-7", 18)];
    let news = mirror.apply(Table::Upstreams, page(last, 18), false, at(5_900));
    assert!(news.is_empty(), "the last of them a page later: {news:?}");
    let back = (0..6).map(|i| row(&format!("i-{i}"), "ready", 20 + i));
    let back = page(back.collect(), 25);
    let news = mirror.apply(Table::Upstreams, back, false, at(6_000));
    assert!(news.is_empty(), "they were never left: {news:?}");
    assert!(mirror.tick(at(7_100), None).is_empty());
    assert_eq!(retired(&mirror.tick(at(7_200), None)), ["i-6"]);
    assert_eq!(retired(&mirror.tick(at(7_700), None)), ["i-7"]);
}

/// An upstream that left without a word got requests for up to 4.1 s, where what befell calls
/// of the store was taken for a sign of lapsed leases. Calls fail beside a store that is well:
/// they hang on a silent connection, a wait is given up, the store turns one entry away.
/// Evidence: lines of `retired` with `from=lapsed` 1.8 s after the row was gone and shortly after
/// a `store-lost`.
///
/// Each row: the table that failed, how often in a row, and how many of eight upstreams vanish.
#[test_case(Table::Operator, 1, 1; "one call hung on a silent connection")]
#[test_case(Table::Operator, 8, 1; "the store turns this entry away")]
#[test_case(Table::Operator, 8, 2; "two that leave together")]
#[test_case(Table::Operator, 8, 3; "three that leave together")]
#[test_case(Table::Upstreams, 1, 1; "one wait for upstreams was given up")]
#[test_case(Table::Upstreams, 2, 1; "upstreams are not answered for")]
#[test_case(Table::Progress, 3, 1; "records are not answered for")]
#[test_case(Table::Own, 1, 1; "a wait for entries was given up")]
fn calls_that_fail_are_no_sign_of_lapsed_leases(table: Table, times: u64, leaving: u64) {
    let mut mirror = mirror();
    for _ in 0..times {
        mirror.mark_failing(table);
    }
    let rows = (0..leaving).map(|i| deleted(&format!("i-{i}"), 11 + i));
    let rows = page(rows.collect(), 10 + leaving);
    let news = mirror.apply(Table::Upstreams, rows, false, at(5_500));
    assert_eq!(retired(&news).len() as u64, leaving);
    assert!(mirror.take_suspects().is_empty());
}

#[test]
fn when_all_vanish_at_once_their_leases_have_lapsed() {
    let mut mirror = mirror();
    let rows = (0..8).map(|i| deleted(&format!("i-{i}"), 11 + i)).collect();
    let news = mirror.apply(Table::Upstreams, page(rows, 18), false, at(100));
    assert!(news.is_empty(), "{news:?}");
    assert_eq!(retired(&mirror.tick(at(2_000), None)).len(), 8);
}

#[test]
fn an_older_page_changes_nothing() {
    let mut mirror = mirror();
    let news = mirror.apply(Table::Upstreams, page(Vec::new(), 9), true, at(100));
    assert!(news.is_empty());
    assert_eq!(mirror.version(Table::Upstreams), 10);
    let news = mirror.apply_copy(Table::Upstreams, page(Vec::new(), 10), Vec::new(), at(100));
    assert!(news.is_empty());
}

#[test]
fn a_whole_page_tells_what_is_gone() {
    let mut mirror = mirror();
    let rows = (1..8)
        .map(|i| row(&format!("i-{i}"), "ready", 10))
        .collect();
    let news = mirror.apply(Table::Upstreams, page(rows, 20), true, at(100));
    assert_eq!(retired(&news), ["i-0"]);
}

#[test]
fn an_upstream_that_starts_anew_is_another_one() {
    let mut mirror = mirror();
    let rows = vec![deleted("i-0", 11), row("i-9", "ready", 12)];
    let news = mirror.apply(Table::Upstreams, page(rows, 12), false, at(100));
    assert_eq!(retired(&news), ["i-0"]);
    assert!(news.iter().any(|n| matches!(n, Update::Joined(_))));
}

#[test]
fn a_row_that_is_not_understood_is_told_and_changes_nothing_else() {
    let mut mirror = mirror();
    let nonsense = |key: &str| Row {
        key: key.into(),
        value: Some(b"nonsense".to_vec()),
        version: 11,
    };
    let rows = vec![nonsense("i-0")];
    let news = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(
        retired(&news),
        ["i-0"],
        "it is not that upstream's any more"
    );
    assert_eq!(news.len(), 1);
    assert_eq!(mirror.take_malformed().len(), 1);
    let rows = vec![nonsense("config")];
    let news = mirror.apply(Table::Operator, page(rows, 11), false, at(100));
    assert!(news.is_empty());
    assert_eq!(mirror.take_malformed().len(), 1);
}

#[test]
fn what_was_told_of_an_earlier_order_does_not_count() {
    let mut mirror = Mirror::default();
    let key = "rollout/engines";
    let order = |version| Row {
        key: key.into(),
        value: Some(br#"{"service": "engines", "target-version": "v2", "duration-s": 9}"#.to_vec()),
        version,
    };
    let told = Row {
        key: key.into(),
        value: Some(
            br#"{"service": "engines", "target-version": "v2", "state": "completed"}"#.to_vec(),
        ),
        version: 6,
    };
    mirror.apply(Table::Progress, page(vec![told], 6), true, at(0));
    let state = |news: &[Update]| match news {
        [Update::Move(_, state, _)] => *state,
        other => panic!("{other:?}"),
    };
    let news = mirror.apply(Table::Operator, page(vec![order(5)], 6), true, at(0));
    assert_eq!(state(&news), Some(sorreldeck::release::State::Completed));
    let news = mirror.apply(Table::Operator, page(vec![order(7)], 7), false, at(0));
    assert_eq!(state(&news), None);
}

/// A mirror that has its tables from `mirror`, whose upstreams changed since version 10.
fn handed(teller: &mut Mirror, have: u64) -> sorreldeck::wire::TableDelta {
    let rows = vec![row("i-0", "draining", 11), deleted("i-1", 12)];
    teller.apply(Table::Upstreams, page(rows, 13), false, at(100));
    teller.delta(Table::Upstreams, have.into()).unwrap()
}

#[test]
fn changes_that_are_handed_on_tell_the_same() {
    let (mut teller, mut taker) = (mirror(), mirror());
    let delta = handed(&mut teller, 10);
    assert_eq!(
        (delta.since, delta.version, delta.rows.len()),
        (Some(10), 13, 2)
    );
    let Merge::Applied(news) = taker.apply_delta(delta.clone(), at(200)) else {
        panic!("nothing was taken in");
    };
    let left: BTreeSet<String> = retired(&news).into_iter().collect();
    assert_eq!(left, BTreeSet::from(["i-0".into(), "i-1".into()]));
    assert_eq!(taker.version(Table::Upstreams), 13);
    assert!(
        matches!(taker.apply_delta(delta, at(300)), Merge::Stale),
        "doubled"
    );
}

#[test]
fn who_knows_nothing_gets_the_whole_table() {
    let mut teller = mirror();
    let delta = handed(&mut teller, 0);
    assert_eq!((delta.since, delta.rows.len()), (None, 7));
    let mut taker = Mirror::default();
    let Merge::Applied(news) = taker.apply_delta(delta, at(200)) else {
        panic!("nothing was taken in");
    };
    assert_eq!(news.len(), 6, "one of the seven is leaving: {news:?}");
}

#[test]
fn changes_whose_beginning_is_missing_are_not_taken_in() {
    let mut teller = mirror();
    let delta = handed(&mut teller, 11);
    let mut taker = mirror();
    assert!(matches!(taker.apply_delta(delta, at(200)), Merge::Gap));
    assert_eq!(taker.version(Table::Upstreams), 10);
}

#[test]
fn what_is_older_changes_nothing_though_it_came_another_way() {
    let (mut teller, mut taker) = (mirror(), mirror());
    let old = handed(&mut teller, 10);
    let rows = vec![
        deleted("i-0", 11),
        deleted("i-1", 12),
        row("i-8", "ready", 14),
    ];
    taker.apply(Table::Upstreams, page(rows, 14), false, at(150));
    assert!(matches!(taker.apply_delta(old, at(200)), Merge::Stale));
    assert_eq!(taker.version(Table::Upstreams), 14);
    assert!(taker.row(Table::Upstreams, "i-0").is_none());
}

/// A configuration takes some 20 KB, so the changes that are remembered are bounded by
/// their bytes; who is behind them gets the whole table.
#[test]
fn changes_that_are_forgotten_are_handed_on_as_the_whole_table() {
    let mut teller = Mirror::default();
    let big = |version| Row {
        key: "x".into(),
        value: Some(vec![0; 20_000]),
        version,
    };
    teller.apply(Table::Own, page(vec![big(1)], 1), true, at(0));
    for version in 2..40 {
        teller.apply(
            Table::Own,
            page(vec![big(version)], version),
            false,
            at(version),
        );
    }
    assert_eq!(teller.delta(Table::Own, 2.into()).unwrap().since, None);
    assert_eq!(teller.delta(Table::Own, 38.into()).unwrap().since, Some(38));
    assert!(teller.delta(Table::Own, 39.into()).is_none());
}

fn joined(news: &[Update]) -> Vec<Option<u64>> {
    let starts = news.iter().filter_map(|n| match n {
        Update::Joined(listed) => Some(listed.member.placement.incarnation.map(|start| start.0)),
        _ => None,
    });
    starts.collect()
}

/// Each row: the starts that rows of one upstream tell in turn, and which of them are new.
#[test_case(&[None, None], &[None]; "no start is told")]
#[test_case(&[Some(5), Some(5)], &[Some(5)]; "the same start")]
#[test_case(&[Some(5), Some(9)], &[Some(5), Some(9)]; "a newer one")]
#[test_case(&[Some(9), Some(5), Some(9)], &[Some(9)]; "an older one that is heard late")]
#[test_case(&[None, Some(9)], &[None, Some(9)]; "the first that is told")]
#[test_case(&[Some(9), None], &[Some(9)]; "none is told any more")]
fn a_newer_start_under_the_same_name_is_another_upstream(
    starts: &[Option<u64>],
    expected: &[Option<u64>],
) {
    let mut mirror = Mirror::default();
    let mut found = Vec::new();
    let mut left = 0;
    for (number, start) in starts.iter().enumerate() {
        let version = 10 + number as u64;
        let rows = vec![rows::row("i-1", &upstream("ready", *start), version)];
        let news = mirror.apply(Table::Upstreams, page(rows, version), false, at(version));
        found.extend(joined(&news));
        left += retired(&news).len();
    }
    assert_eq!(found, expected);
    assert_eq!(left, expected.len() - 1, "the former one is left");
}

#[test]
fn an_older_start_that_is_heard_after_the_newer_one_left_is_not_used() {
    let mut mirror = Mirror::default();
    let states = [("ready", 9), ("draining", 9), ("ready", 5)];
    let mut used = 0;
    for (number, (state, born)) in states.into_iter().enumerate() {
        let version = 10 + number as u64;
        let rows = vec![rows::row("i-1", &upstream(state, Some(born)), version)];
        let news = mirror.apply(Table::Upstreams, page(rows, version), false, at(version));
        used += joined(&news).len();
    }
    assert_eq!(used, 1);
}

#[test]
fn an_upstream_that_is_at_another_address_is_called_there() {
    let mut mirror = mirror();
    let mut value = upstream("ready", None);
    value["address"] = "127.0.0.1:10".into();
    let rows = vec![rows::row("i-3", &value, 11)];
    let news = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert_eq!(retired(&news), ["i-3"]);
    assert_eq!(joined(&news).len(), 1);
}

/// Another writer's row in the place of an upstream's: that one is left, the others hold.
#[test_case(b"" ; "nothing")]
#[test_case(b"\xff\xfe\x00"; "bytes that are no text")]
#[test_case(b"{\"service\":\"engines\",\"address\":\"127.0.0.1:9\"}"; "fields missing")]
#[test_case(b"[[[[[[[["; "an open list")]
fn a_row_that_names_no_upstream_takes_that_one_away(value: &[u8]) {
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
    let news = mirror.apply(Table::Upstreams, page(rows, 14), false, at(100));
    assert_eq!(retired(&news), ["i-3"]);
    assert_eq!(joined(&news).len(), 1);
    assert_eq!(mirror.take_malformed().len(), 3, "a line for each");
}

fn evacuated(news: &[Update]) -> Vec<Vec<String>> {
    let orders = news.iter().filter_map(|n| match n {
        Update::Evacuated(halls) => Some(halls.iter().map(ToString::to_string).collect()),
        _ => None,
    });
    orders.collect()
}

fn order(key: &str, version: u64) -> Row {
    rows::row(key, &json!({}), version)
}

/// The row of an order was never read, and an emptied data hall got 3,445 and 3,933 requests
/// on two days.
#[test]
fn an_order_to_empty_a_data_hall_holds_until_its_row_is_gone() {
    let mut mirror = Mirror::default();
    let rows = vec![order("evacuate/a", 5), order("evacuate/b", 6)];
    let news = mirror.apply(Table::Operator, page(rows, 6), true, at(0));
    assert_eq!(evacuated(&news), [["a", "b"]]);
    let back = page(vec![deleted("evacuate/a", 7)], 7);
    let news = mirror.apply(Table::Operator, back, false, at(100));
    assert_eq!(evacuated(&news), [["b"]]);
    // The history was forgotten, and what is read whole holds no order any more.
    let news = mirror.apply(Table::Operator, page(Vec::new(), 9), true, at(200));
    assert_eq!(evacuated(&news), [[""; 0]]);
    let news = mirror.apply(
        Table::Operator,
        page(vec![order("evacuate/a", 11)], 11),
        false,
        at(300),
    );
    assert_eq!(evacuated(&news), [["a"]]);
}

/// An older page that comes late, from a source that knows less, changes nothing.
#[test]
fn an_older_page_does_not_take_an_order_back() {
    let mut mirror = Mirror::default();
    mirror.apply(
        Table::Operator,
        page(vec![order("evacuate/a", 5)], 5),
        true,
        at(0),
    );
    let news = mirror.apply_copy(Table::Operator, page(Vec::new(), 4), Vec::new(), at(100));
    assert!(evacuated(&news).is_empty());
    let news = mirror.apply(
        Table::Operator,
        page(vec![deleted("evacuate/a", 3)], 5),
        false,
        at(200),
    );
    assert!(evacuated(&news).is_empty(), "{news:?}");
}

/// A row is written anew when an upstream turns cold without a new start.
#[test]
fn an_upstream_that_turns_cold_is_told_of() {
    let mut mirror = mirror();
    let mut cold = upstream("ready", None);
    cold["cold-left-ms"] = 2_400.into();
    let rows = vec![rows::row("i-3", &cold, 11)];
    let news = mirror.apply(Table::Upstreams, page(rows, 11), false, at(100));
    assert!(matches!(&news[..], [Update::Cold(upstream, left)]
        if upstream.as_str() == "i-3" && left.millis() == 2_400));
    let rows = vec![row("i-3", "ready", 12)];
    let news = mirror.apply(Table::Upstreams, page(rows, 12), false, at(2_600));
    assert!(news.is_empty(), "{news:?}");
}

/// A table of 3,000 upstreams.
fn many() -> Mirror {
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

/// 530 KB of rows go as 66 KB.
#[test]
fn whole_tables_are_packed() {
    let mut teller = many();
    let delta = handed(&mut teller, 0);
    let packed = delta.packed.as_ref().unwrap().len();
    let plain: usize = teller
        .rows(Table::Upstreams)
        .map(|row| row.key.len() + row.value.as_ref().unwrap().len() + 8)
        .sum();
    println!("{plain} bytes packed to {packed}");
    assert!(packed * 4 < plain, "{plain} bytes packed to {packed}");
    assert!(delta.rows.is_empty());
    let mut taker = Mirror::default();
    let Merge::Applied(news) = taker.apply_delta(delta, at(0)) else {
        panic!("it is not taken");
    };
    assert_eq!(news.len(), 3_000);
    assert!(taker
        .rows(Table::Upstreams)
        .eq(teller.rows(Table::Upstreams)));
    let again = handed(&mut teller, 0);
    let (first, second) = (
        handed(&mut teller, 0).packed.unwrap(),
        again.packed.unwrap(),
    );
    assert!(
        std::ptr::eq(&*first, &*second),
        "each taker has a piece of its own"
    );
    // What changes later goes row by row.
    let changed = vec![row("i-new", "ready", 3_001)];
    teller.apply(Table::Upstreams, page(changed, 3_001), false, at(100));
    let delta = handed(&mut teller, 3_000);
    assert_eq!((delta.rows.len(), delta.packed.is_some()), (1, false));
}

/// One configuration of 1,900 routes held up the links of weak entries for seconds.
#[test]
fn one_large_row_is_packed_once_for_all() {
    let mut teller = Mirror::default();
    let route = |number: u64| {
        format!("{{\"name\":\"r-{number}\",\"host\":\"a.example\",\"path-prefix\":\"/{number}/\",\"timeout-ms\":20000}}")
    };
    let routes: Vec<String> = (0..1_900).map(route).collect();
    let value = format!("{{\"version\":10,\"routes\":[{}]}}", routes.join(","));
    teller.apply(Table::Operator, page(Vec::new(), 1), true, at(0));
    let changed = Row {
        key: "config".into(),
        value: Some(value.clone().into_bytes()),
        version: 2,
    };
    teller.apply(Table::Operator, page(vec![changed], 2), false, at(0));
    let delta = teller.delta(Table::Operator, 1.into()).unwrap();
    let packed = delta.packed.as_ref().unwrap();
    assert!(
        packed.len() * 4 < value.len(),
        "{} of {}",
        packed.len(),
        value.len()
    );
    let mut taker = Mirror::default();
    taker.apply(Table::Operator, page(Vec::new(), 1), true, at(0));
    taker.apply_delta(delta, at(0));
    assert!(taker.rows(Table::Operator).eq(teller.rows(Table::Operator)));
}

#[test]
fn a_packed_table_that_cannot_be_read_is_asked_for_again() {
    let mut teller = many();
    let mut delta = handed(&mut teller, 0);
    let packed = delta.packed.as_mut().unwrap();
    let half = packed.len() / 2;
    *packed = packed[..half].to_vec().into();
    let mut taker = Mirror::default();
    assert!(matches!(taker.apply_delta(delta, at(0)), Merge::Gap));
    assert_eq!(taker.version(Table::Upstreams), 0);
    assert_eq!(taker.take_malformed().len(), 1);
}
