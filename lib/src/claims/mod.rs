//! At most once: the journal of claims, apart from input and output.
//!
//! A keyed call is claimed before it is granted. The claim is durable when the
//! journal segment that holds it was written to the platform; until then no
//! grant leaves the owner. `docs/design/0006-at-most-once.md` has the proof.

mod journal;
mod segment;
mod types;

pub use journal::Journal;
pub use segment::ClaimKey;
pub use segment::Segment;
pub use segment::State;
pub use types::ClaimResult;
pub use types::Claimant;
pub use types::Durability;
pub use types::Limits;
pub use types::Write;
pub use types::WriteOutcome;
