//! The serving process: settings, start and stop, and the state that its tasks share.

pub(super) mod event_loop;
pub(super) mod experiment;
pub(super) mod node;
pub(super) mod orders;
pub(super) mod run;
pub(super) mod settings;
