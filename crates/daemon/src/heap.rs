//! The allocator of the process, which counts the bytes that are allocated.
//!
//! ```
//! let before = sorreldeckd::heap::allocated();
//! let block = vec![1u8; 100_000];
//! assert!(sorreldeckd::heap::allocated().bytes() >= before.bytes() + block.len() as u64);
//! ```

use cap::Cap;
use sorreldeck::Size;
use std::alloc::System;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the bytes that are allocated at the moment.
pub fn allocated() -> Size {
    Size::from_bytes(HEAP.allocated() as u64)
}
