//! After every upstream had failed, the caller was told that there was no
//! upstream, not why the upstreams had failed.

use crate::common::{ask, chat, json_of, start};
use sorreldeck_emulator::engine::Faults;

#[test]
fn the_caller_learns_why_the_upstreams_failed() {
    async_std::task::block_on(async {
        let sample = start("").await;
        for engine in &sample.engines {
            engine.set_faults(Faults {
                fail: 1.0,
                ..Faults::default()
            });
        }
        let reply = ask(&sample, &chat("scribe", "fail"), &[]).await;
        assert_eq!(reply.status, 502);
        assert_eq!(json_of(&reply)["error"]["code"], "upstream_failed");
    });
}
