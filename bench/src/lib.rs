//! Measurements.

pub mod policy;
