//! The duty that runs an owner for each lease held.

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
use crate::control::local::Local;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::ids::PoolName;
use crate::ids::Token;
use crate::lease::HeldLease;
use crate::pool::Moment;

/// Events that may wait for an owner. A full mailbox holds up the streams that
/// feed it, so that an overload waits at the entries, where it is refused by
/// deadline.
const MAILBOX: usize = 4_096;

/// The owners of this process.
#[derive(Default)]
pub struct Registry {
    owners: Mutex<BTreeMap<PoolName, (Token, Address<OwnerActor>)>>,
}

impl Registry {
    /// The owner of a pool, when it is here.
    pub fn get(&self, pool: &PoolName) -> Option<Address<OwnerActor>> {
        self.lock().get(pool).map(|(_, a)| a.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<PoolName, (Token, Address<OwnerActor>)>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts an owner when a lease is gained and drops it when it is lost.
pub async fn run(shared: Shared, local: Arc<Local>, registry: Arc<Registry>) {
    let mut leases = local.leases.subscribe();
    loop {
        let held = leases.borrow_and_update().clone();
        drop_lost(&shared, &registry, &held);
        for (pool, tenure) in held {
            let known = registry.lock().get(&pool).map(|(t, _)| *t);
            if known != Some(tenure.token) {
                start(&shared, &local, &registry, pool, tenure);
            }
        }
        if leases.changed().await.is_err() {
            return;
        }
    }
}

fn drop_lost(shared: &Shared, registry: &Registry, held: &BTreeMap<PoolName, HeldLease>) {
    registry.lock().retain(|pool, (token, address)| {
        let kept = held.get(pool).is_some_and(|t| t.token == *token);
        if !kept {
            shared.board.pools.send_modify(|p| drop(p.remove(pool)));
            // It refuses what waits, then ends.
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
    local: &Arc<Local>,
    registry: &Registry,
    pool: PoolName,
    tenure: HeldLease,
) {
    let token = tenure.token;
    let owner = OwnerActor::new(shared.clone(), Arc::clone(local), pool.clone(), tenure);
    let Some(owner) = owner else { return };
    let wakes = owner.wakes();
    let address = xtra::spawn_tokio(owner, Mailbox::bounded(MAILBOX));
    tokio::spawn(keep_time(address.downgrade(), wakes));
    registry.lock().insert(pool, (token, address));
}

// Sends ticks when the owner wants them.
async fn keep_time(owner: WeakAddress<OwnerActor>, mut wakes: watch::Receiver<Moment>) {
    loop {
        let at = *wakes.borrow_and_update();
        let pause = clock::duration(at.since(clock::now()));
        tokio::select! {
            changed = wakes.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = tokio::time::sleep(pause) => {}
        }
        if owner.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
