//! Requests reached an upstream seconds after it had told the entry that it leaves.
//!
//! An upstream that leaves says so in all its answers. The platform's store was away, so its row
//! did not say so, and the entry went on sending requests there, up to 5.6 s after it had passed
//! on such an answer. Callers got whole answers; some would have been cut off at the end.

use sorreldeck::Span;
use sorreldeck_emulator::notice::{Day, Says, Trouble, World};

/// How long an entry that was told may still send requests there.
const BOUND: Span = Span::from_millis(2_000);

#[test]
fn an_upstream_gets_nothing_after_it_has_said_that_it_leaves() {
    let trouble = Trouble {
        at: Span::from_millis(8_000),
        lasts: Span::from_millis(20_000),
        upstreams: 2,
        says: Says::Leaving,
    };
    let day = Day {
        troubles: vec![trouble],
        ..Day::default()
    };
    let tally = World::new(day, 1).play();
    assert!(tally.served() > 0.99, "{}", tally.served());
    assert!(
        tally.latest <= BOUND,
        "asked {} after its word",
        tally.latest
    );
}
