//! The interface of the store for durable state, and the tasks that follow it.

pub(super) mod apply;
pub(super) mod blocks;
pub(super) mod call;
pub(super) mod follow;
pub(super) mod port;
pub(super) mod streams;
