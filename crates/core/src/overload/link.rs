//! The network link: the bytes that requests let in will send.

use super::meter::{Average, Meter};
use crate::unit::{Size, Span, Time};

/// The part of the bandwidth that is let in; the rest is for headers of packets, other entries and
/// the store.
const HEADROOM: f64 = 0.85;
/// Time for which the link may owe bytes beyond its bandwidth: requests come at random.
const DEPTH: Span = Span::from_millis(250);
/// The bytes of a request before any was seen.
const ASSUMED: f64 = 8_000.0;
const BITS: f64 = 8.0;

/// The bandwidth of a link and what it owes.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// The bytes that are let in a second; `None` if the bandwidth is unknown.
    pace: Option<f64>,
    average: Average,
    meter: Meter,
    sent: u64,
}

impl Link {
    pub fn new(mbps: f64, now: Time) -> Link {
        Link {
            pace: (mbps > 0.0).then_some(mbps * 1e6 / BITS * HEADROOM),
            average: Average::new(ASSUMED),
            meter: Meter::new(now),
            sent: 0,
        }
    }

    pub fn send(&mut self, size: Size) {
        self.sent += size.bytes();
        self.average.spend(size.bytes() as f64);
    }

    pub fn begin(&mut self) {
        self.average.begin();
    }

    pub fn end(&mut self) {
        self.average.end();
    }

    /// Charges the bytes of a request that was let in.
    pub fn charge(&mut self) {
        self.meter.charge(self.average.get());
    }

    /// Returns whether the link cannot take another request.
    pub fn is_full(&mut self, now: Time) -> bool {
        let Some(pace) = self.pace else {
            return false;
        };
        self.meter.drain(pace, now);
        self.meter.owed(pace) > DEPTH
    }

    pub fn owed(&self, now: Time) -> Span {
        let Some(pace) = self.pace else {
            return Span::default();
        };
        let mut meter = self.meter;
        meter.drain(pace, now);
        meter.owed(pace)
    }

    pub fn sent(&self) -> Size {
        Size::from_bytes(self.sent)
    }
}
