//! Plans of experiments, and their tables.

use banyangauge::serving::Mechanism;
use banyangauge_bench::experiment::Day;
use banyangauge_bench::experiment::Plan;
use banyangauge_bench::experiment::read_entries;
use banyangauge_bench::experiment::worths;
use banyangauge_bench::experiment::write_table;
use rstest::rstest;

const PLAN: &str = r#"
player = "player"
folder = "out"
sites = ["a.toml"]
days = ["calm"]
seeds = [1, 2]
mechanisms = ["homes"]
jobs = 1
"#;

#[test]
fn plan_plays_the_whole_first() {
    let plan = Plan::parse(PLAN).unwrap();
    let variants = plan.variants();
    let words: Vec<_> = variants.iter().map(ToString::to_string).collect();
    assert_eq!(words, ["whole", "homes"]);
}

#[rstest]
#[case::unknown_mechanism("\"homes\"", "\"luck\"")]
#[case::no_jobs("jobs = 1", "jobs = 0")]
#[case::unknown_field("jobs = 1", "jobs = 1\nmore = 2")]
fn plan_refused(#[case] right: &str, #[case] wrong: &str) {
    assert!(Plan::parse(&PLAN.replace(right, wrong)).is_err());
}

/// Seeds are compared each with itself: a day that is better for all does not
/// hide what is lost.
#[test]
fn table_shows_what_is_lost() {
    let variants = Plan::parse(PLAN).unwrap().variants();
    let day = |n: usize, seed, worth| Day {
        variant: variants[n],
        site: "a".to_owned(),
        name: "calm".to_owned(),
        seed,
        worth,
    };
    let days = [
        day(0, 1, 0.50),
        day(0, 2, 0.70),
        day(1, 1, 0.45),
        day(1, 2, 0.66),
    ];
    let all = worths(&days);
    let key = ("a".to_owned(), "calm".to_owned());
    let homes = all[&(variants[1], key)];
    assert!((homes.lost - 0.045).abs() < 1e-9);
    assert_eq!(homes.count, 2);
    let table = write_table(&all);
    assert!(table.contains("| homes | -0.045 (±0.105) |"), "{table}");
}

#[test]
fn entries_of_others_are_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    let entry = |why: &str| {
        format!(r#"{{"why":"{why}","site":"a","days":[{{"G":0.5,"name":"calm","seed":3}}]}}"#)
    };
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    write("1.json", &entry("trial: without homes"));
    write("2.json", &entry("something else"));
    write("3.json", "no entry");
    let homes = Plan::parse(PLAN).unwrap().variants()[1];
    assert_eq!(homes.0, Some(Mechanism::Homes));
    let days = read_entries(folder.path(), &homes).unwrap();
    assert_eq!(days.len(), 1);
    assert_eq!((days[0].seed, days[0].worth), (3, 0.5));
}
