//! Admission by API key and by the age of the configuration.

use banyangauge::pool::Span;
use banyangauge::serving::KeyDigest;
use banyangauge::serving::Organisation;
use banyangauge::serving::access::ApiKeys;
use banyangauge::serving::access::ConfigAge;
use banyangauge::serving::access::Denial;
use banyangauge::serving::access::KeyBounds;
use rstest::rstest;

const REVOKE: Span = Span::from_millis(5_000);

fn keys() -> ApiKeys {
    ApiKeys::new(&[Organisation {
        name: "halls".parse().unwrap(),
        keys: [KeyDigest::of(b"one"), KeyDigest::of(b"two")].into(),
        limit: None,
        priority: 0,
    }])
}

fn bounds(strict: bool) -> KeyBounds {
    KeyBounds {
        revoke: strict.then_some(REVOKE),
        apply: Span::from_millis(3_000),
    }
}

fn aged(confirmed: Option<u64>, estimated: u64) -> ConfigAge {
    ConfigAge {
        confirmed: confirmed.map(Span::from_millis),
        estimated: Some(Span::from_millis(estimated)),
    }
}

#[rstest]
#[case::known("two", false, Some(100), 100, Ok(Some("halls")))]
#[case::unknown("three", false, Some(100), 100, Err(Denial::UnknownKey))]
#[case::unknown_to_an_old_vm("three", false, Some(4_000), 3_500, Err(Denial::StaleConfig))]
#[case::known_and_not_proven("two", false, None, 100, Err(Denial::StaleConfig))]
#[case::known_and_proven_too_long_ago("two", false, Some(5_000), 100, Err(Denial::StaleConfig))]
#[case::public("two", true, Some(100), 100, Ok(Some("halls")))]
#[case::public_without_a_holder("three", true, Some(100), 100, Ok(None))]
#[case::public_and_not_proven("two", true, None, 100, Ok(None))]
fn admit_by_age(
    #[case] key: &str,
    #[case] public: bool,
    #[case] confirmed: Option<u64>,
    #[case] estimated: u64,
    #[case] expected: Result<Option<&str>, Denial>,
) {
    let key = KeyDigest::of(key.as_bytes());
    let config_age = aged(confirmed, estimated);
    let admitted = bounds(true).admit(Some(&keys()), public, Some(&key), &config_age);
    let admitted = admitted.map(|o| o.map(|o| o.name.to_string()));
    assert_eq!(admitted, expected.map(|o| o.map(str::to_owned)));
}

#[test]
fn admit_without_key() {
    let admitted = bounds(true).admit(Some(&keys()), false, None, &aged(Some(0), 0));
    assert_eq!(admitted, Err(Denial::UnknownKey));
}

#[test]
fn admit_if_keys_are_not_in_use() {
    let admitted = bounds(true).admit(None, false, None, &ConfigAge::default());
    assert_eq!(admitted, Ok(None));
}

/// If only VMs that can reach the store must enforce revocations, the others keep
/// admitting requests.
#[test]
fn admit_if_revocation_is_not_strict() {
    let key = KeyDigest::of(b"one");
    let admitted = bounds(false).admit(Some(&keys()), false, Some(&key), &aged(None, 60_000));
    assert!(admitted.is_ok_and(|o| o.is_some()));
}
