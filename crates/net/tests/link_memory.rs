//! How the memory of a process grows with its links.

use async_std::net::TcpListener;
use async_std::task;
use sorreldeck::Incarnation;
use sorreldeck_net::link::{self, Keys, Outbox};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The system's allocator, which counts what is in use.
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on as it is.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// An entry that hands tables to a data hall of 154, twice the largest at hand, is to stay below
/// 20 MB; a quarter of that is for its links.
const EACH_END: usize = 5_000_000 / 154;

async fn open(links: usize, keys: &Keys) -> Vec<Outbox> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, _) = async_channel::unbounded();
    let mut outboxes = Vec::new();
    for number in 0..links as u64 {
        let accepted = async {
            let (stream, _) = listener.accept().await.unwrap();
            link::accept(stream.into(), keys, [1; 16]).await.unwrap()
        };
        let opened = link::connect(address, keys, Incarnation(1), [2; 16]);
        let (accepted, opened) = futures_lite::future::zip(accepted, opened).await;
        outboxes.push(accepted.run(number, events.clone(), Arc::default()));
        outboxes.push(opened.unwrap().run(number, events.clone(), Arc::default()));
    }
    outboxes
}

#[test]
fn an_idle_link_keeps_no_room_for_large_messages() {
    task::block_on(async {
        let keys: Keys = format!("1:{}", "ab".repeat(32)).parse().unwrap();
        let few = open(10, &keys).await;
        let before = IN_USE.load(Ordering::Relaxed);
        let many = open(40, &keys).await;
        let grown = IN_USE.load(Ordering::Relaxed) - before;
        let each = grown / many.len();
        println!("{each} bytes for each end of a link");
        assert!(each < EACH_END, "{each} bytes for each end of a link");
        drop(few);
    });
}
