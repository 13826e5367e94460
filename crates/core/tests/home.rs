//! Where prompts go that share a beginning: entries agree without talking.

use sorreldeck::pick::{Constraints, Criteria, Link, Peers, Placement, Policy, Prefix};
use sorreldeck::reuse::{Reuse, Scope};
use sorreldeck::wire::Load;
use sorreldeck::{Hall, PoolId, Span, Time};
use std::collections::BTreeSet;
use test_case::test_case;

const NOW: Time = Time(1_000_000);

struct Stand {
    peers: Peers,
    pool: PoolId,
    hall: Hall,
    scope: Scope,
    sent: u64,
}

impl Stand {
    /// An entry that knows six upstreams in each of two data halls; the links have
    /// other numbers at each entry.
    fn new(first_link: Link) -> Stand {
        let pool: PoolId = "engines".parse().unwrap();
        let mut peers = Peers::default();
        for i in 0..12 {
            let load = Load {
                slots: 32,
                prefill_rate: 112_000,
                ..Load::default()
            };
            let link = first_link + i;
            peers.join(link, format!("u{i}").parse().unwrap(), &pool, load);
            let hall = ["a", "b"][i as usize % 2].parse().unwrap();
            let place = Placement {
                incarnation: None,
                hall: Some(hall),
                release: None,
                region: None,
            };
            peers.set_placement(link, place);
        }
        let hall = "a".parse().unwrap();
        Stand {
            peers,
            pool,
            hall,
            scope: Scope::Hall,
            sent: 1_000_000,
        }
    }

    /// Returns the upstream for a prompt of 12,000 tokens of which the first 5,000
    /// are shared, and notes that it goes there.
    fn send(&mut self, shared: u64, draw: f64) -> String {
        let shared = Prefix {
            hash: shared,
            tokens: 5_000,
        };
        self.sent += 1;
        let own = Prefix {
            hash: self.sent,
            tokens: 12_000,
        };
        let chain = [shared, own];
        let wish = Criteria {
            pool: &self.pool,
            tokens: 12_000,
            urgent: false,
            rank: 0,
            prefixes: &chain,
            shared_prefix: Some(shared),
            last_upstream: None,
            tried: &[],
            constraints: Constraints {
                hall: Some(&self.hall),
                ..Constraints::default()
            },
            prefill_rate: None,
            scope: self.scope,
        };
        let link = self.peers.pick(&wish, Policy::FirstToken, NOW, draw);
        let link = link.unwrap();
        self.peers.sent(link, 12_000, &chain, NOW);
        self.peers.get(link).unwrap().upstream.to_string()
    }

    /// Notes that all upstreams have begun what was sent to them.
    fn settle(&mut self) {
        let links: Vec<Link> = self.peers.iter().map(|(link, _)| link).collect();
        for link in links {
            let load = self.peers.get(link).unwrap().load;
            self.peers.report(link, load, NOW);
        }
    }
}

#[test]
fn entries_of_a_hall_send_a_shared_beginning_to_the_same_upstream() {
    let (mut one, mut other) = (Stand::new(1), Stand::new(50));
    for shared in 0..40 {
        let place = one.send(shared, 0.3);
        assert_eq!(place, other.send(shared, 0.9));
        one.settle();
        other.settle();
    }
}

#[test]
fn beginnings_spread_over_the_upstreams_of_the_own_hall() {
    let mut stand = Stand::new(1);
    let mut places = BTreeSet::new();
    for shared in 0..60 {
        places.insert(stand.send(shared, 0.5));
        stand.settle();
    }
    let own: BTreeSet<String> = (0..6).map(|i| format!("u{}", 2 * i)).collect();
    assert_eq!(places, own);
}

#[test]
fn a_beginning_that_many_ask_for_goes_to_others_too() {
    let mut stand = Stand::new(1);
    let places: BTreeSet<String> = (0..12)
        .map(|i| stand.send(7, f64::from(i) / 12.0))
        .collect();
    assert!(places.len() > 3, "{places:?}");
}

/// A stand whose beginnings have one home for all halls.
fn wide(first_link: Link, hall: &str) -> Stand {
    let mut stand = Stand::new(first_link);
    stand.hall = hall.parse().unwrap();
    stand.scope = Scope::All;
    stand
}

#[test]
fn entries_of_all_halls_send_a_beginning_that_is_kept_widely_to_the_same_upstream() {
    let (mut one, mut other) = (wide(1, "a"), wide(50, "b"));
    let mut halls = BTreeSet::new();
    for shared in 0..40 {
        let place = one.send(shared, 0.3);
        assert_eq!(place, other.send(shared, 0.9));
        halls.insert(place[1..].parse::<u64>().unwrap() % 2);
        one.settle();
        other.settle();
    }
    assert_eq!(halls.len(), 2, "both halls keep some");
}

/// Reuse of beginnings of which this many are asked for in turn, one every 50 ms.
fn reuse(beginnings: u64) -> (Reuse, sorreldeck::reuse::Group) {
    let mut reuse = Reuse::default();
    let kind = ("drafts".parse().unwrap(), 0);
    for i in 0..2_000 {
        let beginning = i * 7_919 % beginnings;
        reuse.record(&kind, beginning, Time(i * 50_000));
    }
    (reuse, kind)
}

#[test_case(150, 100; "all are read again soon in each hall")]
#[test_case(1_999, 2_000; "none comes again")]
#[test_case(211, 10; "reading is cheap")]
fn a_beginning_is_kept_in_each_hall(beginnings: u64, reading: u64) {
    let (reuse, kind) = reuse(beginnings);
    let reading = Span::from_millis(reading);
    assert_eq!(reuse.scope(&kind, reading, 3, 3, 1.0), Scope::Hall);
}

/// Half of the requests come for something new: beginnings are asked for again at random.
fn mixed() -> (Reuse, sorreldeck::reuse::Group) {
    let mut reuse = Reuse::default();
    let kind = ("drafts".parse().unwrap(), 1);
    for i in 0..2_000 {
        reuse.record(&kind, i / 2, Time(i * 50_000));
    }
    (reuse, kind)
}

#[test_case(900, 1.0, Scope::All; "long readings")]
#[test_case(120, 1.0, Scope::All; "readings that outweigh the crossing")]
#[test_case(60, 1.0, Scope::Hall; "short ones")]
#[test_case(120, 0.4, Scope::Hall; "time that matters little")]
#[test_case(60, 3.0, Scope::All; "time that matters much")]
fn how_widely_a_beginning_is_kept_follows_from_its_reading(
    reading: u64,
    weight: f64,
    scope: Scope,
) {
    let (reuse, kind) = mixed();
    let reading = Span::from_millis(reading);
    assert_eq!(reuse.scope(&kind, reading, 3, 3, weight), scope);
}
