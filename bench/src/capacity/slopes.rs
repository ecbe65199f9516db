//! Costs measured at several sizes.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::costs::apply_us;
use super::costs::catalog;
use super::costs::claim_bytes;
use super::costs::decode_us;
use super::costs::delta;
use super::costs::digest;
use super::costs::grant_bytes;
use super::costs::lease_bytes;
use super::costs::poll_bytes;
use super::costs::resident;
use super::costs::token_us;
use super::costs::usage_bytes;
use super::decisions::decision_us;

/// A measured cost: its values by size.
#[derive(Clone, Debug)]
pub struct Slope {
    /// What is measured.
    pub what: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub of: &'static str,
    /// Median, least and greatest value at each size.
    pub points: Vec<(usize, [f64; 3])>,
}

impl Slope {
    /// The median at the largest size.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, [median, ..])| *median)
    }

    /// The greatest median over the sizes.
    pub fn most(&self) -> f64 {
        self.points.iter().map(|(_, v)| v[0]).fold(0.0, f64::max)
    }
}

/// All slopes, by short name.
pub type Slopes = BTreeMap<&'static str, Slope>;

fn slope(
    what: &'static str,
    unit: &'static str,
    of: &'static str,
    sizes: &[usize],
    repeats: usize,
    cost: impl Fn(usize) -> f64,
) -> Slope {
    let points = sizes.iter().map(|size| {
        let mut values: Vec<f64> = (0..repeats).map(|_| cost(*size)).collect();
        values.sort_by(f64::total_cmp);
        let spread = [
            values[values.len() / 2],
            values[0],
            values[values.len() - 1],
        ];
        (*size, spread)
    });
    Slope {
        what,
        unit,
        of,
        points: points.collect(),
    }
}

/// Adapters of one organisation today, half and all of the letter's.
const ADAPTERS: [usize; 3] = [3_000, 7_000, 14_000];

/// Repeats of the memory slope, whose copies are never freed.
const RESIDENT_REPEATS: usize = 3;

/// Measures everything; each cost `repeats` times.
pub fn measure(repeats: usize) -> Slopes {
    let r = repeats;
    BTreeMap::from([
        (
            "snapshot",
            slope(
                "catalog on the wire",
                "bytes an adapter",
                "adapters",
                &ADAPTERS,
                1,
                |n| {
                    let json = serde_json::to_vec(&catalog(n)).unwrap_or_default();
                    json.len() as f64 / n as f64
                },
            ),
        ),
        (
            "resident",
            slope(
                "catalog in memory",
                "bytes an adapter",
                "adapters",
                &ADAPTERS,
                r.min(RESIDENT_REPEATS),
                resident,
            ),
        ),
        (
            "apply",
            slope(
                "one change applied",
                "us",
                "adapters",
                &ADAPTERS,
                r,
                apply_us,
            ),
        ),
        (
            "decode",
            slope(
                "catalog read from the wire",
                "us an adapter",
                "adapters",
                &ADAPTERS,
                r,
                decode_us,
            ),
        ),
        (
            "delta",
            slope(
                "one change on the wire",
                "bytes",
                "changes in the set",
                &[1, 4, 16],
                1,
                delta,
            ),
        ),
        (
            "digest",
            slope("a heartbeat", "bytes", "members", &[9, 100, 700], 1, digest),
        ),
        (
            "decision",
            slope(
                "a request's decisions, 14,000 adapters",
                "us",
                "replicas",
                &[12, 37, 58],
                r,
                |n| decision_us(n, 14_000),
            ),
        ),
        (
            "decision_adapters",
            slope(
                "a request's decisions, 58 replicas",
                "us",
                "adapters",
                &ADAPTERS,
                r,
                |n| decision_us(58, n),
            ),
        ),
        (
            "token",
            slope(
                "a token checked",
                "us",
                "tokens in a piece",
                &[1, 4, 16],
                r,
                token_us,
            ),
        ),
        (
            "claim",
            slope(
                "a claim in its journal",
                "bytes",
                "claims",
                &[10, 100, 1_000],
                1,
                claim_bytes,
            ),
        ),
        (
            "lease",
            slope(
                "a lease object",
                "bytes",
                "entries named",
                &[0, 9, 100],
                1,
                lease_bytes,
            ),
        ),
        (
            "usage",
            slope(
                "a row of usage",
                "bytes",
                "rows",
                &[100, 1_000, 2_000],
                1,
                usage_bytes,
            ),
        ),
        (
            "poll",
            slope(
                "a load report asked for",
                "bytes",
                "slots",
                &[8, 16, 32],
                1,
                poll_bytes,
            ),
        ),
        (
            "grant",
            slope(
                "messages of one request",
                "bytes",
                "avoided replicas",
                &[0, 1, 3],
                1,
                grant_bytes,
            ),
        ),
    ])
}

/// The slopes as a Markdown table.
pub fn table(slopes: &Slopes) -> String {
    let mut out =
        String::from("| slope | unit | sizes | median (least to greatest) |\n|---|---|---|---|\n");
    for s in slopes.values() {
        let sizes: Vec<_> = s.points.iter().map(|(n, _)| n.to_string()).collect();
        let values: Vec<_> = s
            .points
            .iter()
            .map(|(_, [m, a, b])| match a == b {
                true => format!("{m:.1}"),
                false => format!("{m:.1} ({a:.1} to {b:.1})"),
            })
            .collect();
        let _ = writeln!(
            out,
            "| {} | {} | {} {} | {} |",
            s.what,
            s.unit,
            sizes.join(", "),
            s.of,
            values.join(", ")
        );
    }
    out
}
