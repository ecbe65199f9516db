//! Small stand-ins for what stands around banyangauge: model engines, plain
//! services, the platform and the weight store.
//!
//! They speak `docs/design/0001-wire.md`. Tests start them in process, the demo
//! and the measurements through the program `banyan-standin`.

pub mod engine;
pub mod history;
pub mod http;
pub mod platform;
pub mod service;
pub mod text;
pub mod weights;

pub use http::Running;
pub use text::expected_text;
