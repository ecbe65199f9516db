//! What the log lines of a request say besides its ID.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use slog::KV;
use slog::Record;
use slog::Serializer;

use crate::pool::Moment;
use crate::serving::decisions::waiting::WaitParts;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Route;

/// The route and rank of a request and its waits so far, for log lines that are written when
/// the request itself is gone.
#[derive(Debug, Default)]
pub(in crate::serving) struct RequestTrace {
    route: RefCell<Option<(Rc<Route>, Rank)>>,
    waits: Cell<WaitParts>,
    /// Number of sends in which a replica may have run the request.
    runs: Cell<u32>,
    /// When the retry that is sent next was granted.
    pub(in crate::serving) granted: Cell<Option<Moment>>,
}

impl RequestTrace {
    /// Records the route and the rank.
    pub(in crate::serving) fn record_route(&self, route: &Rc<Route>, rank: Rank) {
        self.route.replace(Some((route.clone(), rank)));
    }

    /// Counts sends in which a replica may run the request.
    pub(in crate::serving) fn add_runs(&self, runs: u32) {
        self.runs.set(self.runs.get().saturating_add(runs));
    }

    /// Takes back one send that did not run it.
    pub(in crate::serving) fn revert_run(&self) {
        self.runs.set(self.runs.get().saturating_sub(1));
    }

    /// Returns whether a replica may have run the request.
    pub(in crate::serving) fn may_have_run(&self) -> bool {
        self.runs.get() > 0
    }

    /// Adds a wait for a replica that ended.
    pub(in crate::serving) fn add_wait(&self, parts: &WaitParts) {
        let mut waits = self.waits.get();
        waits.add_all(parts);
        self.waits.set(waits);
    }

    /// Returns the log fields for all waits so far.
    pub(in crate::serving) fn fields(&self) -> TraceFields<'_> {
        self.fields_of(self.waits.get())
    }

    /// Returns the log fields for one wait.
    pub(in crate::serving) fn fields_of(&self, parts: WaitParts) -> TraceFields<'_> {
        TraceFields { trace: self, parts }
    }
}

/// The log fields `route`, `rank` and the parts of the wait in milliseconds. `rank` is the
/// number that messages to other VMs carry. Before a route is found, the first two are absent.
pub(in crate::serving) struct TraceFields<'a> {
    trace: &'a RequestTrace,
    parts: WaitParts,
}

impl KV for TraceFields<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        if let Some((route, rank)) = &*self.trace.route.borrow() {
            out.emit_str("route", &route.name)?;
            out.emit_u32("rank", rank.to_wire())?;
        }
        for (reason, ms) in self.parts.millis() {
            out.emit_u64(reason.log_key(), ms)?;
        }
        Ok(())
    }
}
