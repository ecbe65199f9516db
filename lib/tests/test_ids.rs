//! Parsing of adapter versions.

use banyangauge::ids::AdapterVersion;
use rstest::rstest;

#[rstest]
#[case::no_version("a")]
#[case::zero("a@0")]
#[case::not_a_number("a@x")]
#[case::empty_name("@1")]
#[case::slash("a/b@1")]
fn parse_rejected(#[case] s: &str) {
    assert!(s.parse::<AdapterVersion>().is_err());
}

#[test]
fn parse_round_trip() {
    let a: AdapterVersion = "rosters@3".parse().unwrap();
    assert_eq!(a.to_string().parse::<AdapterVersion>().unwrap(), a);
}
