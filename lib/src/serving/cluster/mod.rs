//! What a VM knows of the stored objects, the other VMs and the owners of
//! replicas.

pub(super) mod feed;
pub(super) mod members;
pub(super) mod owner_table;
pub(super) mod ownership;
pub(super) mod recency;
pub(super) mod sharing;
pub(super) mod state;
pub(super) mod subscriptions;
pub(super) mod topic;
pub(super) mod update;
