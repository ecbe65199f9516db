//! At-most-once execution of calls with an idempotency key, without I/O.
//!
//! The owner claims a call's key before it grants the call. A claim is durable
//! once the journal segment that contains it is written to the platform; until
//! then the owner sends no grant. `docs/design/0006-at-most-once.md` has the
//! proof.

mod journal;
mod segment;
mod types;

pub use journal::Journal;
pub use segment::ClaimKey;
pub use segment::Segment;
pub use segment::State;
pub use types::ClaimResult;
pub use types::Claimant;
pub use types::Limits;
pub use types::RecordResult;
pub use types::Write;
pub use types::WriteOutcome;
