//! Guards requests that an entry has read while it gets most new connections of all.

use super::request_that_crashes_upstreams::{call_until, entries, Call, Fleet, CONTACT};
use super::*;

/// How often requests are served at the first attempt, against before.
const SERVED: f64 = 0.75;
const BEFORE: Duration = Duration::from_millis(2_000);
const LASTS: Duration = Duration::from_millis(5_000);
/// Time between two connections before, and while most go to one entry.
const EVERY: Duration = Duration::from_millis(10);
const EVERY_THEN: Duration = Duration::from_millis(3);
/// Of ten new connections, those that go to the one entry.
const TO_ONE: usize = 9;

fn served(calls: &[Call]) -> f64 {
    // Nothing comes back on a connection that was refused or closed unread.
    let read: Vec<&Call> = calls
        .iter()
        .filter(|call| !call.answer.is_empty())
        .collect();
    let good = read.iter().filter(|call| call.is_good()).count();
    good as f64 / read.len().max(1) as f64
}

#[test]
fn requests_are_served_while_one_entry_gets_most_new_connections() {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let _fleet = Fleet::start(&store, "engines").await;
        let entries = entries(&store, ["a", "b", "c"]).await;
        let callers: Vec<SocketAddr> = entries.iter().map(|e| e.callers).collect();
        let call = |n| (format!("/talk/{n}/stream"), String::new());
        let until = Instant::now() + BEFORE;
        let before = served(&call_until(callers.clone(), until, EVERY, call).await);
        let mut skewed = vec![callers[0]; TO_ONE];
        skewed.push(callers[1]);
        let began = Instant::now();
        let calls = call_until(skewed, began + LASTS, EVERY_THEN, call).await;
        let late: Vec<Call> = calls
            .into_iter()
            .filter(|call| call.asked > began + CONTACT)
            .collect();
        assert!(late.len() > 100, "{} calls", late.len());
        let then = served(&late);
        assert!(
            then >= SERVED * before,
            "{then:.3} served, {before:.3} before"
        );
    });
}
