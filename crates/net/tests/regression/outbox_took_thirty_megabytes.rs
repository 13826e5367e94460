//! The line of frames that wait for a link set aside room for 100,000 of them
//! at once: 30 MB for each end of a link. A sample of everything took 174 MB.

use async_std::net::TcpListener;
use async_std::task;
use sorreldeck::Incarnation;
use sorreldeck_net::link::{self, Keys};
use std::sync::Arc;

const LINKS: u64 = 20;
/// Far below the 600 MB that it took before, far above the 10 MB since.
const ENOUGH_PAGES: u64 = 100 * 1024 * 1024 / 4096;

fn resident_pages() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn idle_links_take_little_memory() {
    task::block_on(async {
        let keys: Keys = format!("1:{}", "ab".repeat(32)).parse().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, _kept) = async_channel::unbounded();
        let before = resident_pages();
        let mut outboxes = Vec::new();
        for number in 0..LINKS {
            let accepted = async {
                let (stream, _) = listener.accept().await.unwrap();
                link::accept(stream.into(), &keys, [1; 16]).await.unwrap()
            };
            let opened = link::connect(address, &keys, Incarnation(1), [2; 16]);
            let (accepted, opened) = futures_lite::future::zip(accepted, opened).await;
            outboxes.push(accepted.run(number, events.clone(), Arc::default()));
            outboxes.push(opened.unwrap().run(number, events.clone(), Arc::default()));
        }
        let grown = resident_pages().saturating_sub(before);
        assert!(grown < ENOUGH_PAGES, "{grown} pages for {LINKS} links");
    });
}
