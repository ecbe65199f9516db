//! Carries out what the pool decides, and checks what must always hold.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

use crate::test_pool_rig::Event;
use crate::test_pool_rig::Got;
use crate::test_pool_rig::Rig;

/// From dispatch to the crash of a replica by a request that crashes it.
const FUSE: Span = Span::from_millis(20);

impl Rig {
    /// Carries out what the pool decided, and checks it.
    pub(crate) fn obey(&mut self) {
        loop {
            let commands = self.pool.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        let now = self.now;
        match command {
            Command::Grant {
                ticket,
                replica,
                incarnation,
                ..
            } => self.run(ticket, replica, incarnation),
            Command::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                assert_eq!(self.got.get(&ticket), Some(&Got::Waits), "two ends");
                let got = Got::Refused {
                    why: reason,
                    at: now,
                    after: retry_after,
                };
                self.got.insert(ticket, got);
            }
            Command::Load {
                order,
                replica,
                incarnation,
                adapter,
                evict,
            } => {
                assert!(now >= self.frozen, "a load in the quarantine");
                self.loads.push((now, replica.clone(), adapter.clone()));
                if let Some(old) = evict {
                    assert!(now >= self.keeping, "an eviction in the quarantine");
                    self.evict(&replica, incarnation, &old);
                }
                self.orders.insert(order, (replica, incarnation, adapter));
                self.at(now.after(self.load), Event::Loaded(order));
            }
            Command::Block { fingerprint, .. } => {
                self.convicted.insert(fingerprint);
            }
        }
    }

    fn evict(&mut self, name: &ReplicaName, inc: Incarnation, old: &AdapterVersion) {
        let Some(e) = self.engines.get_mut(name) else {
            return;
        };
        if e.incarnation != inc.0 {
            return;
        }
        let uses = |t: &Ticket| self.sent[t].0.adapter.as_ref() == Some(old);
        assert!(!e.running.iter().any(uses), "evicted while in use");
        e.loaded.remove(old);
    }

    fn run(&mut self, ticket: Ticket, name: ReplicaName, inc: Incarnation) {
        assert_eq!(self.got.get(&ticket), Some(&Got::Waits), "two ends");
        self.got.insert(ticket, Got::Granted(name.clone()));
        let now = self.now;
        let sent = self.sent.get_mut(&ticket).unwrap();
        sent.2 = now;
        let a = sent.0.clone();
        let e = self.engines.get_mut(&name).unwrap();
        if !e.up || e.incarnation != inc.0 {
            self.break_off(ticket, &name, Outcome::NotRun);
            return;
        }
        if let Some(adapter) = &a.adapter {
            assert!(e.loaded.contains(adapter), "granted where not loaded");
        }
        e.running.insert(ticket);
        assert!(e.running.len() <= e.batch as usize, "more than the batch");
        let running = e.running.iter();
        let longs = running.filter(|t| self.sent[*t].0.class == Class::Long);
        let longs = longs.count();
        let peak = self.peak.entry(name.clone()).or_default();
        *peak = (peak.0.max(e.running.len()), peak.1.max(longs));
        let time = Span(u64::from(a.max_tokens) * self.step.0 * e.slow / 100);
        if self.poison.contains(&a.fingerprint) {
            self.at(now.after(FUSE), Event::Crash(name, inc));
        } else {
            self.at(now.after(time), Event::Ends(ticket));
        }
    }
}
