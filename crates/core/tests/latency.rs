//! The learned prefill time affects routing and stall timeouts.

use sorreldeck::latency::{Estimator, Workload};
use sorreldeck::pick::{Constraints, Criteria, Link, Peers, Policy, PrefillEnd};
use sorreldeck::reuse::Scope;
use sorreldeck::wire::Load;
use sorreldeck::{PoolId, Rate, Span, Time};
use test_case::test_case;

fn workload(model: &str) -> Workload {
    Workload::Model("engines".parse().unwrap(), model.parse().unwrap())
}

/// Creates an estimator that has recorded prompts of these lengths at this prefill rate. Every
/// seventh answer is late by the given time.
fn estimator(model: &str, tokens: &[u32], per_second: u64, late: u64) -> Estimator {
    let mut estimator = Estimator::default();
    for i in 0..400 {
        let tokens = tokens[i % tokens.len()];
        let late = if i % 7 == 0 { late } else { 0 };
        let took = 30 + u64::from(tokens) * 1_000 / per_second + late;
        let took = Span::from_millis(took);
        estimator.record(&workload(model), tokens, Span::default(), took);
    }
    estimator
}

#[test_case(112_000; "a fast engine")]
#[test_case(12_000; "a slow one")]
fn prefill_rate_of_a_model_is_learned(per_second: u64) {
    let tokens = [200, 1_500, 4_000, 17_000];
    let estimator = estimator("m", &tokens, per_second, 0);
    let rate = estimator.rate(&workload("m")).per_second() / per_second as f64;
    assert!((0.8..1.25).contains(&rate), "{rate}");
    let expected = estimator.estimate(&workload("m"), 10_000).secs_f64();
    let actual = 0.03 + 10_000.0 / per_second as f64;
    assert!((0.8..1.25).contains(&(expected / actual)), "{expected}");
}

#[test]
fn prompts_of_one_length_give_a_usable_rate() {
    let estimator = estimator("m", &[1_000], 20_000, 0);
    let expected = estimator.estimate(&workload("m"), 1_000).millis();
    assert!((70..90).contains(&expected), "{expected}");
    assert!(estimator.rate(&workload("m")).per_second() > 1_000.0);
}

/// Guards against retries of long prompts on other upstreams. A stall timeout of 1.2 s is shorter
/// than the prefill of a long prompt, so that 381 runs were repeated elsewhere on a day with low
/// load.
#[test]
fn stall_timeout_allows_for_a_long_prefill() {
    let estimator = estimator("m", &[500, 17_000, 40_000], 12_000, 0);
    let expected = estimator.estimate(&workload("m"), 40_000);
    assert!(expected > Span::from_millis(3_000));
    assert!(estimator.stall_timeout(&workload("m"), expected) > Span::from_millis(12_000));
    let short = estimator.estimate(&workload("m"), 500);
    assert!(estimator.stall_timeout(&workload("m"), short) < Span::from_millis(2_500));
}

#[test]
fn stall_timeout_grows_with_the_deviation_of_answers() {
    let (steady, uneven) = (
        estimator("m", &[500, 2_000], 40_000, 0),
        estimator("m", &[500, 2_000], 40_000, 2_000),
    );
    let due = Span::from_millis(50);
    let timeout = |estimator: &Estimator| estimator.stall_timeout(&workload("m"), due);
    assert!(timeout(&uneven) > timeout(&steady) + Span::from_millis(1_000));
}

/// Creates two upstreams, of which the first has a pending prefill.
fn peers(pool: &PoolId, pending: Span) -> Peers {
    let mut peers = Peers::default();
    for (link, name) in [(1, "a"), (2, "b")] {
        let load = Load {
            slots: 64,
            ..Load::default()
        };
        peers.join(link, name.parse().unwrap(), pool, load);
    }
    peers.prefill_started(1, pending, Time::default());
    peers
}

fn pick(peers: &mut Peers, pool: &PoolId) -> Link {
    let criteria = Criteria {
        pool,
        tokens: 1_000,
        urgent: false,
        rank: 0,
        prefixes: &[],
        shared_prefix: None,
        last_upstream: None,
        tried: &[],
        constraints: Constraints::default(),
        prefill_rate: Some(Rate::from_per_second(12_000.0)),
        scope: Scope::Hall,
    };
    let picked = peers.pick(&criteria, Policy::FirstToken, Time(1_000_000), 0.0);
    picked.unwrap()
}

/// Guards against routing by slots where prefill is the bottleneck. Slots do not show it: only 2 to
/// 12 of 64 were in use while a quarter of the long prompts were late.
#[test]
fn pending_prefill_moves_prompts_to_another_upstream() {
    let pool: PoolId = "engines".parse().unwrap();
    let mut peers = peers(&pool, Span::from_millis(1_400));
    for _ in 0..8 {
        assert_eq!(pick(&mut peers, &pool), 2);
    }
    peers.prefill_ended(1, Span::from_millis(1_400), PrefillEnd::Abandoned);
    assert_eq!(pick(&mut peers, &pool), 1, "its prefill has ended");
}
