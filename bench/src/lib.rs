//! Measurements.

pub mod capacity;
pub mod load;
pub mod path;
pub mod policy;
