//! All tests of the stand-ins.
#![expect(
    clippy::unwrap_used,
    reason = "a failed step of a test's helper fails the test"
)]

mod test_engine;
mod test_platform;
mod test_service;
mod wire;
