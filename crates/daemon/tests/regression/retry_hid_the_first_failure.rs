//! Guards against a misleading error: after every upstream had failed, the caller got the error that
//! there is no upstream instead of the failure of the upstreams.

use crate::common::{ask, chat, json_of, start};
use sorreldeck_emulator::engine::Faults;

#[test]
fn the_caller_gets_the_failure_of_the_upstreams() {
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
