//! Measurements.

pub mod capacity;
pub mod control;
pub mod load;
pub mod path;
pub mod policy;
