//! State shared by the tasks of an entry process.

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
use super::session::Session;
use super::session::SessionConfig;
use super::view::CatalogView;
use crate::control::Owner;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::link::Link;
use crate::timeline::Recorder;
use crate::upstream::Upstreams;

/// State shared by all requests of the process.
pub struct State {
    /// The settings of the process.
    pub settings: EntrySettings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Owners of pools, from the control feed.
    pub owners: watch::Sender<BTreeMap<PoolName, Owner>>,
    /// Connections to upstreams.
    pub upstreams: Upstreams,
    /// Usage of the teams.
    pub usage: Usage,
    /// The timeline.
    pub recorder: Arc<Recorder>,
    /// Permits for requests in flight.
    pub request_permits: Arc<Semaphore>,
    /// Connects to other processes of the system.
    pub link: Link,
    /// The logger.
    pub log: slog::Logger,
    view: RwLock<Arc<CatalogView>>,
    /// Blocked requests and the end of each block, in microseconds of the entry's
    /// clock.
    blocked_until_us: RwLock<BTreeMap<Fingerprint, u64>>,
    sessions: Mutex<BTreeMap<PoolName, Session>>,
    /// Number of the last request.
    last_request: AtomicU64,
}

impl State {
    /// Returns the state of a process without a catalog.
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
            blocked_until_us: RwLock::default(),
            sessions: Mutex::default(),
            last_request: AtomicU64::new(0),
        }
    }

    /// Returns the current catalog.
    pub fn view(&self) -> Arc<CatalogView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the current catalog if the revision of `next` is higher; returns
    /// whether it was replaced.
    pub fn install_view(&self, next: CatalogView) -> bool {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let higher = next.revision() > view.revision();
        if higher {
            *view = Arc::new(next);
        }
        higher
    }

    /// Returns how long a request is still blocked because it crashes its upstream,
    /// in milliseconds; `None` if it is not blocked.
    pub fn blocked_for_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let blocked = self
            .blocked_until_us
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let left_us = blocked.get(&fingerprint)?.checked_sub(now_us())?;
        Some(left_us / 1_000)
    }

    /// Blocks requests for the given milliseconds and removes expired blocks.
    pub fn block(&self, list: impl IntoIterator<Item = (Fingerprint, u64)>) {
        let now = now_us();
        let mut blocked = self
            .blocked_until_us
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        blocked.retain(|_, until_us| *until_us > now);
        for (fingerprint, left_ms) in list {
            let until_us = now.saturating_add(left_ms.saturating_mul(1_000));
            let current = blocked.entry(fingerprint).or_default();
            *current = until_us.max(*current);
        }
    }

    /// Returns the session with a pool's owner, which is started on first use.
    pub(super) fn session(&self, pool: &PoolName) -> Session {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(session) = sessions.get(pool) {
            return session.clone();
        }
        let session = Session::start(pool, self.session_config());
        sessions.insert(pool.clone(), session.clone());
        session
    }

    fn session_config(&self) -> SessionConfig {
        SessionConfig {
            entry: self.settings.vm.to_string(),
            incarnation: self.incarnation.0,
            controls: self.settings.controls.clone(),
            owners: self.owners.subscribe(),
            max_requests: self.settings.limits.requests,
            link: self.link.clone(),
            log: self.log.clone(),
        }
    }

    /// Returns a number that is unique among the requests of this process.
    pub fn next_request_number(&self) -> u64 {
        self.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }
}
