//! Upstreams that named the rate they take from all entries together got more.
//!
//! Some upstreams name in their answers how many requests a second they take from all
//! entries together. Three seconds later each still got as many as before, half as many again as
//! it takes and more: callers saw little of it, the upstream was to be spared.

use sorreldeck::{Rate, Span};
use sorreldeck_emulator::notice::{Day, Says, Trouble, World};

#[test]
fn an_upstream_gets_no_more_than_the_rate_that_it_names() {
    let trouble = Trouble {
        at: Span::from_millis(8_000),
        lasts: Span::from_millis(12_000),
        upstreams: 3,
        says: Says::Limit(Rate::from_per_second(1.9)),
    };
    let day = Day {
        troubles: vec![trouble],
        ..Day::default()
    };
    let tally = World::new(day, 1).play();
    assert!(tally.served() > 0.99, "{}", tally.served());
    let excess = tally.excess();
    assert!(excess <= 0.0, "{excess} more than allowed in 4 s");
}
