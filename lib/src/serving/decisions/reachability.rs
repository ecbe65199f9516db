//! Detects that this VM reaches no replica of a service, although other VMs may.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::pool::Span;

/// Replicas that must fail for a service to count as unreachable: a single one may have
/// crashed.
const MIN_FAILED: usize = 2;

/// How long no replica of the service may have sent anything.
const MIN_SILENCE: Span = Span::from_millis(300);

/// After this time without the first byte of a response a silent replica counts as failed.
/// A connection that was open before the links were cut gives no error.
pub(in crate::serving) const SILENT_AFTER: Span = Span::from_millis(1_000);

/// What this VM knows of its links to one service.
#[derive(Debug, Default)]
struct Links {
    last_heard: Moment,
    /// Replicas that could not be reached since `last_heard`.
    failed: BTreeSet<ReplicaName>,
    unreachable_since: Option<Moment>,
}

/// The services whose replicas this VM cannot reach.
///
/// If the links of a VM are cut while callers still reach it, each request would wait for
/// connections that fail one after the other and then be refused. Other VMs can serve it. A
/// wrong finding costs such a request one more hop; it ends with the next data from any
/// replica, or the next connection that can be opened.
///
/// ```
/// use banyangauge::pool::{Moment, Span};
/// use banyangauge::serving::Reachability;
/// let mut links = Reachability::default();
/// let (service, now) = ("llm".parse().unwrap(), Moment(1_000_000));
/// links.record_failure(now, &service, &"i-1".parse().unwrap(), 3);
/// assert!(!links.is_unreachable(&service));
/// links.record_failure(now, &service, &"i-2".parse().unwrap(), 3);
/// assert!(links.is_unreachable(&service));
/// links.record_heard(now, &service);
/// assert!(!links.is_unreachable(&service));
/// ```
#[derive(Debug, Default)]
pub struct Reachability {
    services: BTreeMap<ServiceName, Links>,
}

impl Reachability {
    /// Records that a replica of a service sent something or accepted a connection. Returns
    /// whether the service was unreachable until now.
    pub fn record_heard(&mut self, now: Moment, service: &ServiceName) -> bool {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Links::default());
        }
        let Some(links) = self.services.get_mut(service) else {
            return false;
        };
        links.last_heard = now;
        links.failed.clear();
        links.unreachable_since.take().is_some()
    }

    /// Records that one of the `listed` replicas of a service could not be reached. Returns
    /// whether the service is unreachable since now.
    pub fn record_failure(
        &mut self,
        now: Moment,
        service: &ServiceName,
        replica: &ReplicaName,
        listed: usize,
    ) -> bool {
        let links = self.services.entry(service.clone()).or_default();
        links.failed.insert(replica.clone());
        let enough = links.failed.len() >= MIN_FAILED.min(listed);
        let silent = now.since(links.last_heard) >= MIN_SILENCE;
        let found = enough && silent && links.unreachable_since.is_none();
        if found {
            links.unreachable_since = Some(now);
        }
        found
    }

    /// Whether this VM reaches no replica of a service.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|l| l.unreachable_since.is_some())
    }

    /// Returns the services that this VM cannot reach, and since when.
    pub fn unreachable(&self) -> impl Iterator<Item = (&ServiceName, Moment)> {
        let services = self.services.iter();
        services.filter_map(|(name, links)| Some((name, links.unreachable_since?)))
    }

    /// Whether a replica of a service sent something within `span`.
    pub fn has_heard(&self, now: Moment, service: &ServiceName, span: Span) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|l| now.since(l.last_heard) < span)
    }

    /// Forgets the services that are not configured any more.
    pub fn retain(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| is_configured(name));
    }
}
