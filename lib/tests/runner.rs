//! All tests of the library crate.

mod test_claims_journal;
mod test_ids;
mod test_lease_contest;
mod test_members_table;
mod test_owner_book;
mod test_owner_safety;
