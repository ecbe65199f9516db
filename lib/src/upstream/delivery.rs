//! How much of a request has reached its upstream when the upstream ends the connection.
//!
//! A response without a length ends with its connection. The system ends the connections of a
//! process that dies, in order if there is nothing that the process had not read. Such an end
//! cannot be told from that of a complete response, unless part of the request was still on its
//! way: no upstream has answered what it has not received.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use rustix::fd::AsFd;
use rustix::ioctl::Getter;
use rustix::ioctl::Opcode;
use rustix::ioctl::ioctl;

/// Number of the request for the bytes in a socket's send queue, `SIOCOUTQ`.
const SEND_QUEUE: Opcode = 0x5411;

/// How much of one request has gone out; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Delivery(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// Whether hyper has taken all of the body.
    is_taken: AtomicBool,
    /// Whether the socket had no room for the last bytes.
    is_blocked: AtomicBool,
    /// Whether the upstream ended the connection before it had received all.
    is_cut: AtomicBool,
}

impl Delivery {
    /// Begins with another request on the same connection.
    pub(super) fn begin(&self, has_body: bool) {
        self.0.is_taken.store(!has_body, Ordering::Relaxed);
        self.0.is_blocked.store(false, Ordering::Relaxed);
        self.0.is_cut.store(false, Ordering::Relaxed);
    }

    /// Records that all of the body was taken to be written.
    pub(super) fn record_taken(&self) {
        self.0.is_taken.store(true, Ordering::Relaxed);
    }

    /// Records whether the socket took what was written.
    pub(super) fn record_write(&self, is_blocked: bool) {
        self.0.is_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Records that the upstream has ended the connection.
    pub(super) fn record_end(&self, socket: impl AsFd) {
        let is_written =
            self.0.is_taken.load(Ordering::Relaxed) && !self.0.is_blocked.load(Ordering::Relaxed);
        // The end of a connection confirms all that arrived before it.
        let is_received = is_written && unconfirmed_bytes(socket) == Some(0);
        self.0.is_cut.store(!is_received, Ordering::Relaxed);
    }

    /// Returns whether the upstream ended the connection before it had received all.
    pub(super) fn is_cut(&self) -> bool {
        self.0.is_cut.load(Ordering::Relaxed)
    }
}

/// Returns how many bytes were written to a socket and not confirmed by its peer; `None` if the
/// system does not say.
fn unconfirmed_bytes(socket: impl AsFd) -> Option<i32> {
    // SAFETY: `SIOCOUTQ` writes one C `int` to the address that it is given.
    let request = unsafe { Getter::<SEND_QUEUE, i32>::new() };
    // SAFETY: The request has the number and the type of `SIOCOUTQ`, and the socket is open.
    unsafe { ioctl(socket, request) }.ok()
}
