//! The owner's periodic checks: its lease, a possible successor, whether slots
//! may be changed, and whether the process stops.

use std::collections::BTreeSet;

use crate::control::clock;
use crate::control::owner::ExternalState;
use crate::control::owner::OwnerActor;
use crate::control::uptime_ms;
use crate::lease::Predecessor;
use crate::pool::Moment;
use crate::pool::Span;

/// Each tick freezes the pool's slots until this much later. Spans several ticks,
/// so that the freeze has no gap; a freeze outlasts its reason by at most this
/// time.
pub(super) const FREEZE_AHEAD: Span = Span::from_millis(500);

impl OwnerActor {
    /// Updates the state that the safety rules depend on: the last contact with a
    /// majority of the peers, whether the predecessor's VM is gone, and which entries
    /// have reported their grants.
    pub(super) fn update_external(&mut self, now: Moment) {
        let left = match &self.safety.lease().predecessor {
            Predecessor::Lapsed(vm) => self.local.departed.borrow().contains(vm.as_str()),
            _ => false,
        };
        self.external = ExternalState {
            majority_contact: self.local.majority_contact(now),
            predecessor_left: left,
            synced: self.requests.synced().clone(),
        };
    }

    /// Passes a renewal of the lease on to the safety rules. Stops granting if the
    /// lease is lost or a higher token is known.
    ///
    /// In an outage of the platform peers may report an owner with a higher token
    /// before the lease object shows it.
    pub(super) fn check_ownership(&mut self) {
        let token = self.token();
        let valid_until = {
            let leases = self.local.leases.borrow();
            let lease = leases.get(&self.name).filter(|t| t.token == token);
            lease.map(|t| t.valid_until)
        };
        let higher = {
            let owners = self.shared.state.owners.borrow();
            owners.get(&self.name).is_some_and(|o| o.token > token)
        };
        match valid_until {
            Some(until) if !higher => self.safety.renew(until),
            _ => self.depose(),
        }
    }

    /// Stops issuing grants and sending orders, and refuses waiting requests, because
    /// there is or may be a successor.
    pub(super) fn depose(&mut self) {
        if self.deposed {
            return;
        }
        self.deposed = true;
        let token = self.token();
        self.local.deposed.send_modify(|d| {
            d.insert(self.name.clone(), token);
        });
        slog::warn!(self.shared.log, "stopped granting: the lease ended or a higher token is known";
            "pool" => %self.name, "token" => self.token().0);
        self.pool.drain(clock::now());
    }

    /// Passes new and extended blocks of crashing requests (by fingerprint) to the
    /// pool.
    pub(super) fn apply_blocks(&mut self, now: Moment) {
        let current = self.shared.state.blocked.borrow().clone();
        if current == self.blocked {
            return;
        }
        let uptime = uptime_ms();
        for (fingerprint, blocked_until) in &current {
            if self.blocked.get(fingerprint) != Some(blocked_until) {
                let left = Span::from_millis(blocked_until.saturating_sub(uptime));
                self.pool.block(now, *fingerprint, left);
            }
        }
        self.blocked = current;
    }

    /// Freezes the slots, or only evictions, while the safety rules require it, and
    /// publishes when no earlier owner's grant can be in use any more.
    ///
    /// The pool plans no change during the freeze. If the next tick comes later than
    /// [`FREEZE_AHEAD`], `start_load` rejects the orders that are not allowed.
    ///
    /// While an earlier owner's grants may be in use, engines that honour tokens
    /// still get loads into free slots: they refuse the earlier owner's orders, and
    /// such a load evicts nothing that a request may use.
    pub(super) fn update_freeze(&mut self, now: Moment) {
        let replicas: BTreeSet<_> = self.replicas.keys().cloned().collect();
        let slots_frozen = self.safety.is_frozen(now, &replicas, &self.external);
        // After the lease has expired, slots on engines that ignore tokens are not
        // changed.
        self.frozen = slots_frozen && !self.safety.honours_token() || !self.safety.may_order(now);
        self.evictions_frozen = slots_frozen;
        if !slots_frozen && !self.settled {
            self.settled = true;
            let token = self.token();
            self.local.settled.send_modify(|s| {
                s.insert(self.name.clone(), token);
            });
        }
        if self.frozen {
            self.pool.freeze_slots(now.after(FREEZE_AHEAD));
        }
        if self.evictions_frozen {
            self.pool.freeze_evictions(now.after(FREEZE_AHEAD));
        }
    }

    /// When the process stops, stops granting and ordering first, and then publishes
    /// that it has, so that the election can release the lease.
    pub(super) fn drain_if_stopping(&mut self, now: Moment) {
        if !*self.shared.state.stopping.borrow() {
            return;
        }
        if !self.draining {
            self.draining = true;
            self.pool.drain(now);
        }
        // An unload in flight may still take effect. Where the engine does not
        // refuse it, a successor must not grant before it has ended.
        if self.pending_unloads > 0 && !self.safety.honours_token() {
            return;
        }
        // Until settled, entries unknown to this owner may hold grants of an
        // earlier owner.
        let entries = self.settled.then(|| self.requests.entries());
        self.local.drained.send_if_modified(|drained| {
            let new = !drained.contains_key(&self.name);
            drained.insert(self.name.clone(), entries);
            new
        });
    }
}
