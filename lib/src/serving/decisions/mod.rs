//! Decision logic on plain state: no I/O, and time is passed in as an argument.

pub mod access;
pub(super) mod adapter_planner;
pub(super) mod body_room;
pub(super) mod crash_tracker;
pub(super) mod fetch_limiter;
pub(super) mod fleet;
pub(super) mod memory_account;
pub(super) mod order_timeout;
pub(super) mod prefill_turns;
pub mod quota;
pub(super) mod reachability;
pub mod replica_limits;
pub(super) mod reservations;
pub mod retry;
pub(super) mod retry_budget;
pub(super) mod stall_detector;
pub(super) mod stop_plan;
pub(super) mod stream_builds;
pub(super) mod urgency;
pub(super) mod waiting;
