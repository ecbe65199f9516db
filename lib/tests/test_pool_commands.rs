//! Executes the commands of the pool and checks invariants on each.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::*;

use crate::test_pool_rig::Event;
use crate::test_pool_rig::RequestState;
use crate::test_pool_rig::Rig;

/// Time from the dispatch of a poison request to the crash of its replica.
const CRASH_DELAY: Span = Span::from_millis(20);

impl Rig {
    /// Executes and checks all pending commands.
    pub(crate) fn run_commands(&mut self) {
        loop {
            let commands = self.pool.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.execute(command);
            }
        }
    }

    fn execute(&mut self, command: Command) {
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
                assert_eq!(
                    self.states.get(&ticket),
                    Some(&RequestState::Waiting),
                    "request ended twice"
                );
                let got = RequestState::Refused {
                    why: reason,
                    at: now,
                    after: retry_after,
                };
                self.states.insert(ticket, got);
            }
            Command::Load {
                order,
                replica,
                incarnation,
                adapter,
                evict,
            } => {
                assert!(now >= self.slot_freeze, "load ordered during a slot freeze");
                self.loads.push((now, replica.clone(), adapter.clone()));
                if let Some(old) = evict {
                    assert!(
                        now >= self.evict_freeze,
                        "eviction ordered during an eviction freeze"
                    );
                    self.evict(&replica, incarnation, &old);
                }
                self.orders.insert(order, (replica, incarnation, adapter));
                self.schedule(now.after(self.load_time), Event::LoadEnd(order));
            }
            Command::Block { fingerprint, .. } => {
                self.blocked.insert(fingerprint);
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
        let uses = |t: &Ticket| self.submitted[t].0.adapter.as_ref() == Some(old);
        assert!(!e.running.iter().any(uses), "evicted an adapter in use");
        e.loaded.remove(old);
    }

    fn run(&mut self, ticket: Ticket, name: ReplicaName, inc: Incarnation) {
        assert_eq!(
            self.states.get(&ticket),
            Some(&RequestState::Waiting),
            "request ended twice"
        );
        self.states
            .insert(ticket, RequestState::Granted(name.clone()));
        let now = self.now;
        let sent = self.submitted.get_mut(&ticket).unwrap();
        sent.2 = now;
        let a = sent.0.clone();
        let e = self.engines.get_mut(&name).unwrap();
        if !e.up || e.incarnation != inc.0 {
            self.fail(ticket, &name, Outcome::NotRun);
            return;
        }
        if let Some(adapter) = &a.adapter {
            assert!(
                e.loaded.contains(adapter),
                "granted to a replica without the adapter"
            );
        }
        e.running.insert(ticket);
        assert!(e.running.len() <= e.batch as usize, "batch limit exceeded");
        let running = e.running.iter();
        let longs = running.filter(|t| self.submitted[*t].0.class == Class::Long);
        let longs = longs.count();
        let peak = self.peak.entry(name.clone()).or_default();
        *peak = (peak.0.max(e.running.len()), peak.1.max(longs));
        let time = Span(u64::from(a.max_tokens) * self.step_time.0 * e.time_percent / 100);
        if self.poison.contains(&a.fingerprint) {
            self.schedule(now.after(CRASH_DELAY), Event::Crash(name, inc));
        } else {
            self.schedule(now.after(time), Event::End(ticket));
        }
    }
}
