//! The entry process: accepts callers' HTTP requests, dispatches them to upstreams
//! and returns the responses.
//!
//! A request goes through these modules in order: `server` accepts its connection,
//! `serve` reads it, `call`, `auth`, `body` and `view` check it against the catalog,
//! `session` gets a grant for it from the owner of its pool, `dispatch` sends it to
//! the granted upstream, and `stream` relays a streamed response.
//!
//! [`retry`] decides what follows a failure. `session_state` holds the state of a
//! session, `held_grant` a grant in use, and `stream_grant` the grant of a stream.
//! `feed` receives the catalog and reports usage.

mod auth;
mod body;
mod call;
mod clock;
mod dispatch;
mod errors;
mod feed;
mod held_grant;
mod program;
mod response_body;
pub mod retry;
mod serve;
mod server;
mod session;
mod session_state;
mod settings;
mod state;
mod stream;
mod stream_grant;
mod usage;
mod view;

pub use body::Completion;
pub use errors::CallerError;
pub use errors::Code;
pub use errors::Ran;
pub use feed::apply;
pub use held_grant::HeldGrant;
pub use held_grant::Lease;
pub use program::Entry;
pub use program::EntryError;
pub use program::run;
pub use session::owner_candidate;
pub use session_state::Command;
pub use session_state::PendingAcquire;
pub use session_state::Reply;
pub use session_state::SessionAction;
pub use session_state::SessionState;
pub use settings::EntrySettings;
pub use settings::Limits;
pub use state::State;
pub use usage::Usage;
pub use usage::UsageBatch;
pub use usage::UsageCounter;
pub use view::CatalogView;
pub use view::Service;
