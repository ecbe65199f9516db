//! All tests of the library crate.

mod test_entry_fakes;
mod test_entry_path;
mod test_ids;
