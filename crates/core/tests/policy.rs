//! Tests of single policies: fair queue, shares of limits, sequential test, subsets, leases and
//! session keys.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::evidence::{Detector, Evidence, Thresholds};
use sorreldeck::lease::{Elector, Step};
use sorreldeck::limit::{Allocator, Demand};
use sorreldeck::queue::{Item, Next, Queue};
use sorreldeck::session::{Keyring, Session};
use sorreldeck::subset::{choose, SIZES};
use sorreldeck::{Class, Incarnation, InstanceId, Span, Time, UpstreamId};
use std::collections::BTreeMap;
use test_case::test_case;

fn item(class: Class, account: &str, weight: u32) -> Item<String> {
    Item {
        class,
        account: account.parse().unwrap(),
        weight,
        cost: 10,
        deadline: Time(u64::MAX),
        value: account.to_owned(),
    }
}

#[test_case(1, 1, 0.5; "equal weights")]
#[test_case(3, 1, 0.75; "three to one")]
#[test_case(1, 4, 0.2; "one to four")]
fn accounts_are_served_by_weight(a: u32, b: u32, share: f64) {
    let mut queue = Queue::default();
    for _ in 0..400 {
        queue.push(item(Class::Standard, "a", a));
        queue.push(item(Class::Standard, "b", b));
    }
    let served = (0..200).filter(|_| queue.pop(Time(0), |_| true) == Next::Ready("a".to_owned()));
    let got = served.count() as f64 / 200.0;
    assert!((got - share).abs() < 0.02, "{got}");
}

#[test]
fn a_flood_of_one_account_does_not_delay_another() {
    let mut queue = Queue::default();
    for _ in 0..1000 {
        queue.push(item(Class::Standard, "large", 1));
    }
    for _ in 0..50 {
        queue.pop(Time(0), |_| true);
    }
    queue.push(item(Class::Standard, "small", 1));
    let next: Vec<_> = (0..2).map(|_| queue.pop(Time(0), |_| true)).collect();
    assert!(next.contains(&Next::Ready("small".to_owned())), "{next:?}");
}

#[test]
fn priority_work_goes_first_and_no_class_starves() {
    let mut queue = Queue::default();
    for _ in 0..1000 {
        queue.push(item(Class::Priority, "urgent", 1));
        queue.push(item(Class::Bulk, "bulk", 1));
    }
    let served: Vec<_> = (0..650).map(|_| queue.pop(Time(0), |_| true)).collect();
    let bulk = served
        .iter()
        .filter(|n| **n == Next::Ready("bulk".to_owned()))
        .count();
    assert!((5..=20).contains(&bulk), "{bulk} of 650 were bulk");
}

#[test]
fn a_request_past_its_deadline_is_returned_as_expired() {
    let mut queue = Queue::default();
    let mut late = item(Class::Standard, "late", 1);
    late.deadline = Time(5);
    queue.push(late);
    assert_eq!(
        queue.pop(Time(6), |_| true),
        Next::Expired("late".to_owned())
    );
    assert!(queue.is_empty());
}

/// Simulates entries that report these demands repeatedly; returns their final shares.
fn shares(demands: &[f64]) -> Vec<f64> {
    let mut allocator = Allocator::default();
    let mut shares = vec![0.0; demands.len()];
    for round in 0..60u64 {
        for (link, demand) in demands.iter().enumerate() {
            let demand = Demand {
                account: "a".parse().unwrap(),
                demand: *demand,
                used: demand.min(shares[link]),
            };
            let now = Time(round * 500_000);
            shares[link] = allocator.claim(link as u64, &demand, demands.len(), now);
            let sum: f64 = shares.iter().sum();
            assert!(sum <= 1.1 + 1e-9, "the shares add up to {sum}");
        }
    }
    shares
}

#[test_case(&[2.0, 2.0, 2.0]; "all want more")]
#[test_case(&[2.2, 0.5, 0.2]; "uneven")]
#[test_case(&[3.0, 0.0, 0.0]; "one alone")]
fn used_shares_add_up_to_the_limit(demands: &[f64]) {
    let shares = shares(demands);
    let used: f64 = demands.iter().zip(&shares).map(|(d, s)| d.min(*s)).sum();
    assert!((0.95..=1.02).contains(&used), "{used} by {shares:?}");
}

const THRESHOLDS: Thresholds = Thresholds {
    floor: 0.8,
    bad_mean: 0.5,
    max_error: 0.05,
    false_alarm: 0.01,
};

/// Returns the number of ratings with a mean after which a version is found bad.
fn ratings_until_bad(mean: f64, good_first: usize, seed: u64) -> Option<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut evidence, mut detector) = (Evidence::default(), Detector::default());
    for i in 0..good_first + 400 {
        let mean = if i < good_first { 0.9 } else { mean };
        evidence.rate(f64::from(u8::from(rng.random::<f64>() < mean)), &THRESHOLDS);
        if detector.update(&evidence, &THRESHOLDS) {
            return Some(i + 1);
        }
    }
    None
}

#[test_case(0.3, 0, 30; "very bad from the start")]
#[test_case(0.5, 0, 80; "just as bad as must be caught")]
#[test_case(0.3, 500, 80; "very bad after 500 good ratings")]
fn a_bad_version_is_detected(mean: f64, good_first: usize, within: usize) {
    let mut found: Vec<usize> = (0..40)
        .map(|seed| ratings_until_bad(mean, good_first, seed).expect("it is found"))
        .collect();
    found.sort_unstable();
    let median = found[20] - good_first;
    assert!(median <= within, "median {median}");
}

#[test]
fn an_acceptable_version_is_rarely_found_bad() {
    let alarms = (0..1000).filter(|seed| ratings_until_bad(0.8, 0, *seed).is_some());
    let alarms = alarms.count();
    assert!(alarms <= 10, "{alarms} of 1,000");
}

#[test]
fn every_upstream_is_covered_and_a_removal_changes_few_links() {
    let entries: Vec<InstanceId> = (0..60).map(|i| format!("e{i}").parse().unwrap()).collect();
    let upstreams: Vec<UpstreamId> = (0..200).map(|i| format!("u{i}").parse().unwrap()).collect();
    let all = |entries: &[InstanceId], upstreams: &[UpstreamId]| -> BTreeMap<InstanceId, _> {
        let of = |e: &InstanceId| (e.clone(), choose(e, entries, upstreams, SIZES));
        entries.iter().map(of).collect()
    };
    let before = all(&entries, &upstreams);
    let mut cover: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
    for chosen in before.values() {
        assert!(
            chosen.len() <= SIZES.per_entry + 12,
            "{} links",
            chosen.len()
        );
        for upstream in chosen {
            *cover.entry(upstream).or_default() += 1;
        }
    }
    let least = upstreams
        .iter()
        .map(|u| cover.get(u).copied().unwrap_or(0))
        .min();
    assert!(least >= Some(SIZES.per_upstream), "{least:?}");
    let after = all(&entries, &upstreams[1..]);
    let moved: usize = entries
        .iter()
        .map(|e| after[e].difference(&before[e]).count())
        .sum();
    assert!(moved <= cover[&upstreams[0]], "{moved} new links");
}

#[test]
fn a_paused_holder_of_a_lease_is_fenced() {
    let elector = |n: u64| Elector::new(format!("e{n}").parse().unwrap(), Incarnation(n));
    let (mut first, mut second) = (elector(1), elector(2));
    let Step::Write { lease, .. } = first.observe(0.into(), None, Time(0)) else {
        panic!("a lease that nobody has is taken");
    };
    first.observe(1.into(), Some(lease.clone()), Time(0));
    assert!(first.held(Time(0)).is_some());
    assert_eq!(
        second.observe(1.into(), Some(lease.clone()), Time(0)),
        Step::Wait
    );
    let later = Time(0) + Span::from_millis(7000);
    let Step::Write {
        lease: taken,
        expect,
    } = second.observe(1.into(), Some(lease), later)
    else {
        panic!("a lease that is not renewed is taken over");
    };
    assert_eq!((taken.fence, expect), (2, 1));
    second.observe(2.into(), Some(taken), later);
    // The first process was paused meanwhile: on its own clock the lease has expired, and the row
    // no longer has the version that its writes expect.
    assert_eq!(first.held(later), None);
    assert_eq!(second.held(later), Some((2.into(), 2)));
}

#[test]
fn session_keys_rotate_without_interruption() {
    let key = |id: u8| format!("{id}:{}", format!("{id:02x}").repeat(32));
    let ring = |ids: &[u8]| -> Keyring {
        let keys: Vec<String> = ids.iter().map(|id| key(*id)).collect();
        keys.join(",").parse().unwrap()
    };
    let session = Session {
        account: "a".parse().unwrap(),
        model: "m".into(),
        version: "v".parse().unwrap(),
        upstream: None,
    };
    let old = ring(&[1]).seal(&session, [1; 24]);
    let both = ring(&[2, 1]);
    assert_eq!(both.open(&old).unwrap(), session);
    let new = both.seal(&session, [2; 24]);
    assert_eq!(ring(&[2]).open(&new).unwrap(), session);
    assert!(ring(&[2]).open(&old).is_err());
    let mut damaged = new.into_bytes();
    let last = damaged.len() - 1;
    damaged[last] ^= 1;
    assert!(both.open(std::str::from_utf8(&damaged).unwrap()).is_err());
}
