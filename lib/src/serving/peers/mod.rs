//! What VMs tell each other: beacons, reports on requests, confirmations.

pub(super) mod beacons;
pub(super) mod compression;
pub(super) mod load_reports;
pub(super) mod relay;
pub(super) mod renewal;
