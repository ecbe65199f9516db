//! The process: settings, start and stop, and what its tasks share.

pub(super) mod experiment;
pub(super) mod node;
pub(super) mod orders;
pub(super) mod run;
pub(super) mod settings;
