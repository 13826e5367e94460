//! HTTP, the links between processes, and the contract with the platform.
//!
//! Everything here moves bytes; the decisions are in the `sorreldeck` library.

pub mod bytes;
pub mod events;
pub mod h1;
pub mod head;
pub mod http;
pub mod link;
pub mod open;
pub mod platform;
pub mod reach;
pub mod socket;

pub use platform::Platform;
