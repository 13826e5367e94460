//! Cuts a stream of events into whole events, in time proportional to its length.
//!
//! A line ends with LF, CR LF or CR, and an event with a blank line.
//!
//! ```
//! use sorreldeck::Size;
//! use sorreldeck_net::events::Events;
//!
//! let mut events = Events::new(Size::from_bytes(1_024));
//! assert_eq!(events.push(b"id: 1\r\ndata: a\r\n")?, None);
//! let whole = events.push(b"\r\nid: 2")?;
//! assert_eq!(whole.as_deref(), Some(&b"id: 1\r\ndata: a\r\n\r\n"[..]));
//! assert!(!events.is_empty());
//! # Ok::<(), sorreldeck_net::events::TooLarge>(())
//! ```

use crate::bytes::Bytes;
use sorreldeck::Size;
use std::fmt;

/// The size that an event may have: 16 KiB to 16 MiB.
pub type MaxSize = Bytes<{ 16 * 1024 }, { 16 * 1024 * 1024 }, { 256 * 1024 }>;

/// The error of an event that is larger than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge(Size);

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is larger than {} bytes", self.0.bytes())
    }
}

impl std::error::Error for TooLarge {}

/// The part of a stream that is no whole event yet.
#[derive(Clone, Debug)]
pub struct Events {
    rest: Vec<u8>,
    max: Size,
    /// Whether the current line is blank so far.
    is_blank: bool,
    /// Whether the last byte was a CR, whose line end may go on with an LF.
    is_after_cr: bool,
    /// Whether an event has ended with the last byte.
    has_ended: bool,
}

impl Events {
    /// Creates the beginning of a stream whose events have at most this size.
    pub fn new(max: Size) -> Events {
        Events {
            rest: Vec::new(),
            max,
            is_blank: true,
            is_after_cr: false,
            has_ended: false,
        }
    }

    /// Returns whether all bytes so far belong to whole events.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Adds bytes and returns the whole events up to here, if any have ended.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large; nothing more may be added then.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Vec<u8>>, TooLarge> {
        let end = self.last_end(data);
        let (whole, more) = data.split_at(end);
        let whole = (end > 0).then(|| {
            let mut events = std::mem::take(&mut self.rest);
            events.extend_from_slice(whole);
            events
        });
        self.rest.extend_from_slice(more);
        match self.rest.len() as u64 > self.max.bytes() {
            true => Err(TooLarge(self.max)),
            false => Ok(whole),
        }
    }

    /// Returns where the last event that ends in these bytes ends.
    fn last_end(&mut self, data: &[u8]) -> usize {
        let mut end = 0;
        for (at, byte) in data.iter().enumerate() {
            if self.has_ended_with(*byte) {
                end = at + 1;
            }
        }
        end
    }

    /// Returns whether an event has ended with this byte, or its end goes on with it.
    fn has_ended_with(&mut self, byte: u8) -> bool {
        let goes_on = self.is_after_cr && byte == b'\n';
        self.is_after_cr = byte == b'\r';
        if goes_on {
            return self.has_ended;
        }
        let ends_line = byte == b'\n' || byte == b'\r';
        self.has_ended = ends_line && self.is_blank;
        self.is_blank = ends_line;
        self.has_ended
    }
}
