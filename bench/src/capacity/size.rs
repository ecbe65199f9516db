//! The sizes that are worked out.

/// How much there is of everything.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Our VMs, each with an entry and a control process.
    pub nodes: f64,
    /// Upstreams.
    pub replicas: f64,
    /// Pools; each has one owner.
    pub pools: f64,
    /// Adapters configured.
    pub adapters: f64,
    /// Requests a second over all.
    pub requests: f64,
    /// Tokens a second over all.
    pub tokens: f64,
    /// Configuration changes a day.
    pub changes: f64,
    /// The part of all requests that carry an idempotency key; bookings and
    /// opened cases. An assumption: the letter does not say.
    pub keyed: f64,
}

/// Both organisations are about this large today (the brief's figures for one;
/// its rates are assumptions: 12 replicas with a batch of 16 and answers of
/// about 100 tokens).
pub const TODAY: Size = Size {
    nodes: 9.0,
    replicas: 15.0,
    pools: 2.0,
    adapters: 3_000.0,
    requests: 150.0,
    tokens: 15_000.0,
    changes: 200.0,
    keyed: 0.1,
};

/// The letter's target; pools of 37 replicas, a base model and region each.
pub const LETTER: Size = Size {
    nodes: 700.0,
    replicas: 5_600.0,
    pools: 150.0,
    adapters: 14_000.0,
    requests: 33_000.0,
    tokens: 13_000_000.0,
    changes: 7_600.0,
    keyed: 0.1,
};
