//! The urgency that engines are told.

use std::collections::BTreeMap;
use std::time::Duration;

use banyangauge::pool::Moment;
use banyangauge::serving::Config;
use banyangauge::serving::Engine;
use banyangauge::serving::Limits;
use banyangauge::serving::Organisation;
use banyangauge::serving::Rank;
use banyangauge::serving::Route;
use banyangauge::serving::RouteKind;
use banyangauge::serving::Service;
use banyangauge::serving::Urgencies;
use banyangauge::serving::urgency_when_sent;
use proptest::prelude::*;
use rstest::rstest;

fn service(name: &str, engine: bool) -> Service {
    Service {
        name: name.parse().unwrap(),
        connections: 9,
        health_path: None,
        engine: engine.then(|| Engine {
            slots: 8,
            kv_tokens: 1_000,
            adapter_slots: 2,
            event_tokens: 1,
            models: BTreeMap::new(),
            load_rate: 1.0,
        }),
    }
}

fn route(service: &str, priority: u32, public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(800),
        max_attempts: 1,
        priority,
        services: vec![(service.parse().unwrap(), 1)],
        resumable: false,
        max_gap: None,
        public,
    }
}

/// A configuration with routes to `llm` of these priorities, organisations of these, and a
/// service `app` without an engine.
fn config(routes: &[u32], organisations: Option<&[u32]>, public: bool) -> Config {
    let services = [service("llm", true), service("app", false)];
    let organisation = |(n, priority): (usize, &u32)| Organisation {
        name: format!("o{n}").parse().unwrap(),
        keys: [].into(),
        limit: None,
        priority: *priority,
    };
    let routes = routes.iter().map(|p| route("llm", *p, public));
    let app = [route("app", 0, false), route("app", 9, false)];
    Config {
        version: 1,
        routes: routes.chain(app).collect(),
        services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        limits: Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        organisations: organisations.map(|o| o.iter().enumerate().map(organisation).collect()),
    }
}

fn find(config: &Config, service: &str, organisation: u32, route: u32) -> Option<u8> {
    let rank = Rank {
        organisation,
        route,
    };
    Urgencies::new(config).find(&service.parse().unwrap(), rank)
}

#[rstest]
#[case::first_route(&[0, 3, 9], None, 0, 0, Some(2))]
#[case::second_route(&[0, 3, 9], None, 0, 3, Some(3))]
#[case::third_route(&[0, 3, 9], None, 0, 9, Some(4))]
#[case::organisation_before_route(&[0, 1], Some(&[4, 7][..]), 7, 0, Some(4))]
#[case::last_of_both(&[0, 1], Some(&[4, 7][..]), 7, 1, Some(5))]
#[case::after_the_sixth(&[0, 1, 2, 3, 4, 5, 6, 7], None, 0, 7, Some(7))]
#[case::one_rank(&[1, 1], None, 0, 1, None)]
#[case::one_rank_of_organisations(&[1], Some(&[2, 2][..]), 2, 1, None)]
fn urgency_by_rank(
    #[case] routes: &[u32],
    #[case] organisations: Option<&[u32]>,
    #[case] organisation: u32,
    #[case] route: u32,
    #[case] urgency: Option<u8>,
) {
    let config = config(routes, organisations, false);
    assert_eq!(find(&config, "llm", organisation, route), urgency);
}

/// A service without an engine gets no header, whatever its priorities.
#[test]
fn urgency_without_an_engine() {
    assert_eq!(find(&config(&[0], None, false), "app", 0, 9), None);
}

/// A caller without a key goes before organisations of priority 1: both ranks are in force.
#[test]
fn urgency_on_a_public_route() {
    let public = config(&[0], Some(&[1]), true);
    assert_eq!(find(&public, "llm", 0, 0), Some(2));
    assert_eq!(find(&public, "llm", 1, 0), Some(3));
    assert_eq!(find(&config(&[0], Some(&[1]), false), "llm", 1, 0), None);
}

proptest! {
    /// A more urgent rank is never told as less urgent, a late one never as more urgent, and
    /// all stay within what engines know.
    #[test]
    fn urgency_keeps_the_order(
        routes in prop::collection::vec(0..6_u32, 1..6),
        organisations in prop::collection::vec(0..6_u32, 1..5),
        late in any::<bool>(),
    ) {
        let config = config(&routes, Some(&organisations), false);
        let mut pairs: Vec<_> = organisations
            .iter()
            .flat_map(|o| routes.iter().map(move |r| (*o, *r)))
            .collect();
        pairs.sort_unstable();
        pairs.dedup();
        let told: Vec<_> = pairs.iter().map(|(o, r)| find(&config, "llm", *o, *r)).collect();
        prop_assert_eq!(told[0].is_some(), pairs.len() > 1);
        prop_assert!(told.is_sorted());
        for urgency in told.into_iter().flatten() {
            let sent = urgency_when_sent(urgency, Moment(u64::from(late)), Moment(0));
            prop_assert_eq!(sent, urgency + if late { 2 } else { 0 });
            prop_assert!((2..=9).contains(&sent));
        }
    }
}
