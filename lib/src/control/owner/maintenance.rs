//! What an owner checks as time passes: its lease, its successor, what it may
//! change, whether it stops.

use std::collections::BTreeSet;

use crate::control::clock;
use crate::control::owner::ExternalState;
use crate::control::owner::OwnerActor;
use crate::control::uptime_ms;
use crate::lease::Predecessor;
use crate::pool::Moment;
use crate::pool::Span;

/// How far ahead the pool is told that slots are frozen: several ticks, and
/// the most by which they open late.
pub(super) const AHEAD: Span = Span::from_millis(500);

impl OwnerActor {
    pub(super) fn learn_facts(&mut self, now: Moment) {
        let left = match &self.safety.lease().predecessor {
            Predecessor::Lapsed(vm) => self.local.departed.borrow().contains(vm.as_str()),
            _ => false,
        };
        self.facts = ExternalState {
            majority: self.local.majority(now),
            predecessor_left: left,
            synced: self.requests.synced().clone(),
        };
    }

    // Another owner with a higher token may be known before the lease object
    // says so: from peers, in an outage of the platform.
    pub(super) fn follow_tenure(&mut self) {
        let token = self.token();
        let until = {
            let leases = self.local.leases.borrow();
            let tenure = leases.get(&self.name).filter(|t| t.token == token);
            tenure.map(|t| t.valid_until)
        };
        let higher = {
            let owners = self.shared.board.owners.borrow();
            owners.get(&self.name).is_some_and(|o| o.token > token)
        };
        match until {
            Some(until) if !higher => self.safety.renew(until),
            _ => self.depose(),
        }
    }

    /// Grants and orders nothing any more.
    pub(super) fn depose(&mut self) {
        if self.deposed {
            return;
        }
        self.deposed = true;
        let token = self.token();
        self.local.deposed.send_modify(|d| {
            d.insert(self.name.clone(), token);
        });
        slog::warn!(self.shared.log, "deposed"; "pool" => %self.name, "token" => self.token().0);
        self.pool.drain(clock::now());
    }

    pub(super) fn follow_verdicts(&mut self, now: Moment) {
        let board = self.shared.board.verdicts.borrow().clone();
        if board == self.verdicts {
            return;
        }
        let uptime = uptime_ms();
        for (fingerprint, until) in &board {
            if self.verdicts.get(fingerprint) != Some(until) {
                let left = Span::from_millis(until.saturating_sub(uptime));
                self.pool.block(now, *fingerprint, left);
            }
        }
        self.verdicts = board;
    }

    // The pool is told a little ahead, so that it plans no change it may not
    // make; should a tick come later than that, `load` still refuses.
    //
    // While an earlier owner's grants may be in use, engines that honour tokens
    // take loads into free slots: they refuse the earlier owner's orders, and
    // such a load takes nothing from a request.
    pub(super) fn keep_frozen(&mut self, now: Moment) {
        let replicas: BTreeSet<_> = self.replicas.keys().cloned().collect();
        let closed = self.safety.is_frozen(now, &replicas, &self.facts);
        // Past the lease, slots at engines that ignore tokens are not changed.
        self.frozen = closed && !self.safety.honours_token() || !self.safety.may_order(now);
        self.keeping = closed;
        if !closed && !self.settled {
            self.settled = true;
            let token = self.token();
            self.local.settled.send_modify(|s| {
                s.insert(self.name.clone(), token);
            });
        }
        if self.frozen {
            self.pool.freeze_slots(now.after(AHEAD));
        }
        if self.keeping {
            self.pool.freeze_evictions(now.after(AHEAD));
        }
    }

    // Stopping: first grant and order nothing more, then say so, so that the
    // election can release the lease.
    pub(super) fn drain_if_stopping(&mut self, now: Moment) {
        if !*self.shared.board.stopping.borrow() {
            return;
        }
        if !self.draining {
            self.draining = true;
            self.pool.drain(now);
        }
        // An unload under way may still take effect; where the engine does not
        // refuse it, a successor must not grant before it has ended.
        if self.unloading > 0 && !self.safety.honours_token() {
            return;
        }
        // An earlier owner's grants may be out that nobody here knows of.
        let entries = self.settled.then(|| self.requests.entries());
        self.local.drained.send_if_modified(|drained| {
            let new = !drained.contains_key(&self.name);
            drained.insert(self.name.clone(), entries);
            new
        });
    }
}
