//! The urgency that engines are told for each request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ServiceName;
use crate::pool::Moment;
use crate::serving::path::types::Config;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Route;

/// Urgency of the most urgent rank. 0 and 1 are left for requests that are not ranked here.
const FIRST: u8 = 2;

/// Urgency of the least urgent rank that is told apart. A late request of this rank is still
/// within the range of 0 to 9 that engines know.
const LAST: u8 = 7;

/// How much less urgent a late request is: enough to yield to the next rank, too.
const LATE_PENALTY: u8 = 2;

/// The ranks that requests of each service can have under one configuration.
///
/// Engines admit requests in order of arrival, and preempt the newest when their memory runs
/// out, unless they are told what is urgent. Under load the most urgent requests then wait
/// for the least urgent ones. A service without an engine, or whose requests all have the
/// same rank, has no urgencies: engines take requests without one as equal.
#[derive(Debug, Default)]
pub struct Urgencies {
    /// The distinct ranks in order, for services with at least two.
    ranks: BTreeMap<ServiceName, Vec<Rank>>,
}

impl Urgencies {
    /// Collects the ranks of a configuration.
    pub fn new(config: &Config) -> Self {
        let engines = config.services.values().filter(|s| s.engine.is_some());
        let ranks = engines.filter_map(|service| {
            let serves = |r: &&Route| r.services.iter().any(|(name, _)| *name == service.name);
            let routes = config.routes.iter().filter(serves);
            let ranks: BTreeSet<Rank> = routes.flat_map(|r| route_ranks(config, r)).collect();
            (ranks.len() > 1).then(|| (service.name.clone(), ranks.into_iter().collect()))
        });
        Self {
            ranks: ranks.collect(),
        }
    }

    /// Returns the urgency of a rank, from 2 (first) to 7; `None` if the service has no
    /// engine or its requests all have the same rank. Ranks after the sixth share the last
    /// urgency, so that the first ones are told apart.
    ///
    /// ```
    /// use banyangauge::serving::{Rank, Urgencies};
    /// let none = Urgencies::default();
    /// assert_eq!(none.find(&"llm".parse().unwrap(), Rank::default()), None);
    /// ```
    pub fn find(&self, service: &ServiceName, rank: Rank) -> Option<u8> {
        let ranks = self.ranks.get(service)?;
        let before = ranks.partition_point(|r| *r < rank);
        let levels = usize::from(LAST - FIRST);
        u8::try_from(before.min(levels)).ok().map(|n| FIRST + n)
    }
}

/// Returns the ranks that requests of a route can have.
fn route_ranks(config: &Config, route: &Route) -> BTreeSet<Rank> {
    let organisations = config.organisations.as_deref();
    let stated = organisations.unwrap_or_default().iter();
    // Without an organisation, a request is admitted by a public route, or if none needs a key.
    let keyless = (route.public || organisations.is_none()).then_some(0);
    let priorities = stated.map(|o| o.priority).chain(keyless);
    let rank = |organisation| Rank {
        organisation,
        route: route.priority,
    };
    priorities.map(rank).collect()
}

/// Returns the urgency of a request that is sent at `now`. A request that has missed its
/// objective yields to those that can still meet theirs.
///
/// ```
/// use banyangauge::pool::Moment;
/// use banyangauge::serving::urgency_when_sent;
/// let objective = Moment(800_000);
/// assert_eq!(urgency_when_sent(3, Moment(800_000), objective), 3);
/// assert_eq!(urgency_when_sent(3, Moment(800_001), objective), 5);
/// ```
pub fn urgency_when_sent(urgency: u8, now: Moment, objective: Moment) -> u8 {
    match now > objective {
        true => urgency.saturating_add(LATE_PENALTY),
        false => urgency,
    }
}
