//! The table and the closing line.

use super::Row;
use super::Rows;
use super::figures::Figures;
use super::work::Scenario;

/// Columns of the table: heading, digits after the point, value.
type Column = (&'static str, usize, fn(&Figures) -> f64);

const COLUMNS: [Column; 13] = [
    ("stalled", 0, |f| f.stalled),
    ("stall_s", 0, |f| f.stall_sum),
    ("stall_p99", 2, |f| f.stall_p99),
    ("batch", 3, |f| f.batch),
    ("short_p50", 2, |f| f.short_p50),
    ("short_p99", 2, |f| f.short_p99),
    ("long_p50", 2, |f| f.long_p50),
    ("long_p99", 2, |f| f.long_p99),
    ("late", 0, |f| f.late),
    ("refused", 0, |f| f.refused),
    ("long_lost", 0, |f| f.long_lost),
    ("fairness", 3, |f| f.fairness),
    ("loads", 0, |f| f.loads),
];

/// The ratios of the closing line: name, whether lower is better, value.
type Ratio = (&'static str, bool, fn(&Rows) -> f64);

const RATIOS: [Ratio; 8] = [
    ("stall_ratio", true, |r| over(r, Row::Naive, |f| f.stalled)),
    ("stall_vs_affinity", true, |r| {
        over(r, Row::Affinity, |f| f.stalled)
    }),
    ("batch_ratio", false, |r| over(r, Row::Naive, |f| f.batch)),
    ("batch_vs_affinity", false, |r| {
        over(r, Row::Affinity, |f| f.batch)
    }),
    ("short_p99_ratio", true, |r| {
        over(r, Row::Naive, |f| f.short_p99)
    }),
    ("late_ratio", true, |r| over(r, Row::Naive, |f| f.late)),
    ("refused_ratio", true, |r| {
        over(r, Row::Naive, |f| f.refused)
    }),
    ("fairness", false, |r| {
        value(r, Row::Current, |f| f.fairness)
    }),
];

fn value(rows: &Rows, row: Row, f: fn(&Figures) -> f64) -> f64 {
    rows.get(&row).map_or(0.0, f)
}

/// The current policy's value over another's; equal when both are nothing.
fn over(rows: &Rows, row: Row, f: fn(&Figures) -> f64) -> f64 {
    let (current, other) = (value(rows, Row::Current, f), value(rows, row, f));
    match (current, other) {
        (0.0, 0.0) => 1.0,
        (current, other) => current / other,
    }
}

/// The middle of the values, the lower of two.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(0.0)
}

/// Prints a row a policy: the medians over the seeds.
pub fn print(deployment: &str, scenario: Scenario, seeds: &[u64], all: &[Rows]) {
    let offered = median(
        all.iter()
            .map(|r| value(r, Row::Naive, |f| f.offered))
            .collect(),
    );
    println!(
        "\n{deployment} {}: seeds {} to {}, {offered:.0} requests counted, medians",
        scenario.word(),
        seeds.first().unwrap_or(&0),
        seeds.last().unwrap_or(&0),
    );
    print!("{:<12}", "");
    for (heading, _, _) in COLUMNS {
        print!("{heading:>10}");
    }
    println!();
    for row in Row::ALL {
        print!("{:<12}", row.word());
        for (_, digits, f) in COLUMNS {
            let x = median(all.iter().map(|r| value(r, row, f)).collect());
            print!("{x:>10.digits$}");
        }
        println!();
    }
}

/// Prints the closing line of a scenario, and with several seeds the worst.
pub fn closing(deployment: &str, scenario: Scenario, all: &[Rows]) {
    let line = |pick: &dyn Fn(Vec<f64>, bool) -> f64| {
        let one = |(name, lower, f): &Ratio| {
            let x = pick(all.iter().map(f).collect(), *lower);
            format!(" {name}={x:.3}")
        };
        RATIOS.iter().map(one).collect::<String>()
    };
    let head = format!("deployment={deployment} scenario={}", scenario.word());
    println!("policy: {head}{}", line(&|values, _| median(values)));
    if all.len() > 1 {
        let worst = |values: Vec<f64>, lower: bool| match lower {
            true => values.into_iter().fold(f64::NEG_INFINITY, f64::max),
            false => values.into_iter().fold(f64::INFINITY, f64::min),
        };
        println!("worst:  {head}{}", line(&worst));
    }
}
