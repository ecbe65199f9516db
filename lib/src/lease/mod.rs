//! Leader election for pools by lease, without I/O.
//!
//! An [`Elector`] is one control process's state machine for one lease object.
//! The caller passes in the platform's answers and carries out the [`Step`]s it
//! returns. Time is an argument, read from a clock that also runs while the
//! machine is suspended.
//!
//! Two rules make the expiry of a lease safe. First, the holder counts its
//! lease from *before* it sent the write, less a margin, and a contender counts
//! from *after* it saw the write. Whatever the delays of the network, the
//! holder's end, `sent + ttl - margin`, is before the contender's earliest
//! takeover, `seen + ttl`. Second, a takeover is a conditional update on the
//! version whose age was measured, so a holder that renewed in the meantime wins.
//! The margin covers clocks that run at different rates (200 parts per million over 3 s are
//! 0.6 ms) and the time between checking the lease and sending an order.

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
