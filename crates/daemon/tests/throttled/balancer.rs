//! A load balancer that asks entries whether they are ready, and sends most new connections to one.

use crate::Entry;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ASK_EVERY: Duration = Duration::from_millis(1_000);
/// Questions in a row without a good answer after which an entry gets no new connections.
const MISSES: u32 = 2;
/// Of ten first tries, those that go to one entry while it is favoured.
const TO_FAVOURITE: u64 = 9;

#[derive(Clone, Debug)]
struct Place {
    callers: SocketAddr,
    missed: u32,
}

impl Place {
    fn is_in(&self) -> bool {
        self.missed < MISSES
    }
}

#[derive(Debug, Default)]
struct State {
    places: Vec<Place>,
    favourite: Option<usize>,
    drawn: u64,
}

/// A load balancer.
#[derive(Clone, Default)]
pub struct Balancer(Arc<Mutex<State>>);

impl Balancer {
    /// Starts to ask the entries.
    pub fn start(entries: &[Entry]) -> Balancer {
        let balancer = Balancer::default();
        for (index, entry) in entries.iter().enumerate() {
            let place = Place {
                callers: entry.callers,
                missed: 0,
            };
            balancer.0.lock().unwrap().places.push(place);
            let (balancer, ready) = (balancer.clone(), entry.ready);
            task::spawn(async move {
                loop {
                    task::sleep(ASK_EVERY).await;
                    let answer = timeout(ASK_EVERY, is_ready(ready)).await;
                    let place = &mut balancer.0.lock().unwrap().places[index];
                    place.missed = match answer == Ok(true) {
                        true => 0,
                        false => place.missed + 1,
                    };
                }
            });
        }
        balancer
    }

    /// Sends most first tries to one of the entries that are in.
    pub fn favour(&self, index: usize) {
        self.0.lock().unwrap().favourite = Some(index);
    }

    /// Sends first tries to all entries alike.
    pub fn spread(&self) {
        self.0.lock().unwrap().favourite = None;
    }

    /// Returns the entry for a try.
    pub fn pick(&self, is_first: bool, tried: &[SocketAddr]) -> SocketAddr {
        let state = &mut *self.0.lock().unwrap();
        state.drawn += 1;
        let in_use: Vec<usize> = (0..state.places.len())
            .filter(|i| state.places[*i].is_in())
            .collect();
        let in_use = match in_use.len() * 2 < state.places.len() {
            true => (0..state.places.len()).collect(),
            false => in_use,
        };
        if let Some(favourite) = state.favourite.filter(|f| !in_use.contains(f)) {
            let next = in_use.iter().find(|i| **i > favourite);
            state.favourite = next.or(in_use.first()).copied();
        }
        match state.favourite {
            Some(favourite) if is_first && state.drawn % 10 < TO_FAVOURITE => {
                state.places[favourite].callers
            }
            _ => {
                let fresh: Vec<usize> = in_use
                    .iter()
                    .copied()
                    .filter(|i| !tried.contains(&state.places[*i].callers))
                    .collect();
                let choice = if fresh.is_empty() { &in_use } else { &fresh };
                // A multiplicative hash spreads consecutive draws.
                let draw = state.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                state.places[choice[draw as usize % choice.len()]].callers
            }
        }
    }
}

/// Returns whether an entry says that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let text = b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    if stream.write_all(text).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    // A connection that breaks leaves what came before.
    let _ = stream.read_to_end(&mut answer).await;
    answer.starts_with(b"HTTP/1.1 200")
}
