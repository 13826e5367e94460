//! Guards the processor and the memory of an entry against the log lines of links that it refuses.

use super::*;
use crate::entry::Limits;
use crate::most_connections_at_one_slow_entry::TURN;
use async_std::net::TcpStream;
use futures_lite::AsyncWriteExt;

const REFUSED: usize = 20;
/// How much memory the lines may take, in kB.
const GROWTH_KB: u64 = 4_096;

#[test]
fn a_refused_link_is_logged_without_a_backtrace() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    task::block_on(async {
        let store = start_store().await;
        let limits = Limits {
            share: 1.0,
            memory: 100,
            mbps: 100.0,
        };
        let entry = Entry::start(&store, "front-0", limits);
        until_ready(&entry, STARTS_WITHIN).await;
        let before = entry.peak_kb();
        for _ in 0..REFUSED {
            let mut stream = TcpStream::connect(entry.links).await.unwrap();
            stream.write_all(b"no link\r\n\r\n").await.unwrap();
        }
        let began = Instant::now();
        while entry.lines("event=link-refused").len() < REFUSED {
            assert!(began.elapsed() < Duration::from_secs(20), "too few lines");
            task::sleep(Duration::from_millis(50)).await;
        }
        let lines = entry.lines("event=link-refused");
        assert!(!lines[0].contains("backtrace"), "{}", lines[0]);
        let growth = entry.peak_kb() - before;
        assert!(growth < GROWTH_KB, "{growth} kB");
    });
}
