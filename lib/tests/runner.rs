//! All tests of the library crate.

mod test_entry_failures;
mod test_entry_fakes;
mod test_entry_input;
mod test_entry_ledger;
mod test_entry_path;
mod test_ids;
