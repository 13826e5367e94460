//! Helpers shared by the tests of routed requests.

// Each test binary uses only some of these.
#[allow(unused_imports)]
pub use sorreldeck_emulator::routed::{ask, entry, head, member, route, routed, streams, tree};

use sorreldeck::entry::{Output, Part};
use sorreldeck::pick::Link;
use sorreldeck::wire::{Frame, Run};
use sorreldeck::Failure;

#[allow(dead_code)]
pub mod own;
#[allow(dead_code)]
pub mod stand;

/// Returns the link and the run of the first start frame among the outputs.
#[allow(dead_code)]
pub fn sent(outputs: &[Output]) -> Option<(Link, Run)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(link, Frame::Start(start)) => Some((*link, start.run)),
        _ => None,
    })
}

/// Returns the failure with which a request was refused or ended.
#[allow(dead_code)]
pub fn failure(outputs: &[Output]) -> Option<&Failure> {
    outputs.iter().find_map(|output| match output {
        Output::Answer(_, Part::Fail(failure)) => Some(failure),
        _ => None,
    })
}
