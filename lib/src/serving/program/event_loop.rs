//! Lets a process that stood still read what arrived meanwhile before it sends anything.
//!
//! Load: a busy machine or a suspension keeps the process from running for a second or more. Harm:
//! it then finds all sockets readable at once, and would send what callers ask before it reads what
//! replicas said of themselves in that time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Interval at which the event loop is seen to run.
const TICK: Duration = Duration::from_millis(100);

/// Time without a tick from which the process stood still.
const STANDSTILL: Span = Span::from_millis(250);

/// Turns of the event loop in which what arrived is read and applied: from the socket through the
/// task of its connection to that of its request.
const TURNS: u32 = 8;

/// When the event loop was last seen to run.
#[derive(Debug)]
pub(in crate::serving) struct EventLoop {
    last_tick: Cell<Moment>,
    wake: Notify,
}

impl EventLoop {
    pub(in crate::serving) fn new(now: Moment) -> Self {
        Self {
            last_tick: Cell::new(now),
            wake: Notify::new(),
        }
    }

    /// Waits, if the process stood still, until it has read what arrived meanwhile.
    pub(in crate::serving) async fn until_current(&self) {
        while self.stood_still(now()) {
            self.wake.notified().await;
        }
    }

    fn stood_still(&self, now: Moment) -> bool {
        now.since(self.last_tick.get()) > STANDSTILL
    }
}

/// Watches the event loop until the process ends.
pub(in crate::serving) async fn watch(node: Rc<Node>) {
    let events = &node.event_loop;
    loop {
        tokio::time::sleep(TICK).await;
        if events.stood_still(now()) {
            for _ in 0..TURNS {
                tokio::task::yield_now().await;
            }
        }
        events.last_tick.set(now());
        events.wake.notify_waiters();
    }
}
