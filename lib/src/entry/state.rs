//! What the tasks of an entry process share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::EntrySettings;
use super::Usage;
use super::clock::now_us;
use super::session::Identity;
use super::session::Session;
use super::view::CatalogView;
use crate::control::Owner;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::link::Link;
use crate::timeline::Recorder;
use crate::upstream::Upstreams;

/// What every request of the process uses.
pub struct State {
    /// The settings.
    pub settings: EntrySettings,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Owners of pools as the feed tells them.
    pub owners: watch::Sender<BTreeMap<PoolName, Owner>>,
    /// Connections to upstreams.
    pub upstreams: Upstreams,
    /// What teams used.
    pub usage: Usage,
    /// The time line.
    pub recorder: Arc<Recorder>,
    /// Requests that may still come in.
    pub request_permits: Arc<Semaphore>,
    /// Connections to our other processes.
    pub link: Link,
    /// The log.
    pub log: slog::Logger,
    view: RwLock<Arc<CatalogView>>,
    /// Convicted requests and when each verdict ends, in microseconds.
    verdicts: RwLock<BTreeMap<Fingerprint, u64>>,
    sessions: Mutex<BTreeMap<PoolName, Session>>,
    requests: AtomicU64,
}

impl State {
    /// A process that has no catalog yet.
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        link: Link,
        log: slog::Logger,
    ) -> Self {
        let recorder = Recorder::new(&format!("entry {}", settings.vm), settings.limits.events);
        Self {
            request_permits: Arc::new(Semaphore::new(settings.limits.requests)),
            settings,
            incarnation,
            owners: watch::Sender::default(),
            upstreams: Upstreams::new(),
            usage: Usage::default(),
            recorder: Arc::new(recorder),
            link,
            log,
            view: RwLock::default(),
            verdicts: RwLock::default(),
            sessions: Mutex::default(),
            requests: AtomicU64::new(0),
        }
    }

    /// The catalog in force now.
    pub fn view(&self) -> Arc<CatalogView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a catalog in force if its revision is higher; tells whether it was.
    pub fn install_view(&self, next: CatalogView) -> bool {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let higher = next.revision() > view.revision();
        if higher {
            *view = Arc::new(next);
        }
        higher
    }

    /// Whether a request was found to crash its upstream; gives how long the
    /// verdict still holds, in milliseconds.
    pub fn blocked_for_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let verdicts = self.verdicts.read().unwrap_or_else(PoisonError::into_inner);
        let left = verdicts.get(&fingerprint)?.checked_sub(now_us())?;
        Some(left / 1_000)
    }

    /// Adds verdicts that hold for the given milliseconds; old ones go.
    pub fn block(&self, list: impl IntoIterator<Item = (Fingerprint, u64)>) {
        let now = now_us();
        let mut verdicts = self
            .verdicts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        verdicts.retain(|_, until| *until > now);
        for (fingerprint, left_ms) in list {
            let until = now.saturating_add(left_ms.saturating_mul(1_000));
            let have = verdicts.entry(fingerprint).or_default();
            *have = until.max(*have);
        }
    }

    /// The session with a pool's owner.
    pub(super) fn session(&self, pool: &PoolName) -> Session {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(session) = sessions.get(pool) {
            return session.clone();
        }
        let session = Session::start(pool, self.identity());
        sessions.insert(pool.clone(), session.clone());
        session
    }

    fn identity(&self) -> Identity {
        Identity {
            entry: self.settings.vm.to_string(),
            incarnation: self.incarnation.0,
            controls: self.settings.controls.clone(),
            owners: self.owners.subscribe(),
            requests: self.settings.limits.requests,
            trust: self.link.clone(),
            log: self.log.clone(),
        }
    }

    /// A number that no other request of this process has.
    pub fn next_request_number(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }
}
