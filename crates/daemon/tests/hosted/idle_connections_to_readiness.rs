//! Guards the descriptors of requests against connections to the readiness check on which nothing
//! comes.

use super::*;
use async_std::future::timeout;

/// The connections that may stay open, and those that are opened.
const MAX: usize = 64;
const OPENED: usize = 200;

#[test]
fn idle_connections_to_readiness_take_few_descriptors_and_keep_no_check_away() {
    task::block_on(async {
        let store = Store::start().await;
        store.put("op", "config", &config(3, &[]));
        let entry = start_entry(&store, "a", &[]).await;
        let mut idle = Vec::new();
        for _ in 0..OPENED {
            idle.push(TcpStream::connect(entry.ready).await.unwrap());
        }
        task::sleep(Duration::from_millis(200)).await;
        let mut open = 0;
        for stream in &idle {
            let end = timeout(Duration::from_millis(1), stream.peek(&mut [0])).await;
            open += usize::from(end.is_err());
        }
        assert!(open <= MAX, "{open} connections are open");
        let text = "GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        assert!(ask(entry.ready, text).await.starts_with("HTTP/1.1"));
    });
}
