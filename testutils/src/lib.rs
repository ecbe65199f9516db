//! Harness for tests.
