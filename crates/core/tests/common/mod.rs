//! What tests of routed requests build alike.

// Each program of tests uses a part of these.
#[allow(unused_imports)]
pub use sorreldeck_emulator::routed::{ask, entry, head, member, routed, streams, tree};

use sorreldeck::entry::{Output, Part};
use sorreldeck::pick::Link;
use sorreldeck::wire::{Frame, Run};
use sorreldeck::Failure;

#[allow(dead_code)]
pub mod own;
#[allow(dead_code)]
pub mod stand;

/// Returns where a request was sent, if it was.
#[allow(dead_code)]
pub fn sent(outputs: &[Output]) -> Option<(Link, Run)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(link, Frame::Start(start)) => Some((*link, start.run)),
        _ => None,
    })
}

/// Returns why a request was refused, or failed.
#[allow(dead_code)]
pub fn failure(outputs: &[Output]) -> Option<&Failure> {
    outputs.iter().find_map(|output| match output {
        Output::Answer(_, Part::Fail(failure)) => Some(failure),
        _ => None,
    })
}
