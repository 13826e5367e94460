//! Regression tests of the daemon: one file for each fault.

#[path = "../common/mod.rs"]
mod common;

mod accepted_change_not_in_force;
mod retry_hid_the_first_failure;
mod second_change_was_not_asked_for;
mod slow_sender_held_its_connection;
