//! Lookups in a configuration: routes by host and prefix, organisations by key, weights, lanes.

use waxwing_core::Name;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::configuration::Limits;
use waxwing_core::forwarding::configuration::Organisation;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::configuration::RouteKind;
use waxwing_core::forwarding::configuration::Target;
use waxwing_core::forwarding::lanes::Lane;

fn route(name: &str, prefix: &str, gap_target_ms: Option<u64>) -> Route {
    let target = |service: &str, weight| Target {
        service: Name::from(service),
        weight,
    };
    Route {
        name: Name::from(name),
        host: "Shop.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Stream,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 1,
        attempts_max: 1,
        is_public: false,
        is_resumable: false,
        gap_target_ms,
        targets: vec![target("pool", 90), target("canary", 10)],
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let organisation = Organisation {
        name: Name::from("team"),
        keys: vec!["k".to_owned()],
        priority: None,
    };
    Configuration::new(
        1,
        Limits::default(),
        routes,
        Vec::new(),
        Some(vec![organisation]),
    )
}

/// The longest prefix wins regardless of the order of the routes; hosts are compared without case and port.
#[test]
fn longest_prefix() {
    let table = configuration(vec![
        route("short", "/a/", None),
        route("long", "/a/b/", None),
    ]);
    let name = |host: &str, path: &str| {
        table
            .find_route(host, path)
            .map(|r| r.name.as_str().to_owned())
    };
    assert_eq!(name("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("SHOP.example:80", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("shop.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/c"), None);
}

/// An unknown key must not match an organisation.
#[test]
fn key_holder() {
    let table = configuration(vec![route("r", "/a/", None)]);
    assert_eq!(
        table.organisation_by_key("k").unwrap().name,
        Name::from("team")
    );
    assert!(table.organisation_by_key("").is_none());
    assert!(table.needs_keys());
}

/// Requests are split by the weights of the services.
#[test]
fn weighted_split() {
    let route = route("r", "/a/", None);
    let canary = (0..1_000).filter(|draw| route.pick_service(*draw) == Some(&Name::from("canary")));
    assert_eq!(canary.count(), 100);
}

/// Routes with the same gap target share a lane.
#[test]
fn lanes_by_gap() {
    let routes = vec![
        route("tight", "/a/", Some(200)),
        route("wide", "/b/", Some(800)),
        route("tight-too", "/c/", Some(200)),
    ];
    let table = configuration(routes);
    let pool = Name::from("pool");
    let lane = |path: &str| table.lane(&pool, table.find_route("shop.example", path).unwrap());
    assert_eq!(lane("/a/"), Lane { index: 0, count: 2 });
    assert_eq!(lane("/c/"), Lane { index: 0, count: 2 });
    assert_eq!(lane("/b/"), Lane { index: 1, count: 2 });
}
