//! Guards against too many sessions that change their release at the beginning of a trial. Four
//! sessions that one entry had served on the old release were assigned to the new one by another
//! entry within 5 s. Entries learn of each other's sessions with a delay, so only the share of
//! the trial bounds how many sessions change over.

use sorreldeck::release::{Order, Releases, Selection, State};
use sorreldeck::{PoolId, Span, Time, VersionId};
use std::collections::BTreeMap;

/// Sessions that move to another entry around the beginning of a trial, as in the original failure.
const ROAMING: u64 = 17;
/// Number of simulated trials.
const TRIALS: u64 = 2_000;

#[test]
fn few_roaming_sessions_are_assigned_to_the_trial() {
    let pool: PoolId = "engines".parse().unwrap();
    let (old, new): (VersionId, VersionId) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    let present = BTreeMap::from([(&old, 18), (&new, 18)]);
    let mut releases = Releases::default();
    releases.set_baseline(&pool, [&old]);
    let order = Order {
        pool: pool.clone(),
        to: new.clone(),
        duration: Span::from_millis(24_000),
        issued: 1.into(),
        learned: 1.into(),
    };
    releases.set_order(order, Some(State::Running), Some(Time(0)));
    let broken = (0..TRIALS).filter(|trial| {
        let sessions = trial * ROAMING..(trial + 1) * ROAMING;
        let drawn = sessions.filter(|s| {
            // Session names are hashes, so consecutive numbers must not give similar names.
            let session = s.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let chosen = releases.choose(&pool, Some(session), 0.0, Time(1_000), &present);
            chosen == Selection::Release(new.clone())
        });
        drawn.count() > 3
    });
    let broken = broken.count();
    assert!(broken <= 10, "{broken} of {TRIALS} trials break the rule");
}
