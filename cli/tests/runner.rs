//! All tests of the programs.

#![expect(
    clippy::unwrap_used,
    reason = "a helper of a test fails by a panic, as the test itself does"
)]

mod test_banyan;
mod test_output;
