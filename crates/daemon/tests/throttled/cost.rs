//! What a request costs the processor of an entry; run by hand.

use super::*;
use crate::client::Kind;
use crate::entry::Limits;

const LASTS: Duration = Duration::from_millis(6_000);
const PER_S: f64 = 300.0;

#[test]
#[ignore = "measures and asserts nothing"]
fn cost_of_requests() {
    task::block_on(async {
        let store = start_store().await;
        let limits = Limits {
            share: 1.0,
            memory: 512,
            mbps: 1_000.0,
        };
        let entries = vec![Entry::start(&store, "front-0", limits)];
        until_ready(&entries[0], STARTS_WITHIN).await;
        let balancer = Balancer::start(&entries);
        let kinds = [
            ("stream", 600, "2 events, 600 bytes"),
            ("paced-stream", 600, "12 events, 600 bytes"),
            ("paced-stream", 12_000, "12 events, 12,000 bytes"),
        ];
        let before = entries[0].used();
        task::sleep(LASTS).await;
        let idle = entries[0].used() - before;
        println!(
            "idle: {:.1} ms a second",
            idle.as_secs_f64() * 1e3 / LASTS.as_secs_f64()
        );
        for (action, body, name) in kinds {
            let kind = Kind {
                action,
                body: Some(body),
            };
            let before = entries[0].used();
            let client = Client::of(&balancer, kind);
            let calls = client.send_until(Instant::now() + LASTS, PER_S).await;
            let used = entries[0].used() - before - idle;
            let served = calls.iter().filter(|c| c.is_served()).count();
            println!(
                "{name}: {:.0} us a request, {served} of {} served",
                used.as_secs_f64() * 1e6 / calls.len() as f64,
                calls.len()
            );
        }
    });
}
