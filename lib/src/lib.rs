//! All logic of banyangauge; the programs in `cli/` only start it.
//!
//! Start at [`entry`] to follow one request, at [`control`] for who decides,
//! and at [`pool`] for the decisions themselves.

pub mod catalog;
pub mod claims;
pub mod control;
pub mod entry;
pub mod ids;
pub mod lease;
pub mod link;
pub mod operator;
pub mod platform;
pub mod pool;
pub mod serving;
pub mod settings;
pub mod telemetry;
pub mod timeline;
pub mod upstream;
