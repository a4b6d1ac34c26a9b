//! Choice of engines: shared parts stay at their engine, streams with short gap targets keep engines of their own.

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
            tried,
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

    /// Takes in that another VM has 20 requests at an engine, with prompts still to be read.
    fn hear_demand(&mut self, peer: &str, key: EndpointKey, unread: &[u64]) {
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

/// VMs that know the same engines must send a shared part to the same one, or each engine reads it.
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

/// Long prompts delay the tokens of the streams beside them, so the two kinds must not share engines.
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

/// Replays a burst of digests about 40 documents, one each 60 ms over nine engines: with homes, each document is read
/// by few engines; the baseline, the least loaded engine, reads it nearly everywhere.
#[test]
fn burst_of_digests() {
    let mut vm = Vm::new();
    let mut readers: HashMap<u64, HashSet<Name>> = HashMap::new();
    let mut baseline: HashMap<u64, HashSet<u64>> = HashMap::new();
    let mut running = Vec::new();
    for number in 0..400_u64 {
        let now_ms = 1_000 + number * 60;
        let prompt = digest(number * 7 % 40, number);
        let key = vm.choose(&prompt, LONG, &[]);
        let run =
            vm.endpoints
                .begin_run(key, Some(&prompt), 0, None, UrgencyLevel::default(), now_ms);
        readers
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
    let reads: usize = readers.values().map(HashSet::len).sum();
    let reads_of_baseline: usize = baseline.values().map(HashSet::len).sum();
    assert!(reads <= 80, "{reads} first reads of 40 documents");
    assert!(
        reads * 4 <= reads_of_baseline,
        "{reads} against {reads_of_baseline}"
    );
}

/// A home that has far more to read than the others must be passed over, also when other VMs caused it.
#[test]
fn overloaded_home() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let home = vm.choose(&prompt, LONG, &[]);
    vm.hear_demand("vm-2", home, &[400_000, 0, 0, 0]);
    assert_ne!(vm.choose(&prompt, LONG, &[]), home);
    vm.endpoints.drop_peer(&Name::from("vm-2"));
    assert_eq!(vm.choose(&prompt, LONG, &[]), home);
}

/// Urgent requests must not avoid an engine because of less urgent ones that wait there: the engine reads theirs first
/// (TIER on qaghaz-fleet-grown, scale-1, seed 101077066482: drafts filled their own engines while digests waited).
#[test]
fn urgent_first() {
    let mut vm = Vm::new();
    let prompt = digest(3, 3);
    let home = vm.choose(&prompt, LONG, &[]);
    vm.hear_demand("vm-2", home, &[0, 0, 400_000, 0]);
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

/// A request must not go twice to an endpoint that it was sent to.
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

/// An engine that makes requests wait for memory must be passed over although it has nothing left to read (TIER on
/// qaghaz-fleet-grown, scale-1, seed 101077066482: drafts waited until their time was over).
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

/// A service whose engines are all gone or leaving has none to choose; the process must survive that.
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
        tried: &[],
        draw: 7,
    };
    let config = placement::Config::default();
    assert_eq!(
        placement::choose(&config, &vm.endpoints, &request, 1_000),
        None
    );
}

/// A prompt that goes elsewhere since its home is overloaded must fetch the shared part from there, not read it again; but not
/// from an engine that failed, nor where engines cannot do that.
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
            tried: &[],
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
    vm.hear_demand("vm-2", home.endpoint, &[1_000_000]);
    let spilled = choose(&vm, true);
    assert_ne!(spilled.endpoint, home.endpoint);
    assert_eq!(spilled.source, Some(home.endpoint));
    assert_eq!(choose(&vm, false).source, None);
    vm.endpoints.suspect(home.endpoint, 1_000);
    assert_eq!(choose(&vm, true).source, None, "the home is suspected");
}

/// What another VM said before must not count beside what it says now, nor after it is gone.
#[test]
fn replaced_demand() {
    let mut vm = Vm::new();
    let home = vm.choose(&digest(3, 3), LONG, &[]);
    let unread = |vm: &Vm| vm.endpoints.unread_tokens(home);
    vm.hear_demand("vm-2", home, &[7, 0, 0, 1]);
    vm.hear_demand("vm-3", home, &[100, 0, 0, 0]);
    vm.hear_demand("vm-2", home, &[0, 20, 0, 0]);
    assert_eq!(unread(&vm), 120);
    vm.endpoints.drop_peer(&Name::from("vm-3"));
    assert_eq!(unread(&vm), 20);
    vm.endpoints.set_peer_demand(Name::from("vm-2"), Vec::new());
    assert_eq!(unread(&vm), 0);
    vm.endpoints.drop_peer(&Name::from("vm-2"));
    assert_eq!(unread(&vm), 0);
}
