//! At most once: the journal of claims, apart from input and output.
//!
//! A keyed call is claimed before it is granted. The claim is durable when the
//! journal segment that holds it was written to the platform; until then no
//! grant leaves the owner. `docs/design/0006-at-most-once.md` has the proof.

mod journal;
mod segment;

pub use journal::Journal;
pub use journal::Limits;
pub use journal::Record;
pub use journal::Verdict;
pub use journal::Who;
pub use journal::Write;
pub use journal::WriteEnd;
pub use segment::ClaimKey;
pub use segment::Segment;
pub use segment::State;
