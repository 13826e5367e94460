//! Whether a server is there, also while its process ends.

use async_std::net::TcpListener;
use async_std::task;
use sorreldeck_net::reach;
use std::time::Duration;
use test_case::test_case;

/// A run broke with its upstream's crash, but the listener was closed some milliseconds after the
/// connections: a machine under load showed it once, and the crash looked like a run cut off.
///
/// Each row: for how long the server goes on listening, and whether it is taken for gone.
#[test_case(Some(0), true; "it is gone")]
#[test_case(Some(10), true; "it closes a moment later")]
#[test_case(None, false; "it stays")]
fn a_server_that_is_about_to_close_is_gone(closes_after_ms: Option<u64>, expected: bool) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let kept = match closes_after_ms {
            Some(0) => {
                drop(listener);
                None
            }
            Some(ms) => {
                task::spawn(async move {
                    task::sleep(Duration::from_millis(ms)).await;
                    drop(listener);
                });
                None
            }
            None => Some(listener),
        };
        assert_eq!(reach::is_refused(address).await, expected);
        drop(kept);
    });
}
