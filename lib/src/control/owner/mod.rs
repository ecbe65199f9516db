//! Owners of pools: each drives one [`Pool`](crate::pool::Pool).
//!
//! [`book`](Book) and [`safety`](SafetyRules) are plain state; the actor carries
//! out what they and the pool decide.

mod actor;
mod book;
mod dispatch;
mod duty;
mod entries;
mod journal;
mod polling;
mod replicas;
mod safety;
mod service;
mod upkeep;

pub use actor::Event;
pub use actor::OwnerActor;
pub use book::Book;
pub use book::Item;
pub use book::Opened;
pub use book::SessionId;
pub use duty::Registry;
pub use duty::run;
pub use safety::ExternalState;
pub use safety::MAJORITY_MAX_AGE;
pub use safety::SafetyRules;
pub use service::GrantsService;
