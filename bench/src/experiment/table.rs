//! What the mechanisms are worth, as a table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use super::entries::Day;
use super::plan::Variant;

/// The worth of one day of a deployment without a mechanism, over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worth {
    /// The median over the seeds.
    pub median: f64,
    /// The distance between the least and the most.
    pub spread: f64,
    /// The median of what each seed lost against the whole with that seed;
    /// negative where it gained.
    pub lost: f64,
    /// Seeds.
    pub count: usize,
}

/// A day of a deployment.
type Key = (String, String);

/// The worth of each variant by deployment and day.
pub fn worths(days: &[Day]) -> BTreeMap<(Variant, Key), Worth> {
    let mut groups: BTreeMap<(Variant, Key), BTreeMap<u64, f64>> = BTreeMap::new();
    for day in days {
        let key = (day.site.clone(), day.name.clone());
        let group = groups.entry((day.variant, key)).or_default();
        group.insert(day.seed, day.worth);
    }
    let worth = |(variant, key): &(Variant, Key), group: &BTreeMap<u64, f64>| {
        let whole = groups.get(&(Variant(None), key.clone()));
        let lost = group.iter().filter_map(|(seed, worth)| {
            let whole = whole?.get(seed)?;
            Some(whole - worth)
        });
        let values: Vec<f64> = group.values().copied().collect();
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let worth = Worth {
            median: median(values),
            spread: most - least,
            lost: median(lost.collect()),
            count: group.len(),
        };
        ((*variant, key.clone()), worth)
    };
    groups.iter().map(|(k, group)| worth(k, group)).collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => values[n / 2],
        n => f64::midpoint(values[n / 2 - 1], values[n / 2]),
    }
}

/// The table in Markdown: a row a mechanism, a column a day of a deployment,
/// what is lost without it, and the spread of its worth over the seeds.
pub fn write_table(worths: &BTreeMap<(Variant, Key), Worth>) -> String {
    let keys: BTreeSet<_> = worths.keys().map(|(_, key)| key).collect();
    let variants: BTreeSet<_> = worths.keys().map(|(variant, _)| variant).collect();
    let mut text = String::from("| without |");
    for (site, day) in &keys {
        let _ = write!(text, " {site} {day} |");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(keys.len()));
    for variant in variants {
        let _ = write!(text, "\n| {variant} |");
        for key in &keys {
            let worth = worths.get(&(*variant, (*key).clone()));
            match (worth, variant.0) {
                (None, _) => text.push_str(" |"),
                (Some(w), None) => {
                    let _ = write!(text, " {:.3} (±{:.3}) |", w.median, w.spread / 2.0);
                }
                (Some(w), Some(_)) => {
                    let _ = write!(text, " {:+.3} (±{:.3}) |", -w.lost, w.spread / 2.0);
                }
            }
        }
    }
    text.push('\n');
    text
}
