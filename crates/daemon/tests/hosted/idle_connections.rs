//! Guards the descriptors of requests against connections on which nothing comes, to listeners
//! other than the callers'.

use super::*;
use async_std::future::timeout;

/// The connections that are opened, and those that may stay open at each listener.
const OPENED: usize = 400;
const MAX_READY: usize = 64;
const MAX_OPENING: usize = 256;

async fn open_idle(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..OPENED {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    task::sleep(Duration::from_millis(200)).await;
    streams
}

async fn is_open(stream: &TcpStream) -> bool {
    timeout(Duration::from_millis(1), stream.peek(&mut [0]))
        .await
        .is_err()
}

async fn count_open(streams: &[TcpStream]) -> usize {
    let mut open = 0;
    for stream in streams {
        open += usize::from(is_open(stream).await);
    }
    open
}

async fn start() -> Running {
    let store = Store::start().await;
    store.put("op", "config", &config(3, &[]));
    start_entry(&store, "a", &[]).await
}

#[test]
fn idle_connections_to_readiness_take_few_descriptors_and_keep_no_check_away() {
    task::block_on(async {
        let entry = start().await;
        let idle = open_idle(entry.ready).await;
        let open = count_open(&idle).await;
        assert!(open <= MAX_READY, "{open} connections are open");
        let text = "GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        assert!(ask(entry.ready, text).await.starts_with("HTTP/1.1"));
    });
}

#[test]
fn idle_connections_to_links_take_few_descriptors_and_the_latest_stay() {
    task::block_on(async {
        let entry = start().await;
        let idle = open_idle(entry.links.unwrap()).await;
        assert!(is_open(&idle[OPENED - 1]).await);
        let open = count_open(&idle).await;
        assert!(open <= MAX_OPENING, "{open} connections are open");
    });
}
