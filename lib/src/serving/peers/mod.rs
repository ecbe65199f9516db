//! Messages between VMs: beacons, load reports and confirmations of the owner
//! table.

pub(super) mod beacons;
pub(super) mod compression;
pub(super) mod crash_reports;
pub(super) mod load_reports;
pub(super) mod pacer;
pub(super) mod relay;
pub(super) mod renewal;
pub(super) mod stream_origins;
pub(super) mod updates;
