//! Notices of endpoints in responses: leaving is final for an incarnation, and a pause is respected to its end.

use waxwing_core::Name;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::lanes::Lane;
use waxwing_core::forwarding::lanes::ServiceDemand;
use waxwing_core::forwarding::placement;
use waxwing_core::forwarding::placement::Opening;
use waxwing_core::forwarding::placement::Request;

fn entry(id: &str, born_ms: u64, sequence: u64) -> Entry {
    Entry {
        id: Name::from(id),
        service: Name::from("pool"),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: Name::from("a"),
        slots: 4,
        is_draining: false,
        cold_ms: 0,
        born_ms: Some(born_ms),
        version: Name::from("v1"),
        sequence,
    }
}

/// Returns the id of the endpoint that a request goes to.
fn choose(endpoints: &Endpoints, now_ms: u64) -> Option<String> {
    let config = placement::Config::default();
    let (service, data_centre) = (Name::from("pool"), Name::from("a"));
    let request = Request {
        service: &service,
        prompt: None,
        lane: Lane::default(),
        demand: ServiceDemand::default(),
        can_fetch: false,
        level: UrgencyLevel::default(),
        is_repeatable: true,
        data_centre: &data_centre,
        software: None,
        tried: &[],
        avoids_limited: false,
        is_trial: false,
        draw: 1,
    };
    let choice = placement::choose(&config, endpoints, &request, now_ms)?;
    Some(endpoints.get(choice.endpoint)?.entry.id.as_str().to_owned())
}

/// Guards against requests to a leaving endpoint whose entry is not draining, or expires and is renewed.
#[test]
fn leaving_is_final() {
    let mut endpoints = Endpoints::new();
    endpoints.update(entry("e", 1, 1));
    let id = Name::from("e");
    let key = endpoints.find(&id).unwrap();
    assert!(endpoints.record_leaving(key));
    assert!(
        !endpoints.record_leaving(key),
        "the second notice was already known"
    );
    assert_eq!(choose(&endpoints, 0), None);
    endpoints.update(entry("e", 1, 2));
    assert_eq!(choose(&endpoints, 0), None, "a later entry");
    endpoints.remove(&id, 0);
    endpoints.update(entry("e", 1, 3));
    assert_eq!(
        choose(&endpoints, 0),
        None,
        "the entry expired and was renewed"
    );
    endpoints.update(entry("e", 2, 1));
    assert_eq!(
        choose(&endpoints, 0),
        Some("e".to_owned()),
        "a new incarnation"
    );
}

/// Guards against a leaving notice from another VM that is lost, whether it arrives before or after the entry.
#[test]
fn leaving_is_propagated() {
    let mut source = Endpoints::new();
    source.update(entry("e", 1, 1));
    let key = source.find(&Name::from("e")).unwrap();
    source.record_leaving(key);
    let notices = source.leaving_endpoints(8);
    assert_eq!(notices.len(), 1);
    let mut with_entry = Endpoints::new();
    with_entry.update(entry("e", 1, 1));
    assert_eq!(with_entry.merge_leaving(&notices).len(), 1);
    assert!(with_entry.merge_leaving(&notices).is_empty());
    let mut without_entry = Endpoints::new();
    without_entry.merge_leaving(&notices);
    without_entry.update(entry("e", 1, 1));
    for endpoints in [&with_entry, &without_entry] {
        assert_eq!(choose(endpoints, 0), None);
        assert_eq!(
            endpoints.leaving_endpoints(8),
            notices,
            "the notice is passed on"
        );
    }
}

/// Guards against requests during a pause, even if no other endpoint is left, its entry is renewed, or a second notice
/// requests a shorter pause.
#[test]
fn pause_is_kept() {
    let mut endpoints = Endpoints::new();
    endpoints.update(entry("e", 1, 1));
    let id = Name::from("e");
    let key = endpoints.find(&id).unwrap();
    endpoints.pause(key, 2_000, 100);
    endpoints.pause(key, 500, 200);
    assert_eq!(choose(&endpoints, 2_099), None, "the only endpoint left");
    assert_eq!(
        placement::next_opening(
            &endpoints,
            &Name::from("pool"),
            UrgencyLevel::default(),
            2_000
        ),
        Some(Opening {
            endpoint: key,
            wait_ms: 100,
            is_limited: false
        })
    );
    endpoints.remove(&id, 300);
    endpoints.update(entry("e", 1, 2));
    assert_eq!(choose(&endpoints, 2_099), None, "the entry was renewed");
    assert_eq!(choose(&endpoints, 2_100), Some("e".to_owned()));
    // The end of the longest pause must not overflow.
    let key = endpoints.find(&id).unwrap();
    endpoints.pause(key, u64::MAX, 3_000);
    assert_eq!(choose(&endpoints, 1 << 60), None);
    endpoints.update(entry("e", 2, 1));
    assert_eq!(choose(&endpoints, 3_000), Some("e".to_owned()));
}

/// Guards against a pause that moves other engines between lanes, which would repeat the prefill of shared parts.
#[test]
fn pause_keeps_lanes() {
    let mut endpoints = Endpoints::new();
    endpoints.update(entry("e", 1, 1));
    let key = endpoints.find(&Name::from("e")).unwrap();
    endpoints.pause(key, 2_000, 0);
    let endpoint = endpoints.get(key).unwrap();
    assert!(endpoint.is_usable() && !endpoint.is_available(UrgencyLevel::default(), 0));
}

/// Guards against an order of entries and notices that makes a leaving incarnation available.
#[test]
fn random_orders() {
    use rand::Rng;
    use rand::SeedableRng;
    for seed in 0..200 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut endpoints = Endpoints::new();
        let mut is_leaving = [false; 3];
        let id = Name::from("e");
        for step in 0..40 {
            let born = random.random_range(0..3usize);
            match random.random_range(0..4) {
                0 => {
                    endpoints.update(entry("e", born as u64, step));
                }
                1 => {
                    endpoints.remove(&id, step);
                }
                2 => {
                    let Some(key) = endpoints.find(&id) else {
                        continue;
                    };
                    let born_ms = endpoints.get(key).unwrap().entry.born_ms.unwrap();
                    endpoints.record_leaving(key);
                    is_leaving[born_ms as usize] = true;
                }
                _ => {
                    let mut other = Endpoints::new();
                    other.update(entry("e", born as u64, 1));
                    other.record_leaving(other.find(&id).unwrap());
                    endpoints.merge_leaving(&other.leaving_endpoints(1));
                    is_leaving[born] = true;
                }
            }
            let chosen = choose(&endpoints, step);
            let Some(key) = endpoints.find(&id) else {
                continue;
            };
            let born_ms = endpoints.get(key).unwrap().entry.born_ms.unwrap();
            assert_eq!(
                chosen.is_none(),
                is_leaving[born_ms as usize],
                "seed {seed}, step {step}"
            );
        }
    }
}
