//! The control process: ownership of pools, configuration, membership, usage.

mod shared;

pub use shared::Board;
pub use shared::Owner;
pub use shared::Shared;
