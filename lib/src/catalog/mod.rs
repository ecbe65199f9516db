//! What operators configure: teams, adapters, versions, pools.
//!
//! [`Catalog`] is the aggregate; it changes only by [`Catalog::apply`], whole
//! or not at all.

mod model;

pub use model::*;
