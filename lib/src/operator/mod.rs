//! Operator tooling: a client of the control processes, parsing of intents and
//! settings, and the output of `banyan`.

mod account;
mod client;
mod html;
mod input;
mod json;
mod merge;
mod render;
mod request_history;

pub use account::Account;
pub use account::Groups;
pub use account::LateCounts;
pub use account::LeftCounts;
pub use account::LineCounts;
pub use account::LoadCounts;
pub use account::LogAccount;
pub use account::OrderTally;
pub use account::RankLabel;
pub use account::RefusalTally;
pub use account::RequestTally;
pub use account::Samples;
pub use account::TimeUs;
pub use account::WaitTally;
pub use account::account_json;
pub use account::account_text;
pub use client::Client;
pub use client::ClientError;
pub use client::MergedTimeline;
pub use html::timeline_html;
pub use input::ClientSettings;
pub use input::InputError;
pub use input::parse_intent;
pub use input::parse_plan;
pub use json::pools_json;
pub use json::status_json;
pub use json::timeline_json;
pub use json::usage_json;
pub use merge::TimelineEvent;
pub use merge::clock_millis;
pub use merge::merge;
pub use render::adapters_text;
pub use render::plan_text;
pub use render::pools_text;
pub use render::status_text;
pub use render::table;
pub use render::timeline_text;
pub use render::usage_text;
pub use request_history::RequestHistory;

/// Selects the events of `banyan timeline`; empty fields match every event.
pub type Filter = banyangauge_proto::TimelineRequest;
