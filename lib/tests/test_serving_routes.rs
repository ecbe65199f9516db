//! Selection of a request's route and service.

use std::time::Duration;

use banyangauge::serving::Route;
use banyangauge::serving::RouteKind;
use banyangauge::serving::Routes;
use banyangauge::serving::pick_service;
use rstest::rstest;

fn route(prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 1,
        priority: 0,
        services: services
            .iter()
            .map(|(s, w)| (s.parse().unwrap(), *w))
            .collect(),
        resumable: false,
        max_gap: None,
        public: false,
    }
}

#[rstest]
#[case::longest("h.example", "/a/b/c", Some("/a/b/"))]
#[case::shorter("h.example", "/a/x", Some("/a/"))]
#[case::case_and_port("H.Example:8080", "/a/x", Some("/a/"))]
#[case::whole_segments("h.example", "/ab", None)]
#[case::other_host("g.example", "/a/x", None)]
fn find_route(#[case] host: &str, #[case] path: &str, #[case] prefix: Option<&str>) {
    let routes = Routes::new(&[route("/a/", &[]), route("/a/b/", &[])]);
    let found = routes.find(host, path).map(|r| r.prefix.as_str());
    assert_eq!(found, prefix);
}

#[test]
fn pick_service_follows_weights() {
    let route = route("/a/", &[("one", 90), ("two", 10), ("none", 0)]);
    let count = |service: &str| {
        let ids = (0..1_000).map(|n| n.to_string());
        let picked = ids.filter_map(|id| pick_service(&route, &id).map(|s| s.to_string()));
        picked.filter(|s| s == service).count()
    };
    assert!((60..=140).contains(&count("two")));
    assert_eq!(count("none"), 0);
}
