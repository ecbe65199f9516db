//! Each role's load today and at the letter's size, against its limit.

use std::fmt::Write;

use banyangauge::catalog::MAX_CHANGES;
use banyangauge::catalog::MAX_SNAPSHOT_BYTES;
use banyangauge::control::ClaimSettings;
use banyangauge::control::LeaseSettings;
use banyangauge::control::MemberSettings;
use banyangauge::control::UpstreamSettings;
use banyangauge::control::UsageSettings;

use super::LETTER;
use super::Size;
use super::TODAY;
use super::slopes::Slope;
use super::slopes::Slopes;

/// Rows of usage in one object.
const PART_ROWS: f64 = 2_000.0;

/// Watches that each control process holds: leases and VM list.
const WATCHES: f64 = 2.0;

/// VMs of a zone that watch the catalog's root, and zones.
const ROOT_WATCHERS: f64 = 3.0;
const ZONES: f64 = 16.0;

/// Framing of one message between processes: TCP, HTTP/2 and gRPC heads.
const FRAME: f64 = 60.0;

/// The part of all adapters that wakes or falls idle in an hour.
const WAKING: f64 = 0.064;

/// Loads a second of the slower weight store of today.
const LOADS: f64 = 2.0;

/// A day in seconds.
const DAY: f64 = 86_400.0;

/// The letter's and the brief's limits.
const CORE_PCT: f64 = 3.3;
const MEMORY_MB: f64 = 64.0;
const NODE_BYTES: f64 = 2_000.0;
const WRITES: f64 = 300.0;
const READS: f64 = 2_000.0;

/// One load of one role.
#[derive(Clone, Debug)]
pub struct Row {
    /// Who bears it.
    pub role: &'static str,
    /// What it is.
    pub load: &'static str,
    /// The mechanism that carries it, and its file.
    pub by: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// Today and at the letter's size.
    pub values: [f64; 2],
    /// The limit that it is held against.
    pub limit: f64,
}

impl Row {
    /// Whether the letter's size is over the limit.
    pub fn is_over(&self) -> bool {
        self.values[1] > self.limit
    }
}

/// Rates that the programs' default settings give, in each second.
struct Rates {
    beats: f64,
    fanout: f64,
    renewals: f64,
    polls: f64,
    commits: f64,
    flush: f64,
}

fn rates() -> Rates {
    let each_s = |ms: u64| 1_000.0 / ms as f64;
    let members = MemberSettings::default();
    Rates {
        beats: each_s(members.beat_ms),
        fanout: members.fanout as f64,
        renewals: each_s(LeaseSettings::default().renew_ms),
        polls: each_s(UpstreamSettings::default().poll_ms),
        commits: each_s(ClaimSettings::default().gap_ms),
        flush: UsageSettings::default().flush_ms as f64 / 1_000.0,
    }
}

/// Works out all rows.
pub fn work_out(slopes: &Slopes) -> Vec<Row> {
    let rates = rates();
    let of = |name: &str| slopes.get(name);
    let last = |name: &str| of(name).map_or(0.0, Slope::last);
    let most = |name: &str| of(name).map_or(0.0, Slope::most);
    let first = |name: &str| {
        let point = of(name).and_then(|s| s.points.first());
        point.map_or(0.0, |(_, v)| v[0])
    };
    // A value for both sizes, by a function of the size.
    let row = |role, load, by, unit, limit, value: &dyn Fn(&Size) -> f64| Row {
        role,
        load,
        by,
        unit,
        values: [value(&TODAY), value(&LETTER)],
        limit,
    };
    let per_pool = |s: &Size| s.requests / s.pools;
    let digest = |s: &Size| match s.nodes > 50.0 {
        true => last("digest"),
        false => first("digest"),
    };
    let grant = first("grant") + 3.0 * FRAME;
    vec![
        row(
            "entry",
            "checking tokens",
            "`upstream/sse.rs`",
            "% of a core",
            100.0,
            &|s| s.tokens / s.nodes * most("token") / 1e4,
        ),
        row(
            "entry",
            "catalog in memory",
            "`entry/view.rs`, adapters shared by `Arc`",
            "MB",
            MEMORY_MB,
            &|s| s.adapters * most("resident") / 1e6,
        ),
        row(
            "control, every VM",
            "catalog in memory",
            "`control/config/`, 64 shards",
            "MB",
            MEMORY_MB,
            &|s| s.adapters * most("resident") / 1e6,
        ),
        row(
            "control, every VM",
            "applying changes",
            "`catalog/apply.rs`, shared copies",
            "% of a core",
            CORE_PCT,
            &|s| s.changes / DAY * most("apply") / 1e4,
        ),
        row(
            "control, every VM",
            "changes received",
            "`control/config/`, deltas from the root's log",
            "bytes/s",
            NODE_BYTES,
            &|s| s.changes / DAY * (first("delta") + FRAME) * 2.0,
        ),
        row(
            "control, every VM",
            "heartbeats sent",
            "`control/gossip.rs`, at most 14 members each",
            "bytes/s",
            NODE_BYTES,
            &|s| 2.0 * rates.fanout.min(s.nodes - 1.0) * rates.beats * (digest(s) + FRAME),
        ),
        row(
            "control, every VM",
            "lease events watched",
            "`control/election.rs`, one watch of all leases",
            "bytes/s",
            NODE_BYTES,
            &|s| s.pools * rates.renewals * (first("lease") + FRAME),
        ),
        row(
            "owner of a pool",
            "decisions",
            "`pool/`, ordered indexes",
            "% of a core",
            CORE_PCT,
            &|s| per_pool(s) * most("decision") / 1e4,
        ),
        row(
            "owner of a pool",
            "grants, both ways",
            "`control/owner/`, one grant a request",
            "bytes/s",
            NODE_BYTES,
            &|s| per_pool(s) * grant,
        ),
        row(
            "owner of a pool",
            "load reports",
            "`control/owner/polling.rs`, every replica every 250 ms",
            "bytes/s",
            NODE_BYTES,
            &|s| s.replicas / s.pools * rates.polls * first("poll"),
        ),
        row(
            "holder of the load queue",
            "adapters that wake",
            "`pool/loads.rs`, one queue a weight store",
            "loads/s",
            LOADS,
            &|s| s.adapters * WAKING / 3_600.0 / s.pools,
        ),
        row(
            "relay of configuration",
            "changes passed on",
            "`control/config/peers.rs`, from the VMs that watch the root",
            "bytes/s",
            NODE_BYTES,
            &|s| {
                let watchers = s.nodes.min(ROOT_WATCHERS * ZONES);
                s.changes / DAY * (first("delta") + FRAME) * (s.nodes / watchers)
            },
        ),
        row(
            "operators' client",
            "the largest plan",
            "`operator/client.rs`, 50,000 changes at the most",
            "bytes",
            MAX_SNAPSHOT_BYTES as f64,
            &|_| MAX_CHANGES as f64 * last("delta"),
        ),
        row(
            "holder of claims",
            "one journal object",
            "`claims/`, 1,000 claims a segment",
            "bytes",
            1e6,
            &|_| 1_000.0 * most("claim"),
        ),
        row(
            "holder of claims",
            "claims in 10 minutes",
            "`claims/`, 64 segments",
            "claims",
            64_000.0,
            &|s| per_pool(s) * s.keyed * 600.0,
        ),
        row(
            "holder of usage",
            "copies sent to a peer",
            "`control/usage/`, rows that rose",
            "bytes/s",
            NODE_BYTES,
            &|s| (s.requests / s.nodes).min(s.adapters) * last("usage") + 2.0 * FRAME,
        ),
        row(
            "platform",
            "lease renewals",
            "`lease/`, one object a pool",
            "writes/s",
            WRITES,
            &|s| s.pools * rates.renewals,
        ),
        row(
            "platform",
            "journal commits",
            "`claims/`, group commit each 100 ms at the most",
            "writes/s",
            WRITES,
            &|s| s.pools * rates.commits.min(per_pool(s) * s.keyed),
        ),
        row(
            "platform",
            "usage writes",
            "`control/usage/`, objects of 2,000 rows each 10 s",
            "writes/s",
            WRITES,
            &|s| {
                let touched = (s.requests / s.nodes * rates.flush).min(s.adapters);
                let parts = (s.adapters / PART_ROWS).ceil();
                s.nodes * touched.min(parts) / rates.flush
            },
        ),
        row(
            "platform",
            "watches waiting",
            "`control/`, catalog root, leases, VM list",
            "calls",
            READS,
            &|s| s.nodes * WATCHES + s.nodes.min(ROOT_WATCHERS * ZONES),
        ),
        row(
            "platform",
            "configuration writes",
            "`catalog/store.rs`, shards then root",
            "writes/s",
            WRITES,
            &|s| s.changes / DAY * 3.0,
        ),
    ]
}

/// The rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "| role | load | carried by | unit | today | letter | limit | |\n|---|---|---|---|---|---|---|---|\n",
    );
    for r in rows {
        let [today, letter] = r.values.map(figure);
        let over = if r.is_over() { "**over**" } else { "" };
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {today} | {letter} | {} | {over} |",
            r.role,
            r.load,
            r.by,
            r.unit,
            figure(r.limit)
        );
    }
    out
}

fn figure(v: f64) -> String {
    match v {
        v if v >= 100.0 => format!("{v:.0}"),
        v if v >= 1.0 => format!("{v:.1}"),
        v => format!("{v:.3}"),
    }
}
