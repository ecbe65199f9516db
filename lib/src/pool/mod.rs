//! The scheduler of one pool, without input and output.
//!
//! [`Pool`] is driven by plain calls of its owner, the benchmarks and the tests.
//! The current time is an argument, and decisions are returned as [`Command`]s.
//!
//! | module | decides |
//! |---|---|
//! | `admission` | which requests may wait, and when refused callers may retry |
//! | `queue` | the order of requests between teams |
//! | `dispatch` | which replica runs a request, and what a replica runs next |
//! | `batching` | when long work starts |
//! | `loads` | which adapter is loaded next |
//! | `eviction` | where it is loaded, and which adapter is evicted for it |
//! | `prefetch` | which adapters are loaded before requests need them |
//! | `health` | what load reports and ends of dispatches imply |
//! | `isolation`, `poison` | which request crashes its upstream |

mod adapter;
mod admission;
mod batching;
mod demand;
mod dispatch;
mod eviction;
mod health;
mod isolation;
mod loads;
mod poison;
mod prefetch;
mod prefix;
mod queue;
mod replica;
mod retry_budget;
mod service_time;
mod settings;
mod slots;
mod state;
mod types;

pub(crate) use demand::Demand;
pub use settings::PoolSettings;
pub use state::Pool;
pub use state::PoolView;
pub use types::*;
