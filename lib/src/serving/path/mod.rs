//! The request path: from a caller's connection to the last byte of the response.

mod attempts;
mod bodies;
pub(super) mod builds;
pub(super) mod charge;
pub(super) mod choice;
pub(super) mod codec;
mod config_age;
pub(super) mod crashes;
pub(super) mod forward;
pub(super) mod limit;
mod linger;
pub(super) mod owner_check;
pub(super) mod placement;
pub(super) mod prefill;
pub(super) mod probes;
pub(super) mod relay;
pub(super) mod response;
pub(super) mod routes;
pub(super) mod serve;
pub(super) mod server;
pub(super) mod statements;
pub(super) mod stop;
mod takeover;
pub(super) mod trace;
pub(super) mod types;
mod wait_log;
pub(super) mod waiting;
