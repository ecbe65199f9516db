//! All tests of the programs.

#![expect(
    clippy::unwrap_used,
    reason = "a panic in a test helper fails the test, as intended"
)]

mod promise;
mod test_account;
mod test_banyan;
mod test_convicted;
mod test_output;
mod test_promise_at_most_once;
mod test_promise_config_in_force;
mod test_promise_exact_version;
mod test_promise_graceful_stop;
mod test_promise_leaving_drains;
mod test_promise_no_evict_in_use;
mod test_promise_not_run_true;
mod test_promise_usage_attributed;
mod test_promise_whole_answer;
