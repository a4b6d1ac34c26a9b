//! Compares the policies `tiers` and `baseline` in virtual time.
//!
//! Ten engines with eight slots serve four classes. From 100 s to 160 s, demand is about twice the capacity; from 140 s
//! to 220 s, one engine is six times slower. The same seed gives the same arrivals and lengths to both policies.

#[path = "../tests/fixture/shard.rs"]
mod shard;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::settings::Policy;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const END_MS: u64 = 300_000;
const BURST_MS: std::ops::Range<u64> = 100_000..160_000;
const SLOW_MS: std::ops::Range<u64> = 140_000..220_000;
const CHUNK_TOKENS: u32 = 16;

struct Class {
    name: &'static str,
    per_s: f64,
    burst: f64,
    tokens: u32,
    target_ms: u64,
    deadline_ms: u64,
}

/// Request classes, indexed by tier. The target is for the whole answer in tiers 0 and 1, else for the first token.
#[rustfmt::skip]
const CLASSES: [Class; 4] = [
    Class { name: "booking", per_s: 3.0, burst: 4.0, tokens: 12, target_ms: 800, deadline_ms: 5_000 },
    Class { name: "lookup", per_s: 10.0, burst: 4.0, tokens: 20, target_ms: 1_200, deadline_ms: 5_000 },
    Class { name: "draft", per_s: 3.0, burst: 5.0, tokens: 200, target_ms: 3_000, deadline_ms: 60_000 },
    Class { name: "summary", per_s: 2.0, burst: 1.0, tokens: 600, target_ms: 30_000, deadline_ms: 300_000 },
];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tokens { attempt: u64, count: u32 },
    Preempted,
    Tick,
}

struct Request {
    slot_request: SlotRequest,
    arrived_ms: u64,
    length: u32,
    engine: usize,
    /// Number of the grant of the running attempt; 0 while none runs.
    attempt: u64,
    sent_ms: u64,
    tokens: u32,
    wait_ms: Option<u64>,
    first_ms: Option<u64>,
    done_ms: Option<u64>,
}

struct Simulation {
    shard: shard::Shard,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    requests: Vec<Request>,
    running: [u32; 10],
}

impl Simulation {
    fn run(policy: Policy, seed: u64) -> Self {
        let config = Config {
            policy,
            reserved_slots: 2,
            queue_max: 400,
            ..Config::default()
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut shard = shard::Shard::new(config.clone(), &[]);
        shard.scheduler = Scheduler::with_random(config, random.clone());
        let endpoints = (0..10).map(|index| shard::endpoint(&format!("{index}"), 8));
        shard.step(Input::Endpoints(endpoints.collect()));
        let mut simulation = Self {
            shard,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            running: [0; 10],
        };
        for (tier, class) in CLASSES.iter().enumerate() {
            let mut at_ms = 0.0;
            while at_ms < END_MS as f64 {
                let is_burst = BURST_MS.contains(&(at_ms as u64));
                let per_s = class.per_s * if is_burst { class.burst } else { 1.0 };
                at_ms -= 1_000.0 / per_s * random.random::<f64>().max(1e-9).ln();
                simulation.add_request(tier, at_ms as u64, &mut random);
            }
        }
        for at_ms in (0..END_MS * 2).step_by(10) {
            simulation.events.push(Reverse((at_ms, 0, Event::Tick)));
        }
        while let Some(Reverse((now_ms, index, event))) = simulation.events.pop() {
            simulation.shard.now_ms = now_ms;
            simulation.handle_event(index, event);
        }
        simulation
    }

    fn add_request(&mut self, tier: usize, arrived_ms: u64, random: &mut ChaCha8Rng) {
        let class = &CLASSES[tier];
        let is_straggler = tier == 3 && random.random_bool(0.05);
        let factor = [1.0, 10.0][usize::from(is_straggler)] * random.random_range(0.5..1.5);
        // A few large organisations send most requests.
        let organisation = (10.0 * random.random::<f64>().powi(2)) as u64;
        let index = self.requests.len();
        let slot_request = SlotRequest {
            organisation: Name::from(format!("o{organisation}")),
            deadline_at_ms: arrived_ms + class.deadline_ms,
            target_ms: class.target_ms,
            ageing_ms: class.deadline_ms / 2,
            idempotent: tier > 0,
            preemptible: tier >= 2,
            expected_tokens: class.tokens,
            ..shard::slot_request(index as u64, tier as u8)
        };
        self.requests.push(Request {
            slot_request,
            arrived_ms,
            length: (f64::from(class.tokens) * factor) as u32,
            engine: 0,
            attempt: 0,
            sent_ms: 0,
            tokens: 0,
            wait_ms: None,
            first_ms: None,
            done_ms: None,
        });
        self.push_event(arrived_ms, index, Event::Arrival);
    }

    fn push_event(&mut self, at_ms: u64, index: usize, event: Event) {
        self.events.push(Reverse((at_ms, index, event)));
    }

    fn apply(&mut self, effects: &[Effect]) {
        let now_ms = self.shard.now_ms;
        for (sequence, endpoint) in shard::grants(effects) {
            let index = sequence as usize;
            let request = &mut self.requests[index];
            request.wait_ms.get_or_insert(now_ms - request.arrived_ms);
            request.engine = endpoint.parse().expect("names are numbers");
            request.attempt = self.shard.scheduler.counters().grants;
            request.tokens = 0;
            self.running[request.engine] += 1;
            self.schedule_tokens(index, 1, 100.0);
        }
        for (sequence, _) in shard::refusals(effects) {
            let request = &mut self.requests[sequence as usize];
            request.wait_ms.get_or_insert(now_ms - request.arrived_ms);
        }
        for sequence in shard::preempted(effects) {
            self.push_event(now_ms + 2, sequence as usize, Event::Preempted);
        }
    }

    /// Schedules the arrival of the next tokens, which take `idle_ms` on an idle engine at normal speed.
    fn schedule_tokens(&mut self, index: usize, count: u32, idle_ms: f64) {
        let now_ms = self.shard.now_ms;
        let request = &mut self.requests[index];
        request.sent_ms = now_ms;
        let attempt = request.attempt;
        let is_slow = request.engine == 3 && SLOW_MS.contains(&now_ms);
        let load_factor = 1.0 + 0.05 * f64::from(self.running[request.engine]);
        let time_ms = idle_ms * load_factor * if is_slow { 6.0 } else { 1.0 };
        let event = Event::Tokens { attempt, count };
        self.push_event(now_ms + time_ms as u64, index, event);
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let request = &self.requests[index];
        let effects = match event {
            Event::Tick => self.shard.step(Input::Tick),
            Event::Arrival => self.shard.enqueue(request.slot_request.clone()),
            Event::Tokens { attempt, count } if request.attempt == attempt => {
                return self.receive_tokens(index, count);
            }
            Event::Preempted if request.attempt > 0 => {
                return self.end(index, AttemptEnd::Preempted);
            }
            Event::Tokens { .. } | Event::Preempted => return,
        };
        self.apply(&effects);
    }

    fn receive_tokens(&mut self, index: usize, count: u32) {
        let now_ms = self.shard.now_ms;
        let request = &mut self.requests[index];
        let elapsed_ms = now_ms - request.sent_ms;
        request.tokens += count;
        let left = request
            .length
            .saturating_sub(request.slot_request.generated_tokens + request.tokens);
        let deadline_ms = request.slot_request.deadline_at_ms;
        let mut effects = Vec::new();
        if request.tokens == 1 {
            request.first_ms.get_or_insert(now_ms);
            effects = self.shard.first_token(index as u64, elapsed_ms);
        } else if count == CHUNK_TOKENS {
            effects = self.shard.step(Input::Progress {
                ticket: request.slot_request.ticket,
                tokens: request.tokens,
                gap_us: elapsed_ms * 1_000 / u64::from(count),
            });
        }
        self.apply(&effects);
        match left.min(CHUNK_TOKENS) {
            0 => self.end(index, AttemptEnd::Done),
            _ if now_ms >= deadline_ms => self.end(index, AttemptEnd::Cancelled),
            next => self.schedule_tokens(index, next, 20.0 * f64::from(next)),
        }
    }

    fn end(&mut self, index: usize, end: AttemptEnd) {
        let request = &mut self.requests[index];
        self.running[request.engine] -= 1;
        request.attempt = 0;
        request.done_ms = (end == AttemptEnd::Done).then_some(self.shard.now_ms);
        request.slot_request.generated_tokens += request.tokens;
        let mut effects = self.shard.end(index as u64, end, request.tokens);
        if end == AttemptEnd::Preempted {
            effects.extend(
                self.shard
                    .enqueue(self.requests[index].slot_request.clone()),
            );
        }
        self.apply(&effects);
    }

    fn measures(&self) -> Vec<(String, f64)> {
        let mut measures = Vec::new();
        let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole as f64;
        for (tier, class) in CLASSES.iter().enumerate() {
            let mut of_class: Vec<&Request> = self.requests.iter().collect();
            of_class.retain(|r| usize::from(r.slot_request.tier) == tier);
            let is_peak = |r: &Request| BURST_MS.contains(&r.arrived_ms);
            let is_met = |r: &Request| {
                let at_ms = [r.done_ms, r.done_ms.and(r.first_ms)][tier / 2];
                at_ms.is_some_and(|at_ms| at_ms - r.arrived_ms <= class.target_ms)
            };
            let count = |is: &dyn Fn(&Request) -> bool| of_class.iter().filter(|r| is(r)).count();
            let met_at_peak = count(&|r| is_peak(r) && is_met(r));
            let done = count(&|r| r.done_ms.is_some());
            let measured = [
                ("target met", percent(count(&is_met), of_class.len())),
                ("target met at peak", percent(met_at_peak, count(&is_peak))),
                ("answered", percent(done, of_class.len())),
            ];
            measures.extend(measured.map(|(what, v)| (format!("{} {what} (%)", class.name), v)));
        }
        let short = self.requests.iter().filter(|r| r.slot_request.tier < 2);
        let mut waits: Vec<u64> = short.filter_map(|r| r.wait_ms).collect();
        waits.sort();
        for quantile in [50, 95, 99] {
            let wait_ms = waits[waits.len() * quantile / 100] as f64;
            measures.push((format!("wait of short work, p{quantile} (ms)"), wait_ms));
        }
        let done = self.requests.iter().filter(|r| r.done_ms.is_some());
        let tokens: u64 = done.map(|r| u64::from(r.length)).sum();
        let refused = self.requests.iter().filter(|r| r.first_ms.is_none());
        let refusal_wait_ms = refused.filter_map(|r| r.wait_ms).max().unwrap_or(0);
        let counters = self.shard.scheduler.counters();
        let measured = [
            ("goodput (tokens/s)", tokens * 1_000 / END_MS),
            ("wasted tokens", counters.wasted_tokens),
            ("repeated prompts (ms)", counters.wasted_prefill_ms),
            ("preemptions", counters.preemptions),
            ("longest wait for a refusal (ms)", refusal_wait_ms),
        ];
        measures.extend(measured.map(|(name, value)| (name.to_owned(), value as f64)));
        measures
    }
}

fn print(policy: Policy) {
    let runs = SEEDS.map(|seed| Simulation::run(policy, seed).measures());
    println!("{policy:?}, median (lowest to highest) of seeds {SEEDS:?}");
    for (row, (name, _)) in runs[0].iter().enumerate() {
        let mut values = runs.each_ref().map(|run| run[row].1);
        values.sort_by(f64::total_cmp);
        let [low, _, median, _, high] = values;
        println!("{name:<32} {median:>8.1} ({low:.1} to {high:.1})");
    }
}

fn main() {
    print(Policy::Tiers);
    print(Policy::Baseline);
}
