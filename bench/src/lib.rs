//! Measurements.

pub mod load;
