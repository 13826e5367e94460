//! What is remembered of what upstreams say of themselves.

use sorreldeck::notice::{Change, Notice, Registry, Update};
use sorreldeck::warmup::Entries;
use sorreldeck::{Rate, Span, Time};

const LEAVES: Notice = Notice {
    leaving: true,
    pause: None,
    limit: None,
    pace: None,
};

/// More upstreams than are remembered, all heard at one moment.
#[test]
fn of_too_many_upstreams_half_are_forgotten() {
    let (mut board, entries) = (Registry::default(), Entries::default());
    for upstream in 0..8_193 {
        board.observe(upstream, LEAVES, Time(0), &entries, Time(0));
    }
    let known = (0..8_193).filter(|u| board.contains(*u)).count();
    assert_eq!(known, 4_097);
    assert!(board.contains(8_192), "the one that was heard last");
}

/// Other entries, and the log, hear of a rate when it is new or differs by a quarter.
#[test]
fn a_rate_is_told_where_it_differs() {
    let (mut board, entries) = (Registry::default(), Entries::default());
    let mut told = Vec::new();
    for per_second in [2.0, 2.1, 2.4, 2.6, 2.4] {
        let notice = Notice {
            limit: Some(Rate::from_per_second(per_second)),
            ..Notice::default()
        };
        board.observe(7, notice, Time(0), &entries, Time(0));
        told.extend(board.take_updates());
    }
    let limit = |per_second| Update {
        upstream: 7,
        change: Change::Limited(Rate::from_per_second(per_second)),
    };
    assert_eq!(told, [limit(2.0), limit(2.6)]);
    let again = board.merge(limit(2.5), &entries, Time(0));
    assert_eq!(again, None);
    let other = board.merge(limit(5.0), &entries, Time(0));
    assert_eq!(other, Some(Change::Limited(Rate::from_per_second(5.0))));
}

/// Only an answer to a request that was sent after the rate was heard shows that none is named.
#[test]
fn an_older_answer_does_not_end_a_rate() {
    let (mut board, entries) = (Registry::default(), Entries::default());
    let notice = Notice {
        limit: Some(Rate::from_per_second(2.0)),
        ..Notice::default()
    };
    let at = |ms| Time(0) + Span::from_millis(ms);
    board.observe(7, notice, at(90), &entries, at(100));
    let none = Notice::default();
    assert_eq!(board.observe(7, none, at(95), &entries, at(150)), []);
    assert_eq!(
        board.observe(7, none, at(110), &entries, at(200)),
        [Change::Unlimited]
    );
}
