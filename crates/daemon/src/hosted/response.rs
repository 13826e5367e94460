//! The response to a client on its way from the event loop, bounded in bytes.
//!
//! The event loop writes parts without waiting for the client. The run that produces them waits
//! before it reads more from its upstream, so an upstream works no faster than the client reads.
//!
//! ```
//! use sorreldeck::entry::Part;
//! use sorreldeckd::hosted::response;
//!
//! # async_std::task::block_on(async {
//! let (writer, mut reader) = response::channel();
//! writer.write(Part::Data(vec![0; response::MAX_UNREAD]));
//! assert!(writer.unread().is_full());
//! assert!(matches!(reader.read().await, Some(Part::Data(_))));
//! assert!(!writer.unread().is_full());
//! # });
//! ```

use async_channel::{Receiver, Sender};
use futures_util::task::AtomicWaker;
use sorreldeck::entry::Part;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes of a response that its client has not read beyond which nothing more is read from the
/// upstream. Few streams of events have as many in all.
pub const MAX_UNREAD: usize = 64 * 1024;
/// Bytes up to which a client must have read before the upstream is read again, so that a slow
/// client does not stop and start it with every part.
const RESUME_UNREAD: usize = MAX_UNREAD / 2;

/// Creates the two ends of a response.
pub fn channel() -> (Writer, Reader) {
    let (send, parts) = async_channel::unbounded();
    let unread = Unread::default();
    let writer = Writer {
        parts: send,
        unread: unread.clone(),
    };
    let reader = Reader {
        parts: Box::pin(parts),
        unread,
    };
    (writer, reader)
}

/// The end of the event loop.
pub struct Writer {
    parts: Sender<Part>,
    unread: Unread,
}

impl Writer {
    /// Writes a part. If the client disconnected, the part is dropped.
    pub fn write(&self, part: Part) {
        let bytes = size_of(&part);
        self.unread.add(bytes);
        if self.parts.try_send(part).is_err() {
            self.unread.subtract(bytes);
        }
    }

    /// Returns the count of the bytes that the client has not read.
    pub fn unread(&self) -> Unread {
        self.unread.clone()
    }
}

/// The end of the frontend.
pub struct Reader {
    parts: Pin<Box<Receiver<Part>>>,
    unread: Unread,
}

impl Reader {
    /// Returns the next part, or `None` if the event loop has ended.
    pub async fn read(&mut self) -> Option<Part> {
        poll_fn(|cx| self.poll_read(cx)).await
    }

    /// Polls for the next part.
    pub fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Option<Part>> {
        use futures_util::Stream as _;
        let polled = self.parts.as_mut().poll_next(cx);
        if let Poll::Ready(Some(part)) = &polled {
            self.unread.subtract(size_of(part));
        }
        polled
    }
}

fn size_of(part: &Part) -> usize {
    match part {
        Part::Data(data) => data.len(),
        Part::Head { .. } | Part::End | Part::Fail(_) => 0,
    }
}

/// The number of bytes of a response that its client has not read.
#[derive(Clone, Default)]
pub struct Unread(Arc<Count>);

#[derive(Default)]
struct Count {
    bytes: AtomicUsize,
    waker: AtomicWaker,
}

impl Unread {
    /// Returns whether nothing more must be read from the upstream.
    pub fn is_full(&self) -> bool {
        self.bytes() >= MAX_UNREAD
    }

    /// Waits until the client has read enough for the upstream to be read again. Only one run of a
    /// request may wait.
    pub async fn drained(&self) {
        poll_fn(|cx| {
            self.0.waker.register(cx.waker());
            match self.bytes() <= RESUME_UNREAD {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }

    fn bytes(&self) -> usize {
        self.0.bytes.load(Ordering::Acquire)
    }

    fn add(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    fn subtract(&self, bytes: usize) {
        self.0.bytes.fetch_sub(bytes, Ordering::AcqRel);
        if self.bytes() <= RESUME_UNREAD {
            self.0.waker.wake();
        }
    }
}
