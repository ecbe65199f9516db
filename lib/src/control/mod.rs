//! The control process: ownership of pools, configuration, membership, usage.

pub mod config;
pub mod feed;
pub mod operator;
mod shared;
pub mod usage;

pub use shared::Board;
pub use shared::Owner;
pub use shared::Shared;
pub use shared::uptime_ms;
