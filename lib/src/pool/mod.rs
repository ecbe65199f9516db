//! The decisions of one pool, apart from input and output.
//!
//! [`Pool`] is driven by its owner (and by the measurements and tests) with
//! plain calls; time is an argument. What it decides comes out as
//! [`Command`]s.

mod naive;
mod settings;
mod types;

pub use naive::Pool;
pub use naive::PoolView;
pub use settings::PoolSettings;
pub use types::*;
