//! Client side of the upstreams: model engines and services.
//!
//! `buffer` keeps bytes that arrive in pieces.
//! `connections` sends requests over reused connections, `delivery` knows what of one has
//! arrived, `head` decides whether a response can be believed, `run` and `sse` check that it is
//! complete and belongs to its request, `orders` and `report` are the control calls to engines.

mod body;
mod bounded;
mod buffer;
mod connections;
mod delivery;
mod errors;
mod head;
mod orders;
mod report;
mod run;
mod sse;

pub use body::BodyChunks;
pub use buffer::BodyBuffer;
pub use buffer::collect;
pub use buffer::join;
pub use connections::BodyError;
pub use connections::Overdue;
pub use connections::SendError;
pub use connections::UpstreamResponse;
pub use connections::Upstreams;
pub use errors::RunError;
pub use errors::Unready;
pub use head::HeadFault;
pub use orders::FenceReply;
pub use orders::OrderClient;
pub use orders::OrderError;
pub use report::EngineReport;
pub use report::read_report;
pub use run::ExpectedIdentity;
pub use run::TokenUsage;
pub use run::cancel;
pub use run::check_completion;
pub use run::incarnation;
pub use run::read_body;
pub use run::run;
pub use sse::EventSplitter;
pub use sse::Progress;
pub use sse::StreamChecker;
pub use sse::StreamFault;
