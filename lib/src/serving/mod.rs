//! The request path of a VM, which routes and dispatches requests by itself.
//!
//! | folder | contents |
//! |---|---|
//! | `path` | the path of a request, starting at `path/serve.rs` |
//! | `decisions` | decisions without I/O: [`Fleet`] (where a request runs), [`retry`] (what follows a failed attempt), [`RetryBudget`] (how many retries are allowed), [`AdapterPlanner`] (what a replica loads next), [`CrashTracker`] (which requests crash their replicas), [`access`] (who the caller is), [`quota`] (whether its organisation may use more) |
//! | `cluster` | what the VM knows: [`Feed`] (of the stored objects), [`Members`] (of the VMs), [`Ownership`] (of who may give orders to which replica) |
//! | `peers` | messages between VMs |
//! | `store` | the interface of the store, and the tasks that follow it |
//! | `program` | settings, start and stop |
//!
//! A [`Codec`] and a [`Store`] adapt it to the protocols of requests, replicas
//! and the store.

mod cluster;
mod decisions;
mod path;
mod peers;
mod program;
mod store;

pub use cluster::feed::Feed;
pub use cluster::feed::FeedAction;
pub use cluster::feed::Feeds;
pub use cluster::members::BeaconStamp;
pub use cluster::members::Members;
pub use cluster::owner_table::Owner;
pub use cluster::owner_table::OwnerTable;
pub use cluster::ownership::OWNERSHIP_TTL;
pub use cluster::ownership::Ownership;
pub use cluster::recency::Recency;
pub use cluster::recency::Witness;
pub use cluster::recency::WitnessQueue;
pub use cluster::recency::reader_id;
pub use cluster::sharing::PeerKnowledge;
pub use cluster::sharing::UpdateBudget;
pub use cluster::sharing::share_updates;
pub use cluster::subscriptions::Subscriptions;
pub use cluster::topic::PollPolicy;
pub use cluster::topic::Topic;
pub use cluster::update::SkippedRange;
pub use cluster::update::TopicChange;
pub use cluster::update::TopicUpdate;
pub use decisions::access;
pub use decisions::adapter_planner::AdapterPlanner;
pub use decisions::adapter_planner::LoadDuration;
pub use decisions::adapter_planner::LoadNeed;
pub use decisions::adapter_planner::LoadWait;
pub use decisions::adapter_planner::OrderOutcome;
pub use decisions::adapter_planner::PendingLoad;
pub use decisions::adapter_planner::ReplicaAction;
pub use decisions::adapter_planner::ReplicaReport;
pub use decisions::body_room::BodyRoom;
pub use decisions::crash_tracker::Accusation;
pub use decisions::crash_tracker::BLOCK_TTL;
pub use decisions::crash_tracker::BadFeature;
pub use decisions::crash_tracker::BrokenRun;
pub use decisions::crash_tracker::Completion;
pub use decisions::crash_tracker::Conviction;
pub use decisions::crash_tracker::CrashReport;
pub use decisions::crash_tracker::CrashTracker;
pub use decisions::crash_tracker::Feature;
pub use decisions::crash_tracker::KnownCrashes;
pub use decisions::crash_tracker::RunEnd;
pub use decisions::fetch_limiter::FetchLimiter;
pub use decisions::fetch_limiter::LoadDurations;
pub use decisions::fleet::*;
pub use decisions::memory_account::AccountLimits;
pub use decisions::memory_account::HolderId;
pub use decisions::memory_account::MemoryAccount;
pub use decisions::order_timeout::OrderTimeout;
pub use decisions::prefill_turns::MAX_TURN_WAIT;
pub use decisions::prefill_turns::PrefillTurns;
pub use decisions::prefill_turns::TurnId;
pub use decisions::quota;
pub use decisions::reachability::Reachability;
pub use decisions::replica_limits;
pub use decisions::reservations::Reservations;
pub use decisions::retry;
pub use decisions::retry_budget::BudgetStatus;
pub use decisions::retry_budget::RetryBudget;
pub use decisions::retry_budget::RetryLimits;
pub use decisions::stall_detector::StallDetector;
pub use decisions::stop_plan::RunTimes;
pub use decisions::stop_plan::StopPlan;
pub use decisions::stream_builds::Answer as StreamAnswer;
pub use decisions::stream_builds::BatchWrite;
pub use decisions::stream_builds::BuildLedger;
pub use decisions::stream_builds::BuildReplicas;
pub use decisions::stream_builds::Builds;
pub use decisions::stream_builds::KeptGroup;
pub use decisions::stream_builds::KeptStream;
pub use decisions::stream_builds::KnownAsOf;
pub use decisions::stream_builds::LedgerView;
pub use decisions::stream_builds::MAX_STREAM_AGE;
pub use decisions::stream_builds::Origin;
pub use decisions::stream_builds::StreamBatch;
pub use decisions::stream_builds::StreamBuilds;
pub use decisions::stream_builds::StreamGroup;
pub use decisions::stream_builds::StreamId;
pub use decisions::urgency::Urgencies;
pub use decisions::urgency::urgency_when_sent;
pub use decisions::waiting::*;
pub use path::codec::BadRecord;
pub use path::codec::Codec;
pub use path::codec::ForwardHeaders;
pub use path::codec::NotRun;
pub use path::codec::ObjectKinds;
pub use path::codec::Order;
pub use path::codec::ReplicaReply;
pub use path::codec::ReplicaStatement;
pub use path::routes::Routes;
pub use path::routes::pick_service;
pub use path::types::*;
pub use peers::compression::compress;
pub use peers::compression::decompress;
pub use peers::pacer::Pacer;
pub use program::experiment::BadExperiment;
pub use program::experiment::Experiment;
pub use program::experiment::Mechanism;
pub use program::run::ServeError;
pub use program::run::Server;
pub use program::run::run;
pub use program::settings::ServeSettings;
pub use store::port::Answer;
pub use store::port::Change;
pub use store::port::Changes;
pub use store::port::Create;
pub use store::port::Delete;
pub use store::port::Era;
pub use store::port::Get;
pub use store::port::Item;
pub use store::port::List;
pub use store::port::Page;
pub use store::port::Pending;
pub use store::port::Progress;
pub use store::port::Replace;
pub use store::port::Store;
pub use store::port::StoreRevision;
pub use store::port::Watch;
