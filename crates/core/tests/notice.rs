//! The state that is kept of the notices of upstreams.

use sorreldeck::notice::{Change, Notice, Registry, Update};
use sorreldeck::warmup::Entries;
use sorreldeck::{Rate, Span, Time};

const LEAVES: Notice = Notice {
    leaving: true,
    pause: None,
    limit: None,
    pace: None,
};

/// More upstreams than are kept, all with a notice at one moment.
#[test]
fn half_of_too_many_upstreams_are_removed() {
    let (mut registry, entries) = (Registry::default(), Entries::default());
    for upstream in 0..8_193 {
        registry.observe(upstream, LEAVES, Time(0), &entries, Time(0));
    }
    let known = (0..8_193).filter(|u| registry.contains(*u)).count();
    assert_eq!(known, 4_097);
    assert!(registry.contains(8_192), "the one with the latest notice");
}

/// A rate is reported to other entries, and to the log, if it is new or differs by a quarter.
#[test]
fn a_rate_is_reported_if_it_differs() {
    let (mut registry, entries) = (Registry::default(), Entries::default());
    let mut updates = Vec::new();
    for per_second in [2.0, 2.1, 2.4, 2.6, 2.4] {
        let notice = Notice {
            limit: Some(Rate::from_per_second(per_second)),
            ..Notice::default()
        };
        registry.observe(7, notice, Time(0), &entries, Time(0));
        updates.extend(registry.take_updates());
    }
    let limit = |per_second| Update {
        upstream: 7,
        change: Change::Limited(Rate::from_per_second(per_second)),
    };
    assert_eq!(updates, [limit(2.0), limit(2.6)]);
    let again = registry.merge(limit(2.5), &entries, Time(0));
    assert_eq!(again, None);
    let other = registry.merge(limit(5.0), &entries, Time(0));
    assert_eq!(other, Some(Change::Limited(Rate::from_per_second(5.0))));
}

/// Only the answer to a request that was sent after the rate was reported can end it.
#[test]
fn an_older_answer_does_not_end_a_rate() {
    let (mut registry, entries) = (Registry::default(), Entries::default());
    let notice = Notice {
        limit: Some(Rate::from_per_second(2.0)),
        ..Notice::default()
    };
    let at = |ms| Time(0) + Span::from_millis(ms);
    registry.observe(7, notice, at(90), &entries, at(100));
    let none = Notice::default();
    assert_eq!(registry.observe(7, none, at(95), &entries, at(150)), []);
    assert_eq!(
        registry.observe(7, none, at(110), &entries, at(200)),
        [Change::Unlimited]
    );
}
