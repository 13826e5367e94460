//! What an entry of a contended pool expects of its upstreams, from the runs of all entries.
//!
//! Guards against upstreams of different speeds that get equal shares of the requests, and against
//! prompts sent behind a long one that another entry sent.

use sorreldeck::latency::Workload;
use sorreldeck::pick::{
    Constraints, Contention, Criteria, Link, Outlook, Peers, Policy, PrefillEnd, Prefix, Slowdown,
    SpeedSum, Start,
};
use sorreldeck::reuse::Scope;
use sorreldeck::tree::parse_toml;
use sorreldeck::wire::Load;
use sorreldeck::{PoolId, Rate, Revision, Span, Time, Tree};
use test_case::test_case;

/// How long work takes at the upstreams, which follow each other in this order.
const TIMES: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
const UPSTREAMS: u64 = 24;
/// Tokens per second that an upstream of the usual speed reads.
const RATE: f64 = 50_000.0;

fn pool() -> PoolId {
    "engines".parse().unwrap()
}

fn workload() -> Workload {
    Workload::Model(pool(), "scribe".parse().unwrap())
}

fn peers(contention: Contention) -> Peers {
    let mut peers = Peers::default();
    peers.set_contention(contention);
    for link in 1..=UPSTREAMS {
        let load = Load {
            slots: 64,
            ..Load::default()
        };
        peers.join(link, format!("u{link}").parse().unwrap(), &pool(), load);
    }
    peers
}

/// Returns how long a prompt takes to read at an upstream.
fn reading(link: Link, tokens: u32) -> Span {
    let usual = f64::from(tokens) / RATE;
    Span::from_secs_f64(usual * TIMES[link as usize % TIMES.len()])
}

fn criteria<'a>(pool: &'a PoolId, prefixes: &'a [Prefix], tokens: u32) -> Criteria<'a> {
    Criteria {
        pool,
        tokens,
        urgent: false,
        rank: 0,
        prefixes,
        shared_prefix: prefixes.first().copied(),
        last_upstream: None,
        tried: &[],
        constraints: Constraints::default(),
        prefill_rate: Some(Rate::from_per_second(RATE)),
        scope: Scope::All,
    }
}

/// Records one run of each upstream.
fn learn(peers: &mut Peers, tokens: u32, now: Time) {
    for link in 1..=UPSTREAMS {
        let took = Span::from_millis(10) + reading(link, tokens);
        let start = Start {
            link,
            wait: Span::default(),
            slowdown: Slowdown::USUAL,
            took,
        };
        peers.record_start(&workload(), tokens, start, now);
    }
}

fn factor(peers: &mut Peers, link: Link, now: Time) -> f64 {
    let others: Vec<Link> = (1..=UPSTREAMS).filter(|l| *l != link).collect();
    let pool = pool();
    let criteria = Criteria {
        tried: &others,
        ..criteria(&pool, &[], 1_000)
    };
    let chosen = peers.choose(&criteria, Policy::FirstToken, now, 0.5);
    chosen.unwrap().slowdown.factor()
}

/// At half, once, twice and three times the load that the upstreams can read when all get the same,
/// prompts start sooner than with equal shares, and fast upstreams get more of them.
#[test_case(0.5; "half the load")]
#[test_case(1.0; "as much as can be done")]
#[test_case(2.0; "twice the load")]
#[test_case(3.0; "three times the load")]
fn prompts_start_sooner_at_uneven_upstreams(load: f64) {
    let learned = play(Contention::On, load);
    let alike = play(Contention::Off, load);
    assert!(
        learned.mean_wait <= alike.mean_wait,
        "{learned:?} against {alike:?}"
    );
    assert!(
        learned.fast_share > alike.fast_share,
        "{learned:?} {alike:?}"
    );
}

#[derive(Debug)]
struct Day {
    mean_wait: f64,
    /// The share of the tokens that the quarter of fast upstreams got.
    fast_share: f64,
}

/// Sends prompts of two lengths for 10 s to upstreams that read one after the other.
fn play(contention: Contention, load: f64) -> Day {
    let mut peers = peers(contention);
    let mut busy_until = [Time(0); UPSTREAMS as usize + 1];
    let mut heads: Vec<(Time, Link, Time, u32, Span, Start)> = Vec::new();
    let capacity: f64 = (1..=UPSTREAMS)
        .map(|l| RATE / TIMES[l as usize % TIMES.len()])
        .sum();
    let gap = 4_000.0 / (capacity * load) * 1e6;
    let (mut waits, mut fast, mut sent, mut all) = (0.0, 0, 0, 0);
    let pool = pool();
    for number in 0..(10e6 / gap) as u64 {
        let now = Time((number as f64 * gap) as u64);
        heads.sort_unstable_by_key(|head| head.0);
        while heads.first().is_some_and(|head| head.0 <= now) {
            let (at, link, sent_at, tokens, prefill, expected) = heads.remove(0);
            let end = PrefillEnd::Read {
                sent_at,
                read_at: at,
            };
            peers.prefill_ended(link, prefill, end);
            peers.ended(link);
            let peer = peers.get(link).unwrap();
            let (running, load) = (peer.in_flight, peer.load);
            peers.report(link, Load { running, ..load }, at);
            let start = Start {
                took: at.since(sent_at),
                ..expected
            };
            peers.record_start(&workload(), tokens, start, at);
        }
        if number % 200 == 0 {
            peers.refresh_speeds(now);
        }
        let tokens = if number % 4 == 0 { 10_000 } else { 2_000 };
        let draw = (number as f64 * 0.618).fract();
        let criteria = criteria(&pool, &[], tokens);
        let chosen = peers
            .choose(&criteria, Policy::FirstToken, now, draw)
            .unwrap();
        let link = chosen.link;
        let start = busy_until[link as usize].max(now);
        let head = start + reading(link, tokens);
        busy_until[link as usize] = head;
        let prefill = chosen
            .slowdown
            .scale(Span::from_secs_f64(f64::from(tokens) / RATE));
        peers.sent(link, tokens, &[], now);
        peers.prefill_started(link, prefill, now);
        let expected = Start {
            link,
            wait: chosen.wait,
            slowdown: chosen.slowdown,
            took: Span::default(),
        };
        heads.push((head, link, now, tokens, prefill, expected));
        waits += head.since(now).secs_f64();
        fast += u32::from(link % 4 == 0) * tokens;
        sent += 1;
        all += tokens;
    }
    Day {
        mean_wait: waits / f64::from(sent),
        fast_share: f64::from(fast) / f64::from(all),
    }
}

/// An entry that seldom sends knows the speeds that the others recorded.
#[test]
fn an_entry_without_runs_learns_from_the_others() {
    let (mut one, mut other) = (peers(Contention::On), peers(Contention::On));
    for round in 0..10 {
        learn(&mut one, 4_000, Time(round * 50_000));
    }
    let now = Time(500_000);
    let sums = one.refresh_speeds(now);
    other.merge_speeds(&sums, now);
    assert!(
        other.refresh_speeds(now).is_empty(),
        "told by another entry"
    );
    for link in 1..=UPSTREAMS {
        let (own, told) = (factor(&mut one, link, now), factor(&mut other, link, now));
        assert!((own / told - 1.0).abs() < 0.02, "{link}: {own} {told}");
    }
    let (fast, slow) = (factor(&mut other, 4, now), factor(&mut other, 5, now));
    assert!((1.6..=2.4).contains(&(slow / fast)), "{fast} {slow}");
}

/// What was learned ages: an upstream whose speed changed counts as usual again without runs.
#[test]
fn a_speed_without_runs_ages() {
    let mut peers = peers(Contention::On);
    for round in 0..10 {
        learn(&mut peers, 4_000, Time(round * 50_000));
    }
    peers.refresh_speeds(Time(500_000));
    let before = factor(&mut peers, 4, Time(500_000));
    peers.refresh_speeds(Time(60_000_000));
    let after = factor(&mut peers, 4, Time(60_000_000));
    assert!(
        (after - 1.0).abs() < (before - 1.0).abs() / 2.0,
        "{before} {after}"
    );
}

/// A report that repeats or contradicts itself moves no speed beyond its limit.
#[test]
fn a_false_sum_is_limited() {
    let mut peers = peers(Contention::On);
    let upstream = peers.get(1).unwrap().start_id();
    let sum = SpeedSum {
        upstream,
        weight: 100,
        log: i32::MAX,
    };
    peers.merge_speeds(&[sum; 50], Time(0));
    peers.refresh_speeds(Time(0));
    let factor = factor(&mut peers, 1, Time(0));
    assert!(factor.is_finite() && factor < 10.0, "{factor}");
}

/// A long prompt that another entry sent holds up short ones until it is read, also where it takes
/// longer than expected.
#[test]
fn prompts_avoid_an_upstream_that_reads_for_another_entry() {
    let mut peers = peers(Contention::On);
    let (pool, now) = (pool(), Time(1_000_000));
    let start_id = peers.get(3).unwrap().start_id();
    peers.add_remote_prefill(start_id, Span::from_millis(900), now);
    let later = Time(1_950_000);
    peers.extend_remote_queue(start_id, Span::from_millis(400), later);
    for at in [now, Time(1_500_000), Time(2_200_000)] {
        for draw in 0..UPSTREAMS {
            let draw = draw as f64 / UPSTREAMS as f64;
            let chosen = peers.choose(&criteria(&pool, &[], 500), Policy::FirstToken, at, draw);
            assert_ne!(chosen.unwrap().link, 3, "{at:?}");
        }
    }
    let outlook: Outlook = peers.outlook(&criteria(&pool, &[], 500), now).unwrap();
    assert!(
        outlook.has_free && outlook.first < Span::from_millis(100),
        "{outlook:?}"
    );
}

/// When a prompt is answered, the prompts before it are read and only later ones count.
#[test]
fn an_answer_corrects_the_queue() {
    let mut peers = peers(Contention::On);
    let (pool, others): (_, Vec<Link>) = (pool(), (2..=UPSTREAMS).collect());
    for at in [0, 100, 200] {
        peers.prefill_started(1, Span::from_millis(1_000), Time(at * 1_000));
    }
    let end = PrefillEnd::Read {
        sent_at: Time(100_000),
        read_at: Time(300_000),
    };
    peers.prefill_ended(1, Span::from_millis(1_000), end);
    let criteria = Criteria {
        tried: &others,
        ..criteria(&pool, &[], 500)
    };
    let chosen = peers.choose(&criteria, Policy::FirstToken, Time(300_000), 0.0);
    assert_eq!(chosen.unwrap().wait, Span::from_millis(1_000));
}

/// Fast upstreams are the home of more prefixes, and entries that know slightly different speeds
/// agree on nearly all homes.
#[test]
fn homes_follow_the_speeds() {
    let (mut one, mut other) = (peers(Contention::On), peers(Contention::On));
    for round in 0..10 {
        let now = Time(round * 50_000);
        learn(&mut one, 4_000, now);
        learn(&mut other, 4_000, now);
        learn(&mut other, 1_000, now);
    }
    let now = Time(500_000);
    one.refresh_speeds(now);
    other.refresh_speeds(now);
    let pool = pool();
    let home = |peers: &mut Peers, hash: u64| {
        let shared = Prefix {
            hash: hash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tokens: 40_000,
        };
        let prefixes = [
            shared,
            Prefix {
                hash,
                tokens: 40_100,
            },
        ];
        let criteria = criteria(&pool, &prefixes, 40_100);
        peers.pick(&criteria, Policy::FirstToken, now, 0.5).unwrap()
    };
    let homes: Vec<(Link, Link)> = (0..400)
        .map(|hash| (home(&mut one, hash), home(&mut other, hash)))
        .collect();
    let agreed = homes.iter().filter(|(a, b)| a == b).count();
    assert!(agreed >= 380, "{agreed} of 400");
    let fast = homes.iter().filter(|(a, _)| a % 4 == 0).count() as f64 / 400.0;
    let share = (1.0 / 0.55) / (1.0 / 0.55 + 3.0 / 1.2);
    assert!((fast - share).abs() < 0.1, "{fast} of the homes are fast");
}

/// Pools whose upstreams tell no pace are served as without speeds.
#[test]
fn a_pool_without_pace_is_not_contended() {
    let mut plain = peers(Contention::Detect);
    learn(&mut plain, 4_000, Time(0));
    assert!(!plain.is_contended(&pool()));
    assert_eq!(factor(&mut plain, 4, Time(500_000)), 1.0);
}

/// Plain services work on several requests at once; they are never contended, whenever the
/// configuration comes.
#[test]
fn a_plain_service_is_not_contended() {
    let text = r#"
        [pools.engines]
        kind = "plain"
        prefix = "/engines"
        [nodes."/"]
    "#;
    let tree = Tree::from_entries(Revision(1), parse_toml(text).unwrap()).unwrap();
    let mut peers = peers(Contention::On);
    assert!(peers.is_contended(&pool()));
    learn(&mut peers, 4_000, Time(0));
    peers.configure(&tree, Time(0));
    peers.refresh_speeds(Time(0));
    assert!(!peers.is_contended(&pool()));
    assert_eq!(factor(&mut peers, 4, Time(0)), 1.0);
}
