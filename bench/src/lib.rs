//! Measurements.

pub mod capacity;
pub mod control;
pub mod experiment;
pub mod load;
pub mod path;
pub mod policy;
