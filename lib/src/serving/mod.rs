//! The request path of a VM that decides and sends for itself.
//!
//! Start at `serve` to follow one request. What decides has no I/O: [`Fleet`]
//! (where a request runs), [`decide`] (what follows a failed try), [`Budget`]
//! (how often), [`Books`] (what a replica loads next), [`Ownership`] (who may
//! order it), [`Strikes`] (which request crashes its upstream). How requests,
//! replicas and the store speak is a [`Border`]'s and a [`Store`]'s matter.

mod audience;
mod beliefs;
mod books;
mod border;
mod budget;
pub mod decide;
mod experiment;
mod fleet;
mod flights;
mod follow;
mod forward;
mod members;
mod model;
mod news;
mod node;
mod ordering;
mod ownership;
mod pace;
mod pass;
mod peers;
mod program;
mod reading;
mod renewal;
mod routes;
mod serve;
mod server;
mod settings;
mod store;
mod strain;
mod strikes;
mod table;
mod turns;
mod waiting;

pub use audience::Audience;
pub use books::Books;
pub use books::OrderEnd;
pub use books::Report;
pub use books::Step;
pub use books::Took;
pub use border::BadRecord;
pub use border::Border;
pub use border::Kinds;
pub use border::NotRun;
pub use border::Order;
pub use border::Reply;
pub use border::Sending;
pub use budget::Budget;
pub use budget::BudgetLimits;
pub use experiment::BadExperiment;
pub use experiment::Experiment;
pub use experiment::Mechanism;
pub use fleet::*;
pub use members::Members;
pub use members::Stamp;
pub use model::*;
pub use ownership::HOLD;
pub use ownership::Ownership;
pub use pace::Pace;
pub use program::Program;
pub use program::ServeError;
pub use program::run;
pub use routes::Routes;
pub use routes::pick_service;
pub use settings::ServeSettings;
pub use store::Change;
pub use store::Changes;
pub use store::Create;
pub use store::Delete;
pub use store::Item;
pub use store::List;
pub use store::Page;
pub use store::Pending;
pub use store::Replace;
pub use store::Store;
pub use store::Watch;
pub use strain::Strain;
pub use strikes::Strikes;
pub use table::Owner;
pub use table::Table;
pub use turns::LONGEST_WAIT;
pub use turns::TurnId;
pub use turns::Turns;
