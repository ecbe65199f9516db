//! The configuration that operators edit: teams, adapters, versions and pools.
//!
//! [`Catalog`] is the aggregate; [`Catalog::apply`] is the only way to change it
//! and is atomic. Operators confirm a [`Plan`]; [`CatalogStore`] stores the
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
pub use store::SHARD_KIND;
pub use store::VersionedRoot;
pub use store::replay;

/// Maximum size of a snapshot that a client accepts. 14,000 adapters take about
/// 4 MB; four times that leaves room for long names.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
