//! Ownership by lease: the arithmetic, apart from input and output.
//!
//! A [`Elector`] is one control process's view of one lease object. It is fed
//! with what the platform said and asked what to do next; time is an argument
//! and is read from a clock that also runs while the machine is suspended.
//!
//! Two facts make a lapse safe. The holder counts its lease from *before* it
//! sent the write, less a margin; a contender counts from *after* it saw the
//! write. So `holder's end = sent + ttl - margin < seen + ttl = contender's
//! earliest takeover`, whatever the network did in between. And a takeover is
//! a conditional update on the version whose age was watched, so a holder that
//! renewed in the meantime wins. The margin pays for clocks that run at
//! different rates (200 parts per million over 3 s are 0.6 ms) and for the
//! time from the check to the send of an order.

mod elector;
mod rank;
mod record;
mod types;

pub use elector::Elector;
pub use rank::rank;
pub use record::Candidate;
pub use record::Record;
pub use types::HeldLease;
pub use types::Predecessor;
pub use types::Step;
pub use types::Timing;
pub use types::WriteOutcome;
