//! Selects the route of a request and one of the route's services.

use std::collections::BTreeMap;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ServiceName;
use crate::serving::path::types::Route;

/// The routes of one configuration, indexed by host.
#[derive(Debug, Default)]
pub struct Routes {
    /// The routes of each host, longest path prefix first.
    hosts: BTreeMap<String, Vec<Rc<Route>>>,
}

impl Routes {
    /// Builds the index for the routes of a configuration.
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for route in routes {
            let list = hosts.entry(route.host.clone()).or_default();
            list.push(Rc::new(route.clone()));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of the host whose path prefix is the longest match.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host_name(host);
        let list = self.hosts.get(&host)?;
        list.iter().find(|r| path.starts_with(&r.prefix))
    }
}

/// Returns a host in lower case and without its port.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Picks the service for a request in proportion to the route's weights.
///
/// The choice depends only on a hash of the request ID: a request that is sent again
/// with the same ID goes to the same service, also through another VM.
pub fn pick_service<'a>(route: &'a Route, id: &str) -> Option<&'a ServiceName> {
    let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    if total == 0 {
        return route.services.first().map(|(s, _)| s);
    }
    let mut offset = xxh3_64(id.as_bytes()) % total;
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if offset < weight {
            return Some(service);
        }
        offset -= weight;
    }
    None
}
