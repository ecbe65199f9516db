//! Rate limits that replicas state for all VMs together.
//!
//! A replica in need states on its responses how many requests per second it accepts.
//! Responses overtake each other: a stream's head from before the replica was in need may
//! be read after one that states a limit. [`StatedLimit`] orders them.

mod stated;

pub use stated::Heard;
pub use stated::StatedLimit;
