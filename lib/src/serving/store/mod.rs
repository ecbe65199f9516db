//! The store that keeps what must last: its port, and who follows it.

pub(super) mod follow;
pub(super) mod news;
pub(super) mod port;
