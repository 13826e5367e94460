//! How reading that is learned decides where prompts go and how long they are waited for.

use sorreldeck::latency::{Estimator, Workload};
use sorreldeck::pick::{Constraints, Criteria, Link, Peers, Policy};
use sorreldeck::reuse::Scope;
use sorreldeck::wire::Load;
use sorreldeck::{PoolId, Rate, Span, Time};
use test_case::test_case;

fn subject(model: &str) -> Workload {
    Workload::Model("engines".parse().unwrap(), model.parse().unwrap())
}

/// Readings that have seen prompts of these lengths read at this rate, with answers
/// that are now and then late by the given time.
fn readings(model: &str, tokens: &[u32], per_second: u64, late: u64) -> Estimator {
    let mut readings = Estimator::default();
    for i in 0..400 {
        let tokens = tokens[i % tokens.len()];
        let late = if i % 7 == 0 { late } else { 0 };
        let took = 30 + u64::from(tokens) * 1_000 / per_second + late;
        let took = Span::from_millis(took);
        readings.record(&subject(model), tokens, Span::default(), took);
    }
    readings
}

#[test_case(112_000; "a quick engine")]
#[test_case(12_000; "a slow one")]
fn the_rate_of_a_model_is_learned(per_second: u64) {
    let tokens = [200, 1_500, 4_000, 17_000];
    let readings = readings("m", &tokens, per_second, 0);
    let rate = readings.rate(&subject("m")).per_second() / per_second as f64;
    assert!((0.8..1.25).contains(&rate), "{rate}");
    let expected = readings.estimate(&subject("m"), 10_000).secs_f64();
    let true_one = 0.03 + 10_000.0 / per_second as f64;
    assert!((0.8..1.25).contains(&(expected / true_one)), "{expected}");
}

#[test]
fn prompts_of_one_length_leave_a_rate_that_can_be_used() {
    let readings = readings("m", &[1_000], 20_000, 0);
    let expected = readings.estimate(&subject("m"), 1_000).millis();
    assert!((70..90).contains(&expected), "{expected}");
    assert!(readings.rate(&subject("m")).per_second() > 1_000.0);
}

/// On calcne-recife 381 runs of a quiet day were sent again elsewhere, since a long prompt
/// takes longer to be read than the 1.2 s that were waited for.
#[test]
fn a_long_reading_is_waited_for() {
    let readings = readings("m", &[500, 17_000, 40_000], 12_000, 0);
    let expected = readings.estimate(&subject("m"), 40_000);
    assert!(expected > Span::from_millis(3_000));
    assert!(readings.stall_timeout(&subject("m"), expected) > Span::from_millis(12_000));
    let short = readings.estimate(&subject("m"), 500);
    assert!(readings.stall_timeout(&subject("m"), short) < Span::from_millis(2_500));
}

#[test]
fn where_answers_are_often_late_more_is_waited_for() {
    let (calm, uneven) = (
        readings("m", &[500, 2_000], 40_000, 0),
        readings("m", &[500, 2_000], 40_000, 2_000),
    );
    let due = Span::from_millis(50);
    let patience = |readings: &Estimator| readings.stall_timeout(&subject("m"), due);
    assert!(patience(&uneven) > patience(&calm) + Span::from_millis(1_000));
}

/// Two upstreams, of which the first has a prompt to read.
fn peers(pool: &PoolId, unread: Span) -> Peers {
    let mut peers = Peers::default();
    for (link, name) in [(1, "a"), (2, "b")] {
        let load = Load {
            slots: 64,
            ..Load::default()
        };
        peers.join(link, name.parse().unwrap(), pool, load);
    }
    peers.prefill_started(1, unread);
    peers
}

fn pick(peers: &mut Peers, pool: &PoolId) -> Link {
    let wish = Criteria {
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
    let picked = peers.pick(&wish, Policy::FirstToken, Time(1_000_000), 0.0);
    picked.unwrap()
}

/// Slots say nothing where reading is the bottleneck: 2 to 12 of 64 were taken on
/// calcne-recife while a quarter of the long prompts were late.
#[test]
fn a_prompt_avoids_an_upstream_that_has_a_long_one_to_read() {
    let pool: PoolId = "engines".parse().unwrap();
    let mut peers = peers(&pool, Span::from_millis(1_400));
    for _ in 0..8 {
        assert_eq!(pick(&mut peers, &pool), 2);
    }
    peers.prefill_ended(1, Span::from_millis(1_400));
    assert_eq!(
        pick(&mut peers, &pool),
        1,
        "it has nothing to read any more"
    );
}
