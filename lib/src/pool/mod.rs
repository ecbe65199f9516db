//! The decisions of one pool, apart from input and output.
//!
//! [`Pool`] is driven by its owner (and by the measurements and tests) with
//! plain calls; time is an argument. What it decides comes out as
//! [`Command`]s.
//!
//! | module | decides |
//! |---|---|
//! | `admission` | who may wait, who is refused and when to come back |
//! | `queue` | whose turn it is |
//! | `dispatch` | where a request runs, what a replica runs next |
//! | `batching` | when long work starts |
//! | `loads` | which adapter is loaded next |
//! | `eviction` | where, and what gives up its slot |
//! | `prefetch` | what is loaded before it is asked for |
//! | `health` | what reports and ends of dispatches mean |
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
