//! All tests of the library crate.

#![expect(
    clippy::unwrap_used,
    reason = "a helper of a test fails by a panic, as the test itself does"
)]

mod rig;
mod test_catalog_apply;
mod test_catalog_cost;
mod test_catalog_ledger;
mod test_config_spread;
mod test_ids;
mod test_usage_store;
