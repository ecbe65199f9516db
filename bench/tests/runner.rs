//! All tests of the load tool and the measurements.
#![expect(
    clippy::unwrap_used,
    reason = "a failed step of a test's helper fails the test"
)]

mod test_demo;
mod test_experiment;
mod test_load;
