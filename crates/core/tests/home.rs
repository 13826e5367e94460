//! Routing of prompts that share a prefix. Entries agree on the home of a prefix without
//! communication.

use sorreldeck::pick::{Constraints, Criteria, Link, Peers, Placement, Policy, Prefix};
use sorreldeck::reuse::{Reuse, Scope};
use sorreldeck::wire::Load;
use sorreldeck::{Hall, PoolId, Span, Time};
use std::collections::BTreeSet;
use test_case::test_case;

const NOW: Time = Time(1_000_000);

struct Fixture {
    peers: Peers,
    pool: PoolId,
    hall: Hall,
    scope: Scope,
    sent: u64,
}

impl Fixture {
    /// Creates an entry that knows six upstreams in each of two data halls. `first_link` gives the
    /// links of each entry different numbers.
    fn new(first_link: Link) -> Fixture {
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
            let placement = Placement {
                incarnation: None,
                hall: Some(hall),
                release: None,
                region: None,
            };
            peers.set_placement(link, placement);
        }
        let hall = "a".parse().unwrap();
        Fixture {
            peers,
            pool,
            hall,
            scope: Scope::Hall,
            sent: 1_000_000,
        }
    }

    /// Returns the upstream for a prompt of 12,000 tokens, of which the first 5,000 are shared, and
    /// records that the prompt is sent there.
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
        let prefixes = [shared, own];
        let criteria = Criteria {
            pool: &self.pool,
            tokens: 12_000,
            urgent: false,
            rank: 0,
            prefixes: &prefixes,
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
        let link = self.peers.pick(&criteria, Policy::FirstToken, NOW, draw);
        let link = link.unwrap();
        self.peers.sent(link, 12_000, &prefixes, NOW);
        self.peers.get(link).unwrap().upstream.to_string()
    }

    /// Reports that all upstreams have started the requests sent to them.
    fn report_started(&mut self) {
        let links: Vec<Link> = self.peers.iter().map(|(link, _)| link).collect();
        for link in links {
            let load = self.peers.get(link).unwrap().load;
            self.peers.report(link, load, NOW);
        }
    }
}

#[test]
fn entries_of_a_hall_send_a_shared_prefix_to_the_same_upstream() {
    let (mut one, mut other) = (Fixture::new(1), Fixture::new(50));
    for shared in 0..40 {
        let place = one.send(shared, 0.3);
        assert_eq!(place, other.send(shared, 0.9));
        one.report_started();
        other.report_started();
    }
}

#[test]
fn prefixes_spread_over_the_upstreams_of_the_own_hall() {
    let mut fixture = Fixture::new(1);
    let mut places = BTreeSet::new();
    for shared in 0..60 {
        places.insert(fixture.send(shared, 0.5));
        fixture.report_started();
    }
    let own: BTreeSet<String> = (0..6).map(|i| format!("u{}", 2 * i)).collect();
    assert_eq!(places, own);
}

#[test]
fn a_prefix_in_high_demand_overflows_to_other_upstreams() {
    let mut fixture = Fixture::new(1);
    let places: BTreeSet<String> = (0..12)
        .map(|i| fixture.send(7, f64::from(i) / 12.0))
        .collect();
    assert!(places.len() > 3, "{places:?}");
}

/// Creates a fixture in which a prefix has one home for all halls.
fn with_global_scope(first_link: Link, hall: &str) -> Fixture {
    let mut fixture = Fixture::new(first_link);
    fixture.hall = hall.parse().unwrap();
    fixture.scope = Scope::All;
    fixture
}

#[test]
fn entries_of_all_halls_send_a_prefix_of_global_scope_to_the_same_upstream() {
    let (mut one, mut other) = (with_global_scope(1, "a"), with_global_scope(50, "b"));
    let mut halls = BTreeSet::new();
    for shared in 0..40 {
        let place = one.send(shared, 0.3);
        assert_eq!(place, other.send(shared, 0.9));
        halls.insert(place[1..].parse::<u64>().unwrap() % 2);
        one.report_started();
        other.report_started();
    }
    assert_eq!(halls.len(), 2, "both halls are home to some prefixes");
}

/// Records requests for this many prefixes in turn, one every 50 ms.
fn reuse(prefixes: u64) -> (Reuse, sorreldeck::reuse::Group) {
    let mut reuse = Reuse::default();
    let group = ("drafts".parse().unwrap(), 0);
    for i in 0..2_000 {
        let prefix = i * 7_919 % prefixes;
        reuse.record(&group, prefix, Time(i * 50_000));
    }
    (reuse, group)
}

#[test_case(150, 100; "every prefix recurs soon in each hall")]
#[test_case(1_999, 2_000; "no prefix recurs")]
#[test_case(211, 10; "prefill is cheap")]
fn scope_is_hall_where_sharing_saves_little(prefixes: u64, prefill: u64) {
    let (reuse, group) = reuse(prefixes);
    let prefill = Span::from_millis(prefill);
    assert_eq!(reuse.scope(&group, prefill, 3, 3, 1.0), Scope::Hall);
}

/// Records requests of which half are for new prefixes and half repeat one.
fn half_new() -> (Reuse, sorreldeck::reuse::Group) {
    let mut reuse = Reuse::default();
    let group = ("drafts".parse().unwrap(), 1);
    for i in 0..2_000 {
        reuse.record(&group, i / 2, Time(i * 50_000));
    }
    (reuse, group)
}

#[test_case(900, 1.0, Scope::All; "long prefill")]
#[test_case(120, 1.0, Scope::All; "prefill that outweighs the crossing")]
#[test_case(60, 1.0, Scope::Hall; "short prefill")]
#[test_case(120, 0.4, Scope::Hall; "latency of little weight")]
#[test_case(60, 3.0, Scope::All; "latency of great weight")]
fn scope_depends_on_prefill_time_and_latency_weight(prefill: u64, weight: f64, scope: Scope) {
    let (reuse, group) = half_new();
    let prefill = Span::from_millis(prefill);
    assert_eq!(reuse.scope(&group, prefill, 3, 3, weight), scope);
}
