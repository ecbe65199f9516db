//! Proofs of what must always hold: concurrent runs of the real programs under
//! faults, with a history that is checked afterwards.

pub mod evidence;
pub mod faults;
pub mod load;
mod run;
mod schedule;

pub use evidence::Evidence;
pub use faults::Fault;
pub use run::Report;
pub use run::run;
pub use schedule::Promise;
pub use schedule::Schedule;
