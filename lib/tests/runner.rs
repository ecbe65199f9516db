//! All tests of the library crate.

mod test_ids;
