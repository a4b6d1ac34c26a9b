//! Choice of engines: cache affinity of shared parts, and separate engines for streams with short gap targets.

use std::collections::HashMap;
use std::collections::HashSet;

use waxwing_core::Name;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::Load;
use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::lanes::Lane;
use waxwing_core::forwarding::lanes::ServiceDemand;
use waxwing_core::forwarding::placement;
use waxwing_core::forwarding::prompt::Part;
use waxwing_core::forwarding::prompt::Prompt;
use waxwing_core::forwarding::run::RunOutcome;

const LONG: Lane = Lane { index: 2, count: 3 };
const SHORT: Lane = Lane { index: 0, count: 3 };

/// A VM with nine engines.
struct Vm {
    endpoints: Endpoints,
    service: Name,
    data_centre: Name,
}

impl Vm {
    fn new() -> Self {
        let mut endpoints = Endpoints::new();
        for number in 0..9 {
            endpoints.update(Entry {
                id: Name::from(format!("engine-{number}")),
                service: Name::from("pool"),
                address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
                data_centre: Name::from("a"),
                slots: 64,
                is_draining: false,
                cold_ms: 0,
                born_ms: Some(1),
                version: Name::from("v1"),
                sequence: 1,
            });
        }
        Self {
            endpoints,
            service: Name::from("pool"),
            data_centre: Name::from("a"),
        }
    }

    fn choose(&self, prompt: &Prompt, lane: Lane, tried: &[EndpointKey]) -> EndpointKey {
        self.choose_at(prompt, lane, tried, UrgencyLevel::default())
    }

    fn choose_at(
        &self,
        prompt: &Prompt,
        lane: Lane,
        tried: &[EndpointKey],
        level: UrgencyLevel,
    ) -> EndpointKey {
        let request = placement::Request {
            service: &self.service,
            prompt: Some(prompt),
            lane,
            demand: ServiceDemand::default(),
            can_fetch: false,
            level,
            is_repeatable: true,
            data_centre: &self.data_centre,
            software: None,
            tried,
            avoids_limited: false,
            is_trial: false,
            draw: 7,
        };
        placement::choose(
            &placement::Config::default(),
            &self.endpoints,
            &request,
            1_000,
        )
        .unwrap()
        .endpoint
    }

    /// Sets the reported demand of another VM: 20 requests at an engine, with the given unread tokens by urgency level.
    fn set_peer_demand(&mut self, peer: &str, key: EndpointKey, unread: &[u64]) {
        let mut unread_tokens = [0; URGENCY_LEVELS];
        unread_tokens[..unread.len()].copy_from_slice(unread);
        let demand = Demand {
            runs: 20,
            unread_tokens,
        };
        let hash = self.endpoints.get(key).unwrap().hash;
        self.endpoints
            .set_peer_demand(Name::from(peer), vec![(hash, demand)]);
    }

    fn endpoint_id(&self, key: EndpointKey) -> Name {
        self.endpoints.get(key).unwrap().entry.id.clone()
    }
}

fn digest(shared: u64, own: u64) -> Prompt {
    let parts = vec![
        Part {
            id: shared,
            tokens: 13_300,
        },
        Part {
            id: 1_000_000 + own,
            tokens: 3_700,
        },
    ];
    Prompt {
        parts,
        tokens: 17_000,
        output_tokens: 120,
    }
}

fn question(own: u64) -> Prompt {
    let parts = vec![
        Part { id: 1, tokens: 350 },
        Part {
            id: 2_000_000 + own,
            tokens: 1_100,
        },
    ];
    Prompt {
        parts,
        tokens: 1_450,
        output_tokens: 170,
    }
}

/// VMs with the same engines must send a shared part to the same engine, or each engine prefills it.
#[test]
fn same_home() {
    let (first, second) = (Vm::new(), Vm::new());
    for part in 0..40 {
        let prompt = digest(part, part);
        let chosen = first.endpoint_id(first.choose(&prompt, LONG, &[]));
        assert_eq!(
            chosen,
            second.endpoint_id(second.choose(&prompt, LONG, &[]))
        );
    }
}

/// Long prompts delay the tokens of streams on the same engine, so they must not share engines with short-gap streams.
#[test]
fn separate_lanes() {
    let mut vm = Vm::new();
    let mut long = HashSet::new();
    let mut short = HashSet::new();
    for number in 0..60 {
        let key = vm.choose(&digest(number, number), LONG, &[]);
        long.insert(vm.endpoint_id(key));
        let question = question(number);
        let key = vm.choose(&question, SHORT, &[]);
        let run = vm.endpoints.begin_run(
            key,
            Some(&question),
            0,
            None,
            UrgencyLevel::default(),
            1_000,
        );
        vm.endpoints.record_first_byte(run, 50);
        short.insert(vm.endpoint_id(key));
    }
    assert!(long.len() >= 4);
    assert_eq!(short.len(), 3);
    assert!(long.is_disjoint(&short));
}

/// Replays a burst of digests of 40 documents, one per 60 ms over nine engines: with home engines, each document must be
/// prefilled by few engines; the baseline, round robin, prefills it on nearly all of them.
#[test]
fn burst_of_digests() {
    let mut vm = Vm::new();
    let mut engines_by_document: HashMap<u64, HashSet<Name>> = HashMap::new();
    let mut baseline: HashMap<u64, HashSet<u64>> = HashMap::new();
    let mut running = Vec::new();
    for number in 0..400_u64 {
        let now_ms = 1_000 + number * 60;
        let prompt = digest(number * 7 % 40, number);
        let key = vm.choose(&prompt, LONG, &[]);
        let run =
            vm.endpoints
                .begin_run(key, Some(&prompt), 0, None, UrgencyLevel::default(), now_ms);
        engines_by_document
            .entry(number * 7 % 40)
            .or_default()
            .insert(vm.endpoint_id(key));
        baseline
            .entry(number * 7 % 40)
            .or_default()
            .insert(number % 9);
        running.push((now_ms + 900, run));
        while let Some((end_ms, run)) = running.first().copied() {
            if end_ms > now_ms {
                break;
            }
            vm.endpoints.record_first_byte(run, 900);
            vm.endpoints.end_run(run, RunOutcome::Answered, now_ms);
            running.remove(0);
        }
    }
    let prefills: usize = engines_by_document.values().map(HashSet::len).sum();
    let baseline_prefills: usize = baseline.values().map(HashSet::len).sum();
    assert!(prefills <= 80, "{prefills} prefills of 40 documents");
    assert!(
        prefills * 4 <= baseline_prefills,
        "{prefills} against {baseline_prefills}"
    );
}

/// A home with a far longer prefill backlog than the others must be avoided, also when other VMs caused the backlog.
#[test]
fn overloaded_home() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let home = vm.choose(&prompt, LONG, &[]);
    vm.set_peer_demand("vm-2", home, &[400_000, 0, 0, 0]);
    assert_ne!(vm.choose(&prompt, LONG, &[]), home);
    vm.endpoints.drop_peer(&Name::from("vm-2"));
    assert_eq!(vm.choose(&prompt, LONG, &[]), home);
}

/// Urgent requests must not avoid an engine because of less urgent ones in its queue, since the engine prefills urgent
/// prompts first (TIER on qaghaz-fleet-grown, scale-1, seed 101077066482: drafts filled the engines of their lane while
/// digests waited).
#[test]
fn urgent_first() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let home = vm.choose(&prompt, LONG, &[]);
    vm.set_peer_demand("vm-2", home, &[0, 0, 400_000, 0]);
    let load = Load {
        running: 20,
        waiting: 20,
        slowness_percent: 100,
    };
    vm.endpoints.record_load(home, load, 1_000);
    assert_ne!(
        vm.choose_at(&prompt, LONG, &[], UrgencyLevel::from(2)),
        home
    );
    assert_eq!(
        vm.choose_at(&prompt, LONG, &[], UrgencyLevel::from(1)),
        home
    );
}

/// A request must not be sent to the same endpoint twice.
#[test]
fn tried_endpoints() {
    let vm = Vm::new();
    let prompt = digest(3, 3);
    let mut tried = Vec::new();
    for _ in 0..9 {
        let key = vm.choose(&prompt, LONG, &tried);
        assert!(!tried.contains(&key));
        tried.push(key);
    }
}

/// An engine with requests waiting for memory must be avoided even without a prefill backlog (TIER on qaghaz-fleet-grown,
/// scale-1, seed 101077066482: drafts waited until their deadline).
#[test]
fn waiting_requests() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let home = vm.choose(&prompt, LONG, &[]);
    let load = Load {
        running: 40,
        waiting: 60,
        slowness_percent: 100,
    };
    vm.endpoints.record_load(home, load, 1_000);
    assert_ne!(vm.choose(&prompt, LONG, &[]), home);
}

/// Guards against a panic when all engines of a service are gone or leaving.
#[test]
fn no_engines() {
    let mut vm = Vm::new();
    for number in 0..9 {
        vm.endpoints
            .disable(&Name::from(format!("engine-{number}")));
    }
    let prompt = digest(3, 3);
    let request = placement::Request {
        service: &vm.service,
        prompt: Some(&prompt),
        lane: LONG,
        demand: ServiceDemand::default(),
        can_fetch: true,
        level: UrgencyLevel::default(),
        is_repeatable: true,
        data_centre: &vm.data_centre,
        software: None,
        tried: &[],
        avoids_limited: false,
        is_trial: false,
        draw: 7,
    };
    let config = placement::Config::default();
    assert_eq!(
        placement::choose(&config, &vm.endpoints, &request, 1_000),
        None
    );
}

/// A prompt that is not sent to its overloaded home must fetch the shared part from there instead of repeating the prefill,
/// unless the home is suspect or the engines cannot fetch.
#[test]
fn spilled_prompt() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let choose = |vm: &Vm, can_fetch| {
        let request = placement::Request {
            service: &vm.service,
            prompt: Some(&prompt),
            lane: LONG,
            demand: ServiceDemand::default(),
            can_fetch,
            level: UrgencyLevel::default(),
            is_repeatable: true,
            data_centre: &vm.data_centre,
            software: None,
            tried: &[],
            avoids_limited: false,
            is_trial: false,
            draw: 7,
        };
        let config = placement::Config {
            fetches_shared_parts: true,
            ..placement::Config::default()
        };
        placement::choose(&config, &vm.endpoints, &request, 1_000).unwrap()
    };
    let home = choose(&vm, true);
    assert_eq!(home.source, None, "the home needs no source");
    vm.set_peer_demand("vm-2", home.endpoint, &[1_000_000]);
    let spilled = choose(&vm, true);
    assert_ne!(spilled.endpoint, home.endpoint);
    assert_eq!(spilled.source, Some(home.endpoint));
    assert_eq!(choose(&vm, false).source, None);
    vm.endpoints.suspect(home.endpoint, 1_000);
    assert_eq!(choose(&vm, true).source, None, "the home is suspect");
}

/// A new demand report of a VM must replace its previous one, and a removed VM's report must be dropped.
#[test]
fn replaced_demand() {
    let mut vm = Vm::new();
    let home = vm.choose(&digest(3, 3), LONG, &[]);
    let unread = |vm: &Vm| vm.endpoints.unread_tokens(home);
    vm.set_peer_demand("vm-2", home, &[7, 0, 0, 1]);
    vm.set_peer_demand("vm-3", home, &[100, 0, 0, 0]);
    vm.set_peer_demand("vm-2", home, &[0, 20, 0, 0]);
    assert_eq!(unread(&vm), 120);
    vm.endpoints.drop_peer(&Name::from("vm-3"));
    assert_eq!(unread(&vm), 20);
    vm.endpoints.set_peer_demand(Name::from("vm-2"), Vec::new());
    assert_eq!(unread(&vm), 0);
    vm.endpoints.drop_peer(&Name::from("vm-2"));
    assert_eq!(unread(&vm), 0);
}
