//! Pool owners. Each owner drives one [`Pool`](crate::pool::Pool).
//!
//! [`RequestTable`] and [`SafetyRules`] hold state and do no I/O; the actor carries
//! out the decisions of both and of the pool.

mod actor;
mod dispatch;
mod journal;
mod maintenance;
mod polling;
mod replicas;
mod requests;
mod safety;
mod service;
mod sessions;
mod supervisor;

pub use actor::Event;
pub use actor::OwnerActor;
pub use requests::RequestTable;
pub use requests::SessionId;
pub use requests::Superseded;
pub use requests::TrackedRequest;
pub use safety::ExternalState;
pub use safety::MAJORITY_MAX_AGE;
pub use safety::SafetyRules;
pub use service::GrantsService;
pub use supervisor::Registry;
pub use supervisor::run;
