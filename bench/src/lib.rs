//! Measurements.

pub mod load;
pub mod policy;
