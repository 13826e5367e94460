//! What the machine lets this process have.
//!
//! ```
//! assert!(sorreldeckd::machine::descriptors().is_none_or(|n| n > 0));
//! ```

use rustix::process::{getrlimit, Resource};

/// Returns the number of descriptors that this process may open, if it is limited.
pub fn descriptors() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
