//! Runs one owner for each lease that this process holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::watch;
use xtra::Address;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::control::Shared;
use crate::control::clock;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::control::ownership::OwnershipState;
use crate::ids::FencingToken;
use crate::ids::PoolName;
use crate::lease::HeldLease;
use crate::pool::Moment;

/// The maximum number of events queued for one owner. A full mailbox applies
/// backpressure to the streams of entries; an entry refuses a request itself when
/// the deadline passes meanwhile.
const MAILBOX_CAPACITY: usize = 4_096;

/// The owners that run in this process.
#[derive(Default)]
pub struct Registry {
    owners: Mutex<BTreeMap<PoolName, (FencingToken, Address<OwnerActor>)>>,
}

impl Registry {
    /// Returns the owner of a pool, if it runs in this process.
    pub fn get(&self, pool: &PoolName) -> Option<Address<OwnerActor>> {
        self.lock().get(pool).map(|(_, a)| a.clone())
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<PoolName, (FencingToken, Address<OwnerActor>)>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts an owner for each lease that is acquired, and stops the owner of each
/// lease that is lost.
pub async fn run(shared: Shared, local: Arc<OwnershipState>, registry: Arc<Registry>) {
    let mut leases = local.leases.subscribe();
    loop {
        let held = leases.borrow_and_update().clone();
        stop_lost(&shared, &registry, &held);
        for (pool, lease) in held {
            let known = registry.lock().get(&pool).map(|(t, _)| *t);
            if known != Some(lease.token) {
                start(&shared, &local, &registry, pool, lease);
            }
        }
        if leases.changed().await.is_err() {
            return;
        }
    }
}

// Stops the owners whose lease is not held any more with their token.
fn stop_lost(shared: &Shared, registry: &Registry, held: &BTreeMap<PoolName, HeldLease>) {
    registry.lock().retain(|pool, (token, address)| {
        let kept = held.get(pool).is_some_and(|t| t.token == *token);
        if !kept {
            shared.state.pools.send_modify(|p| drop(p.remove(pool)));
            // The owner refuses its waiting requests, then stops.
            let address = address.clone();
            tokio::spawn(async move {
                let _ = address.send(Event::LeaseEnded).detach().await;
            });
        }
        kept
    });
}

fn start(
    shared: &Shared,
    local: &Arc<OwnershipState>,
    registry: &Registry,
    pool: PoolName,
    lease: HeldLease,
) {
    let token = lease.token;
    let owner = OwnerActor::new(shared.clone(), Arc::clone(local), pool.clone(), lease);
    // Not in the catalog.
    let Some(owner) = owner else { return };
    let next_tick = owner.next_tick();
    let address = xtra::spawn_tokio(owner, Mailbox::bounded(MAILBOX_CAPACITY));
    tokio::spawn(send_ticks(address.downgrade(), next_tick));
    registry.lock().insert(pool, (token, address));
}

// Sends a tick whenever the owner needs one.
async fn send_ticks(owner: WeakAddress<OwnerActor>, mut next_tick: watch::Receiver<Moment>) {
    loop {
        let at = *next_tick.borrow_and_update();
        let delay = clock::to_duration(at.since(clock::now()));
        tokio::select! {
            changed = next_tick.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = tokio::time::sleep(delay) => {}
        }
        if owner.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
