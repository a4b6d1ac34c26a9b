//! Guards against states that only unusual sequences of inputs reach: overfilled endpoints, lost or doubled answers,
//! needed work that is shed or preempted, and requests that wait forever.

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

/// Time after its deadline at which a running request counts as ended.
const OVERDUE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
enum Move {
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

fn moves() -> impl Strategy<Value = Move> {
    prop_oneof![
        10 => slot_requests().prop_map(Move::Enqueue),
        1 => (0..TICKETS).prop_map(Move::Cancel),
        8 => (0..TICKETS, ends(), 0..200u32).prop_map(|(t, end, n)| Move::Finish(t, end, n)),
        4 => (0..TICKETS, 0..3_000u64).prop_map(|(t, ms)| Move::FirstToken(t, ms)),
        4 => (0..TICKETS, 0..200u32, 0..200_000u64).prop_map(|(t, n, us)| Move::Progress(t, n, us)),
        1 => prop::collection::vec((0..4u8, 0..4u32, any::<bool>()), 0..4).prop_map(Move::Endpoints),
        2 => (0..4u8, any::<bool>(), 0..3u64).prop_map(|(e, up, id)| Move::Probe(e, up, id)),
        1 => (0..4u8, 0..5u32, 0..3u32).prop_map(|(e, r, w)| Move::Load(e, r, w)),
        1 => (slot_requests(), 0..4u8).prop_map(|(request, e)| Move::Adopt(request, e)),
        1 => Just(Move::MemberGone),
        1 => (0..5u8, prop::option::of(0..4u8)).prop_map(|(c, e)| Move::Evidence(c, e)),
        6 => (0..1_000u64).prop_map(Move::Wait),
    ]
}

/// What the requesters know, against which each effect is checked.
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
                let request = request.expect("a grant without an open enqueue");
                prop_assert!(!request.excluded.contains(&endpoint));
                let name = endpoint.to_string();
                let used = self.running.values().filter(|(_, e)| *e == name).count();
                let slots = self.slots.get(&name).copied().unwrap_or(0);
                prop_assert!((used as u32) < slots, "{name} runs {used} of {slots}");
                self.running.insert(ticket.sequence, (request, name));
            }
            Effect::Refuse { ticket, reason, .. } => {
                let request = self.waiting.remove(&ticket.sequence);
                let request = request.expect("a refusal without an open enqueue");
                if reason == Reason::Shed {
                    let incoming = incoming.expect("only an enqueue sheds");
                    prop_assert!(request.tier >= incoming.tier);
                    prop_assert!(request.idempotent || request.tier > incoming.tier);
                }
            }
            Effect::Preempt { ticket } => {
                let (request, _) = self.running.get(&ticket.sequence).expect("it runs");
                prop_assert!(request.idempotent && request.preemptible && request.tier > 0);
                prop_assert!(self.waiting.values().any(|waiting| waiting.tier == 0));
                prop_assert!(self.preempting.insert(ticket.sequence), "asked twice");
            }
        }
        Ok(())
    }

    fn leave(&mut self, sequence: u64) {
        self.waiting.remove(&sequence);
        self.running.remove(&sequence);
        self.preempting.remove(&sequence);
    }

    fn apply(&mut self, next: Move) -> Result<(), TestCaseError> {
        let input = match next {
            Move::Enqueue(mut request) => {
                let sequence = request.ticket.sequence;
                self.leave(sequence);
                request.deadline_at_ms += self.shard.now_ms;
                self.waiting.insert(sequence, (*request).clone());
                Input::Enqueue(request)
            }
            Move::Cancel(sequence) => {
                self.leave(sequence);
                Input::Cancel(ticket(sequence))
            }
            Move::Finish(sequence, end, tokens) => {
                self.running.remove(&sequence);
                self.preempting.remove(&sequence);
                let ticket = ticket(sequence);
                Input::Finish {
                    ticket,
                    end,
                    tokens,
                }
            }
            Move::FirstToken(sequence, elapsed_ms) => Input::FirstToken {
                ticket: ticket(sequence),
                elapsed_ms,
            },
            Move::Progress(sequence, tokens, gap_us) => Input::Progress {
                ticket: ticket(sequence),
                tokens,
                gap_us,
            },
            Move::Endpoints(specs) => Input::Endpoints(self.specs(specs)),
            Move::Probe(number, is_alive, started_id) => Input::Probe {
                endpoint: endpoint_name(number),
                is_alive,
                started_id,
            },
            Move::Load(number, running, waiting) => Input::Load {
                endpoint: endpoint_name(number),
                running,
                waiting,
            },
            Move::Adopt(mut request, number) => {
                let sequence = request.ticket.sequence;
                self.leave(sequence);
                request.deadline_at_ms += self.shard.now_ms;
                let endpoint = endpoint_name(number);
                let running = ((*request).clone(), endpoint.to_string());
                self.running.insert(sequence, running);
                Input::Adopt { request, endpoint }
            }
            Move::MemberGone => {
                self.waiting.clear();
                self.running.clear();
                self.preempting.clear();
                Input::MemberGone { incarnation: 1 }
            }
            Move::Evidence(content, endpoint) => Input::Evidence(vec![CrashFinding {
                content: [content; 32],
                endpoint: endpoint.map(endpoint_name),
                age_ms: 0,
            }]),
            Move::Wait(ms) => {
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

    /// Ends all requests as their requesters do, until every waiting one has its effect.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            if self.waiting.is_empty() {
                return Ok(());
            }
            let running: Vec<u64> = self.running.keys().copied().collect();
            for sequence in running {
                self.apply(Move::Finish(sequence, AttemptEnd::Done, 5))?;
            }
            self.apply(Move::Wait(50))?;
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
        moves in prop::collection::vec(moves(), 1..200),
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
        model.apply(Move::Endpoints(vec![(0, 2, false), (1, 3, false), (2, 1, false)]))?;
        for next in moves {
            model.apply(next)?;
        }
        model.settle()?;
        let gauges = model.shard.scheduler.gauges(model.shard.now_ms);
        prop_assert_eq!(gauges.running, model.running.len());
        prop_assert!(gauges.waiting.is_empty());
    }
}
