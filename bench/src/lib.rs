//! Measurements.

pub mod load;
pub mod path;
pub mod policy;
