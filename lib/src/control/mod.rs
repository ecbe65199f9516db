//! The control process: ownership of pools, configuration, membership, usage.
//!
//! Each task runs on its own thread and publishes changes to the others through
//! [`ControlState`]. [`run`] starts the tasks.

mod clock;
pub mod config;
mod election;
pub mod feed;
mod gossip;
mod members;
pub mod operator;
pub mod owner;
mod ownership;
mod run;
mod service;
mod settings;
mod shared;
pub mod usage;
mod vm_list;

pub use clock::now;
pub use clock::to_duration;
pub use gossip::Gossip;
pub use members::MAX_DIGEST_MEMBERS;
pub use members::MemberState;
pub use members::Members;
pub use members::NEW_MEMBER_PERIOD;
pub use members::candidates;
pub use ownership::GrantHolders;
pub use ownership::OwnershipState;
pub use ownership::majority_contact;
pub use run::Control;
pub use run::ControlError;
pub use run::run;
pub use service::PeersService;
pub use settings::ClaimSettings;
pub use settings::ControlSettings;
pub use settings::GrantSettings;
pub use settings::LeaseSettings;
pub use settings::MemberSettings;
pub use settings::UpstreamSettings;
pub use settings::UsageSettings;
pub use shared::ControlState;
pub use shared::Owner;
pub use shared::Shared;
pub use shared::uptime_ms;
