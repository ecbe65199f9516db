//! All tests of the harness: a checker that cannot fail proves nothing.

mod test_check;
