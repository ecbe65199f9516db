//! What operators configure: teams, adapters, versions, pools.
//!
//! [`Catalog`] is the aggregate; it changes only by [`Catalog::apply`], whole
//! or not at all. [`Plan`] is what an operator confirms, [`CatalogStore`] keeps the
//! catalog in the platform.

mod apply;
mod confirm;
mod item;
mod model;
mod plan;
mod root;
mod rules;
mod store;

pub use confirm::ConfirmError;
pub use confirm::Confirmed;
pub use confirm::ReadConflict;
pub use item::Item;
pub use model::*;
pub use plan::Effect;
pub use plan::Intent;
pub use plan::MAX_CHANGES;
pub use plan::Plan;
pub use plan::PlanError;
pub use plan::Read;
pub use root::LogEntry;
pub use root::MAX_LOG_BYTES;
pub use root::MAX_LOG_ENTRIES;
pub use root::Root;
pub use root::Shard;
pub use root::ShardName;
pub use store::CatalogStore;
pub use store::ROOT_KIND;
pub use store::ROOT_NAME;
pub use store::RootRead;
pub use store::SHARD_KIND;
pub use store::replay;

/// The largest snapshot that a client should accept, in bytes: 14,000 adapters
/// take about 4 MB, four times that leaves room for long names.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
