//! Regression tests of routing decisions: one file for each fault.

#[path = "../common/mod.rs"]
mod common;

mod failed_continuation_looked_whole;
mod roaming_session_was_drawn;
mod session_moved_though_its_version_was_back;
mod session_of_another_entry_was_drawn;
