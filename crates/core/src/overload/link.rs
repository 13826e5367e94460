//! The network link: the bytes that requests let in will send.

use super::meter::{Average, Meter};
use super::pace::Pace;
use super::wait::Opens;
use crate::unit::{Size, Span, Time};
use std::net::SocketAddr;

/// The part of the bandwidth that is let in; the rest is for headers of packets, other entries and
/// the store.
const HEADROOM: f64 = 0.85;
/// Time for which the link may owe bytes beyond its bandwidth: requests come at random.
const DEPTH: Span = Span::from_millis(250);
/// The bytes of a request before any was seen.
const ASSUMED: f64 = 8_000.0;
const BITS: f64 = 8.0;
/// The bytes that were sent lately, as a part of the bandwidth, below which connections that open
/// slowly have another cause than the link.
const MIN_SENT: f64 = 0.5;
const SENT_OVER: Span = Span::from_millis(500);
/// How long a connection to an upstream may take to open: halls are a millisecond or so apart, and
/// a full queue of connections drops the first packet for a second. A link that is behind holds all
/// connections up, and what is given up is sent anew.
const CONNECT_TIMEOUT: Span = Span::from_millis(600);
const CONNECT_TIMEOUT_BEHIND: Span = Span::from_millis(1_800);

/// The bandwidth of a link and what it owes.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// The bytes a second; `None` if the bandwidth is unknown.
    bandwidth: Option<f64>,
    pace: Pace,
    opens: Opens,
    average: Average,
    meter: Meter,
}

impl Link {
    pub fn new(mbps: f64, now: Time) -> Link {
        Link {
            bandwidth: (mbps > 0.0).then_some(mbps * 1e6 / BITS),
            pace: Pace::new(now),
            opens: Opens::default(),
            average: Average::new(ASSUMED),
            meter: Meter::new(now),
        }
    }

    pub fn send(&mut self, size: Size) {
        self.send_more(size);
        self.average.spend(size.bytes() as f64);
    }

    /// Records bytes that do not count for the average request.
    pub fn send_more(&mut self, size: Size) {
        self.pace.work(size.bytes() as f64);
    }

    /// Returns how long a connection to an upstream may take to open.
    pub fn connect_timeout(&self, now: Time) -> Span {
        match self.behind_since(now) {
            Some(_) => CONNECT_TIMEOUT_BEHIND,
            None => CONNECT_TIMEOUT,
        }
    }

    /// Records that a connection to an upstream took this long to open.
    pub fn open(&mut self, upstream: SocketAddr, took: Span, now: Time) {
        self.opens.record(upstream, took, now);
    }

    /// Records that a connection to an upstream has not opened after this long.
    pub fn wait(&mut self, upstream: SocketAddr, passed: Span, now: Time) {
        self.opens.wait(upstream, passed, now);
    }

    pub fn begin(&mut self) {
        self.average.begin();
    }

    pub fn end(&mut self) {
        self.average.end();
    }

    /// Charges this part of the bytes of a request that was let in.
    pub fn charge(&mut self, part: f64) {
        self.meter.charge(self.average.get() * part);
    }

    /// Takes back the charge for this part of a request that has not come.
    pub fn refund(&mut self, part: f64) {
        self.meter.refund(self.average.get() * part);
    }

    /// Updates the pace.
    pub fn step(&mut self, now: Time) {
        let Some(passed) = self.pace.mark(now) else {
            return;
        };
        let behind = self.behind_since(now);
        self.pace.step(behind, &mut self.meter, passed, now);
    }

    /// Returns whether the link cannot take another request.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.step(now);
        if self.behind_since(now).is_some() {
            return true;
        }
        let Some(limit) = self.limit() else {
            return false;
        };
        self.meter.drain(limit, now);
        self.meter.owed(limit) > DEPTH
    }

    /// Returns since when the link is behind, if it is.
    fn behind_since(&self, now: Time) -> Option<Time> {
        let bandwidth = self.bandwidth?;
        let since = self.opens.behind_since(now)?;
        let sent = self.pace.rate(SENT_OVER, now);
        (sent >= bandwidth * MIN_SENT).then_some(since)
    }

    /// Returns the bytes that are let in a second, if they are limited.
    fn limit(&self) -> Option<f64> {
        let told = self.bandwidth? * HEADROOM;
        Some(self.pace.limit().map_or(told, |seen| seen.min(told)))
    }

    pub fn owed(&self, now: Time) -> Span {
        let Some(limit) = self.limit() else {
            return Span::default();
        };
        let mut meter = self.meter;
        meter.drain(limit, now);
        meter.owed(limit)
    }

    pub fn sent(&self) -> Size {
        Size::from_bytes(self.pace.done() as u64)
    }
}
