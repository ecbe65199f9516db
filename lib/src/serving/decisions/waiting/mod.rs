//! Requests that wait for a replica: their order, and which are refused instead.
//!
//! | module | decides |
//! |---|---|
//! | `queue` | which request is tried next, and which one is refused when the queue is full |
//! | `shares` | the shares of organisations |
//! | `refusal` | how long a new request would wait, and when its caller should return |
//! | `step` | whether a request is sent, waits or is refused after an attempt to place it |
//! | `parts` | nothing: adds up what a request waited for |

mod parts;
mod queue;
mod refusal;
mod shares;
mod step;

pub use parts::WaitParts;
pub use parts::WaitReason;
pub use queue::Arrival;
pub use queue::WaitBounds;
pub use queue::WaitEntry;
pub use queue::WaitId;
pub use queue::WaitPass;
pub use queue::WaitQueue;
pub use refusal::cap_retry;
pub use step::WaitLimits;
pub use step::WaitStep;
pub use step::wait_reason;
