//! All tests of the library crate.

mod test_ids;
mod test_pool_faults;
mod test_pool_obey;
mod test_pool_outcomes;
mod test_pool_promises;
mod test_pool_rig;
