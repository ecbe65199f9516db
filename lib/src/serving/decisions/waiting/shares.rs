//! Fair shares of organisations whose requests have the same rank.

use std::collections::BTreeMap;

use crate::ids::OrganisationName;

/// An organisation with waiting requests or with more service than the others.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Virtual start time of its next request, in tokens.
    start: u64,
    waiting: usize,
}

/// Start-time fair queueing over organisations, weighted by tokens.
///
/// Under overload one organisation may send far more requests than the others, which must not
/// take their share. A request is charged when it is served, so one that leaves for another
/// reason costs its organisation nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    /// Virtual time: the largest start time of a request that was served.
    time: u64,
    flows: BTreeMap<Option<OrganisationName>, Flow>,
}

impl FairShares {
    /// Counts a request that begins to wait. An organisation that had none continues at the
    /// virtual time, so that it gains nothing by having been idle.
    pub(super) fn enter(&mut self, organisation: &Option<OrganisationName>) {
        let flow = self.flows.entry(organisation.clone()).or_default();
        if flow.waiting == 0 {
            flow.start = flow.start.max(self.time);
        }
        flow.waiting += 1;
    }

    /// Counts a request that ends its wait; `served` is its cost in tokens if it is served.
    pub(super) fn leave(&mut self, organisation: &Option<OrganisationName>, served: Option<u64>) {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return;
        };
        flow.waiting = flow.waiting.saturating_sub(1);
        if let Some(tokens) = served {
            self.time = self.time.max(flow.start);
            flow.start = flow.start.saturating_add(tokens.max(1));
        }
        let time = self.time;
        self.flows.retain(|_, f| f.waiting > 0 || f.start > time);
    }

    /// Returns whether no request waits.
    pub(super) fn is_idle(&self) -> bool {
        self.flows.values().all(|f| f.waiting == 0)
    }

    /// Returns the virtual start time of an organisation's next request.
    pub(super) fn start(&self, organisation: &Option<OrganisationName>) -> u64 {
        self.flows.get(organisation).map_or(self.time, |f| f.start)
    }
}
