//! What tests of routed requests build alike.

// Each program of tests uses a part of these.
#[allow(unused_imports)]
pub use sorreldeck_emulator::routed::{ask, entry, head, member, routed, streams, tree};

#[allow(dead_code)]
pub mod stand;
