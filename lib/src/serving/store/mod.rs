//! The store that keeps what must last: its port, and who follows it.

pub(super) mod apply;
pub(super) mod follow;
pub(super) mod port;
