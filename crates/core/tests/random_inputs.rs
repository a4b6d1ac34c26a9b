//! Guards against faults that only unusual input sequences trigger: endpoints above their slot limit, requests that get
//! no decision or two, shedding or preemption of the wrong requests, and requests that wait forever.

#[path = "fixture/shard.rs"]
mod shard;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::EndpointSpec;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_core::state::settings::Policy;

use shard::Shard;
use shard::slot_request;
use shard::ticket;

const TICKETS: u64 = 40;

/// Time past its deadline after which the scheduler frees the slot of a running request, in milliseconds.
const OVERDUE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
enum Action {
    Enqueue(Box<SlotRequest>),
    Cancel(u64),
    Finish(u64, AttemptEnd, u32),
    FirstToken(u64, u64),
    Progress(u64, u32, u64),
    Endpoints(Vec<(u8, u32, bool)>),
    Probe(u8, bool, u64),
    Load(u8, u32, u32),
    Adopt(Box<SlotRequest>, u8),
    MemberGone,
    Evidence(u8, Option<u8>),
    Wait(u64),
}

fn slot_requests() -> impl Strategy<Value = Box<SlotRequest>> {
    let flags = (any::<bool>(), any::<bool>());
    let times = (1..20_000u64, 0..5_000u64);
    let names = (0..3u8, 0..5u8, prop::option::of(0..4u8));
    (0..TICKETS, 0..4u8, flags, times, names).prop_map(|(sequence, tier, flags, times, names)| {
        let mut request = slot_request(sequence, tier);
        (request.idempotent, request.preemptible) = flags;
        (request.deadline_at_ms, request.ageing_ms) = times;
        request.organisation = Name::from(format!("o{}", names.0));
        request.weight = u32::from(names.0);
        request.content_hash = [names.1; 32];
        request.prefix_hash = u64::from(names.1);
        request.excluded = names.2.map(endpoint_name).into_iter().collect();
        request.organisation_in_flight_max = 12;
        Box::new(request)
    })
}

fn endpoint_name(number: u8) -> Name {
    Name::from(format!("e{number}"))
}

fn ends() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        4 => Just(AttemptEnd::Done),
        1 => Just(AttemptEnd::NotSent),
        1 => Just(AttemptEnd::Failed),
        2 => Just(AttemptEnd::Lost),
        1 => Just(AttemptEnd::Cancelled),
        2 => Just(AttemptEnd::Preempted),
    ]
}

fn actions() -> impl Strategy<Value = Action> {
    prop_oneof![
        10 => slot_requests().prop_map(Action::Enqueue),
        1 => (0..TICKETS).prop_map(Action::Cancel),
        8 => (0..TICKETS, ends(), 0..200u32).prop_map(|(t, end, n)| Action::Finish(t, end, n)),
        4 => (0..TICKETS, 0..3_000u64).prop_map(|(t, ms)| Action::FirstToken(t, ms)),
        4 => (0..TICKETS, 0..200u32, 0..200_000u64).prop_map(|(t, n, us)| Action::Progress(t, n, us)),
        1 => prop::collection::vec((0..4u8, 0..4u32, any::<bool>()), 0..4).prop_map(Action::Endpoints),
        2 => (0..4u8, any::<bool>(), 0..3u64).prop_map(|(e, up, id)| Action::Probe(e, up, id)),
        1 => (0..4u8, 0..5u32, 0..3u32).prop_map(|(e, r, w)| Action::Load(e, r, w)),
        1 => (slot_requests(), 0..4u8).prop_map(|(request, e)| Action::Adopt(request, e)),
        1 => Just(Action::MemberGone),
        1 => (0..5u8, prop::option::of(0..4u8)).prop_map(|(c, e)| Action::Evidence(c, e)),
        6 => (0..1_000u64).prop_map(Action::Wait),
    ]
}

/// State as the requesters see it; each effect is checked against it.
struct Model {
    shard: Shard,
    waiting: BTreeMap<u64, SlotRequest>,
    running: BTreeMap<u64, (SlotRequest, String)>,
    preempting: BTreeSet<u64>,
    slots: BTreeMap<String, u32>,
    overdue: u64,
}

impl Model {
    fn step(&mut self, input: Input) -> Result<(), TestCaseError> {
        let incoming = match &input {
            Input::Enqueue(request) => Some((**request).clone()),
            _ => None,
        };
        let effects = self.shard.step(input);
        if self.shard.scheduler.counters().overdue_requests > self.overdue {
            self.overdue = self.shard.scheduler.counters().overdue_requests;
            let now_ms = self.shard.now_ms;
            self.running
                .retain(|_, (request, _)| request.deadline_at_ms + OVERDUE_MS >= now_ms);
        }
        for effect in effects {
            self.check(effect, incoming.as_ref())?;
        }
        Ok(())
    }

    fn check(
        &mut self,
        effect: Effect,
        incoming: Option<&SlotRequest>,
    ) -> Result<(), TestCaseError> {
        match effect {
            Effect::Grant {
                ticket, endpoint, ..
            } => {
                let request = self.waiting.remove(&ticket.sequence);
                let request = request.expect("a granted request is waiting");
                prop_assert!(!request.excluded.contains(&endpoint));
                let name = endpoint.to_string();
                let used = self.running.values().filter(|(_, e)| *e == name).count();
                let slots = self.slots.get(&name).copied().unwrap_or(0);
                prop_assert!((used as u32) < slots, "{name} runs {used} of {slots}");
                self.running.insert(ticket.sequence, (request, name));
            }
            Effect::Refuse { ticket, reason, .. } => {
                let request = self.waiting.remove(&ticket.sequence);
                let request = request.expect("a refused request is waiting");
                if reason == Reason::Shed {
                    let incoming = incoming.expect("requests are shed only on an enqueue");
                    prop_assert!(request.tier >= incoming.tier);
                    prop_assert!(request.idempotent || request.tier > incoming.tier);
                }
            }
            Effect::Preempt { ticket } => {
                let (request, _) = self
                    .running
                    .get(&ticket.sequence)
                    .expect("a preempted request is running");
                prop_assert!(request.idempotent && request.preemptible && request.tier > 0);
                prop_assert!(self.waiting.values().any(|waiting| waiting.tier == 0));
                prop_assert!(self.preempting.insert(ticket.sequence), "preempted twice");
            }
        }
        Ok(())
    }

    fn remove_request(&mut self, sequence: u64) {
        self.waiting.remove(&sequence);
        self.running.remove(&sequence);
        self.preempting.remove(&sequence);
    }

    fn apply(&mut self, next: Action) -> Result<(), TestCaseError> {
        let input = match next {
            Action::Enqueue(mut request) => {
                let sequence = request.ticket.sequence;
                self.remove_request(sequence);
                request.deadline_at_ms += self.shard.now_ms;
                self.waiting.insert(sequence, (*request).clone());
                Input::Enqueue(request)
            }
            Action::Cancel(sequence) => {
                self.remove_request(sequence);
                Input::Cancel(ticket(sequence))
            }
            Action::Finish(sequence, end, tokens) => {
                self.running.remove(&sequence);
                self.preempting.remove(&sequence);
                let ticket = ticket(sequence);
                Input::Finish {
                    ticket,
                    end,
                    tokens,
                }
            }
            Action::FirstToken(sequence, elapsed_ms) => Input::FirstToken {
                ticket: ticket(sequence),
                elapsed_ms,
            },
            Action::Progress(sequence, tokens, gap_us) => Input::Progress {
                ticket: ticket(sequence),
                tokens,
                gap_us,
            },
            Action::Endpoints(specs) => Input::Endpoints(self.specs(specs)),
            Action::Probe(number, is_alive, started_id) => Input::Probe {
                endpoint: endpoint_name(number),
                is_alive,
                started_id,
            },
            Action::Load(number, running, waiting) => Input::Load {
                endpoint: endpoint_name(number),
                running,
                waiting,
            },
            Action::Adopt(mut request, number) => {
                let sequence = request.ticket.sequence;
                self.remove_request(sequence);
                request.deadline_at_ms += self.shard.now_ms;
                let endpoint = endpoint_name(number);
                let running = ((*request).clone(), endpoint.to_string());
                self.running.insert(sequence, running);
                Input::Adopt { request, endpoint }
            }
            Action::MemberGone => {
                self.waiting.clear();
                self.running.clear();
                self.preempting.clear();
                Input::MemberGone { incarnation: 1 }
            }
            Action::Evidence(content, endpoint) => Input::Evidence(vec![CrashFinding {
                content: [content; 32],
                endpoint: endpoint.map(endpoint_name),
                age_ms: 0,
            }]),
            Action::Wait(ms) => {
                self.shard.now_ms += ms;
                Input::Tick
            }
        };
        self.step(input)
    }

    fn specs(&mut self, numbers: Vec<(u8, u32, bool)>) -> Vec<EndpointSpec> {
        let mut specs = BTreeMap::new();
        self.slots.clear();
        for (number, slots_max, leaving) in numbers {
            let name = endpoint_name(number);
            let slots = if leaving { 0 } else { slots_max };
            self.slots.insert(name.to_string(), slots);
            let mut spec = shard::endpoint(name.as_str(), slots_max);
            spec.leaving = leaving;
            specs.insert(name, spec);
        }
        specs.into_values().collect()
    }

    /// Completes running requests and lets time pass until no request waits.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            if self.waiting.is_empty() {
                return Ok(());
            }
            let running: Vec<u64> = self.running.keys().copied().collect();
            for sequence in running {
                self.apply(Action::Finish(sequence, AttemptEnd::Done, 5))?;
            }
            self.apply(Action::Wait(50))?;
        }
        prop_assert!(false, "{} requests wait forever", self.waiting.len());
        Ok(())
    }
}

proptest! {
    #[test]
    fn rules_hold_for_random_inputs(
        is_baseline in prop::bool::weighted(0.1),
        reserved_slots in 0..3u32,
        queue_max in 0..12u32,
        ageing_share in 1..5u32,
        actions in prop::collection::vec(actions(), 1..200),
    ) {
        let config = Config {
            policy: if is_baseline { Policy::Baseline } else { Policy::Tiers },
            reserved_slots,
            queue_max,
            ageing_share,
            ..Config::default()
        };
        let mut model = Model {
            shard: Shard::new(config, &[]),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            preempting: BTreeSet::new(),
            slots: BTreeMap::new(),
            overdue: 0,
        };
        model.apply(Action::Endpoints(vec![(0, 2, false), (1, 3, false), (2, 1, false)]))?;
        for next in actions {
            model.apply(next)?;
        }
        model.drain()?;
        let gauges = model.shard.scheduler.gauges(model.shard.now_ms);
        prop_assert_eq!(gauges.running, model.running.len());
        prop_assert!(gauges.waiting.is_empty());
    }
}
