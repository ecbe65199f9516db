//! Requests that wait for a replica.

mod parts;

pub use parts::WaitParts;
pub use parts::WaitReason;
