//! The library behind the banyangauge programs; the binaries in `cli/` only
//! parse arguments and start it.
//!
//! To follow one request, start at [`entry`]; for pool ownership, start at
//! [`control`]; for placement decisions, start at [`pool`].

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
