//! Harness for tests: starts the programs, sends requests, keeps a history,
//! checks it.

pub mod caller;
pub mod check;
pub mod heads;
pub mod process;
pub mod prove;
pub mod rig;
