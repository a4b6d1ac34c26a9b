//! Service of a pool while some of its engines have a rate limit.
//!
//! Nine engines in virtual time read prompts in chunks between the steps of running streams. The load is that of a
//! bell-schedule service: digests and drafts with large shared parts beside short interactive streams.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::admission;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::Load;
use waxwing_core::forwarding::endpoints::RunKey;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::LimitReport;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::lanes::DemandTracker;
use waxwing_core::forwarding::lanes::Lane;
use waxwing_core::forwarding::permits::PermitRequest;
use waxwing_core::forwarding::permits::Permits;
use waxwing_core::forwarding::permits::Verdict;
use waxwing_core::forwarding::placement;
use waxwing_core::forwarding::prompt::Part;
use waxwing_core::forwarding::prompt::PrefixCache;
use waxwing_core::forwarding::prompt::Prompt;
use waxwing_core::forwarding::run::RunOutcome;

const ENGINES: usize = 9;
const READ_TOKENS_PER_MS: f64 = 62.4;
const CHUNK_TOKENS: u64 = 2_048;
const STEP_MS: f64 = 6.55;
const STEP_PER_RUN_MS: f64 = 0.165;
const EVENT_TOKENS: u64 = 3;
const MEMORY_TOKENS: u64 = 417_273;
const END_MS: u64 = 60_000;

/// Time in which engines state a limit, in milliseconds.
const LIMITED_MS: Range<u64> = 15_000..45_000;

/// The limit, in requests per second; an engine gets 2.4 on average.
const LIMIT_PER_S: f64 = 1.2;

struct Class {
    per_s: f64,
    shared: [(u32, u64); 2],
    own_tokens: u64,
    events: u64,
    lane: usize,
    level: u8,
    first_ms: u64,
    gap_ms: u64,
    limit_ms: u64,
}

/// Shared parts: length in tokens, and how many there are.
const CLASSES: [Class; 3] = [
    Class {
        per_s: 7.5,
        shared: [(0, 1), (13_300, 40)],
        own_tokens: 3_720,
        events: 40,
        lane: 2,
        level: 8,
        first_ms: 2_500,
        gap_ms: 800,
        limit_ms: 12_000,
    },
    Class {
        per_s: 6.0,
        shared: [(2_520, 4), (3_780, 72)],
        own_tokens: 2_890,
        events: 17,
        lane: 1,
        level: 4,
        first_ms: 1_500,
        gap_ms: 300,
        limit_ms: 8_000,
    },
    Class {
        per_s: 8.1,
        shared: [(210, 8), (140, 65)],
        own_tokens: 1_110,
        events: 57,
        lane: 0,
        level: 0,
        first_ms: 1_500,
        gap_ms: 200,
        limit_ms: 15_000,
    },
];

/// A request at an engine.
struct Running {
    class: usize,
    run: RunKey,
    arrived_ms: f64,
    unread_tokens: u64,
    made_tokens: u64,
    last_event_ms: f64,
    first_event_ms: Option<f64>,
    max_gap_ms: f64,
    level: u8,
    tokens: u64,
}

#[derive(Default)]
struct Engine {
    cache: PrefixCache,
    waiting: VecDeque<Running>,
    running: Vec<Running>,
    now_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Served {
    requests: u64,
    in_time: u64,
    refused: u64,
    read_again_tokens: u64,
    fetched_tokens: u64,
    at_limited: u64,
}

fn new_pool() -> Endpoints {
    let mut endpoints = Endpoints::new();
    for number in 0..ENGINES {
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
    endpoints
}

struct Pool {
    endpoints: Endpoints,
    keys: Vec<EndpointKey>,
    engines: HashMap<EndpointKey, Engine>,
    tracker: DemandTracker,
    permits: Permits,
    served: Served,
}

impl Pool {
    fn new() -> Self {
        let endpoints = new_pool();
        let keys: Vec<EndpointKey> = endpoints
            .of_service(&Name::from("pool"))
            .map(|(key, _)| key)
            .collect();
        Self {
            endpoints,
            engines: keys.iter().map(|key| (*key, Engine::default())).collect(),
            keys,
            tracker: DemandTracker::default(),
            permits: Permits::new(0),
            served: Served::default(),
        }
    }

    fn set_limit(&mut self, engine: usize, limit: RateLimit, now_ms: u64) {
        let report = LimitReport {
            limit,
            sent_ms: now_ms,
            received_ms: now_ms,
        };
        self.endpoints
            .record_limit(self.keys[engine], report, now_ms);
    }

    fn is_limited(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).unwrap().limit() != RateLimit::Unlimited
    }

    /// Places a request as a VM does.
    fn place(
        &mut self,
        index: usize,
        prompt: &Prompt,
        draw: u64,
        now_ms: u64,
    ) -> Option<placement::Choice> {
        let class = &CLASSES[index];
        let lane = Lane {
            index: class.lane,
            count: 3,
        };
        for asked in 0..=3 {
            let service = Name::from("pool");
            let data_centre = Name::from("a");
            let request = placement::Request {
                service: &service,
                prompt: Some(prompt),
                lane,
                demand: self.tracker.total_demand(1, now_ms),
                can_fetch: true,
                level: UrgencyLevel::from(class.level),
                is_repeatable: true,
                data_centre: &data_centre,
                software: None,
                tried: &[],
                avoids_limited: asked == 3,
                is_trial: false,
                draw,
            };
            let config = placement::Config::default();
            let choice = placement::choose(&config, &self.endpoints, &request, now_ms)?;
            let endpoint = self.endpoints.get(choice.endpoint)?;
            let question = PermitRequest {
                endpoint: endpoint.incarnation,
                vm: 1,
                level: request.level,
            };
            match self.permits.ask(question, endpoint.limit(), 1.0, now_ms) {
                Verdict::Granted => return Some(choice),
                Verdict::Wait { for_ms } => {
                    self.endpoints
                        .deny(choice.endpoint, request.level, now_ms + for_ms);
                }
            }
        }
        None
    }

    fn arrive(&mut self, index: usize, prompt: &Prompt, draw: u64, now_ms: u64) {
        let class = &CLASSES[index];
        let lane = Lane {
            index: class.lane,
            count: 3,
        };
        let level = UrgencyLevel::from(class.level);
        self.served.requests += 1;
        self.tracker.add(1, lane, prompt, now_ms);
        let Some(choice) = self.place(index, prompt, draw, now_ms) else {
            self.served.refused += 1;
            return;
        };
        let endpoint = self.endpoints.get(choice.endpoint).unwrap();
        let config = placement::Config::default();
        let backlog_ms = placement::backlog_ms(&config, &self.endpoints, endpoint, level);
        let admission = admission::Config::default();
        if admission::retry_after_ms(&admission, level, backlog_ms, class.limit_ms).is_some() {
            self.served.refused += 1;
            return;
        }
        self.served.at_limited += u64::from(self.is_limited(choice.endpoint));
        let fetched = choice.source.map_or(0, |_| prompt.shared_tokens());
        self.served.fetched_tokens += fetched;
        self.tracker.begin(1, lane);
        let run = self.endpoints.begin_run(
            choice.endpoint,
            Some(prompt),
            fetched,
            Some(MEMORY_TOKENS),
            level,
            now_ms,
        );
        let engine = self.engines.get_mut(&choice.endpoint).unwrap();
        let cached = engine.cache.cached_tokens(prompt).max(fetched);
        self.served.read_again_tokens += prompt.shared_tokens().saturating_sub(cached);
        engine.cache.record(prompt, now_ms, MEMORY_TOKENS * 6 / 10);
        engine.now_ms = engine.now_ms.max(now_ms as f64);
        engine.waiting.push_back(Running {
            class: index,
            run,
            arrived_ms: now_ms as f64,
            unread_tokens: prompt.tokens - cached.min(prompt.tokens),
            made_tokens: 0,
            last_event_ms: 0.0,
            first_event_ms: None,
            max_gap_ms: 0.0,
            level: class.level,
            tokens: prompt.output_tokens,
        });
    }

    /// Lets an engine work until `until_ms`.
    fn work(&mut self, key: EndpointKey, until_ms: f64) {
        let engine = self.engines.get_mut(&key).unwrap();
        while engine.now_ms < until_ms {
            if engine.running.is_empty() && engine.waiting.is_empty() {
                engine.now_ms = until_ms;
                return;
            }
            let mut step_ms = STEP_MS + STEP_PER_RUN_MS * engine.running.len() as f64;
            let urgent =
                (0..engine.waiting.len()).min_by_key(|at| (engine.waiting[*at].level, *at));
            let mut is_read = None;
            if let Some(at) = urgent {
                let reading = &mut engine.waiting[at];
                let chunk = reading.unread_tokens.min(CHUNK_TOKENS);
                reading.unread_tokens -= chunk;
                step_ms += chunk as f64 / READ_TOKENS_PER_MS;
                is_read = (reading.unread_tokens == 0).then_some(at);
            }
            engine.now_ms += step_ms;
            let now_ms = engine.now_ms;
            for running in &mut engine.running {
                running.made_tokens += 1;
                if running.made_tokens % EVENT_TOKENS != 0 {
                    continue;
                }
                if running.first_event_ms.is_none() {
                    running.first_event_ms = Some(now_ms);
                    let waited_ms = now_ms - running.arrived_ms;
                    self.endpoints
                        .record_first_byte(running.run, waited_ms as u64);
                } else {
                    running.max_gap_ms = running.max_gap_ms.max(now_ms - running.last_event_ms);
                }
                running.last_event_ms = now_ms;
            }
            if let Some(at) = is_read {
                engine.running.push(engine.waiting.remove(at).unwrap());
            }
            let mut ended = Vec::new();
            for index in (0..engine.running.len()).rev() {
                if engine.running[index].made_tokens >= engine.running[index].tokens {
                    ended.push(engine.running.swap_remove(index));
                }
            }
            let load = Load {
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                slowness_percent: 100,
            };
            for running in ended {
                let class = &CLASSES[running.class];
                let lane = Lane {
                    index: class.lane,
                    count: 3,
                };
                self.tracker.end(1, lane);
                self.endpoints
                    .end_run(running.run, RunOutcome::Answered, now_ms as u64);
                self.endpoints.record_load(key, load, now_ms as u64);
                let first_ms = running.first_event_ms.unwrap() - running.arrived_ms;
                let is_in_time =
                    first_ms <= class.first_ms as f64 && running.max_gap_ms <= class.gap_ms as f64;
                self.served.in_time += u64::from(is_in_time);
            }
        }
    }
}

/// Runs the load for a minute; `limits` changes the limits of engines at a time.
fn serve(seed: u64, limits: &[(u64, usize, RateLimit)]) -> Served {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = Pool::new();
    for now_ms in 0..END_MS {
        for (at_ms, engine, limit) in limits {
            if *at_ms == now_ms {
                pool.set_limit(*engine, *limit, now_ms);
            }
        }
        for (index, class) in CLASSES.iter().enumerate() {
            if !random.random_bool(class.per_s / 1_000.0) {
                continue;
            }
            let mut parts = Vec::new();
            let mut tokens = class.own_tokens;
            for (place, (length, count)) in class.shared.iter().enumerate() {
                let id = random.random_range(0..*count);
                parts.push(Part {
                    id: (index as u64) << 40 | (place as u64) << 32 | id,
                    tokens: *length,
                });
                tokens += u64::from(*length);
            }
            parts.push(Part {
                id: random.random(),
                tokens: class.own_tokens as u32,
            });
            let prompt = Prompt {
                parts,
                tokens,
                output_tokens: class.events * EVENT_TOKENS,
            };
            let draw = random.random();
            pool.arrive(index, &prompt, draw, now_ms);
        }
        for key in pool.keys.clone() {
            pool.work(key, now_ms as f64);
        }
    }
    pool.served
}

fn limited(engines: Range<usize>, rate_per_s: f64) -> Vec<(u64, usize, RateLimit)> {
    let mut limits = Vec::new();
    for engine in engines {
        limits.push((LIMITED_MS.start, engine, RateLimit::PerSecond(rate_per_s)));
        limits.push((LIMITED_MS.end, engine, RateLimit::Unlimited));
    }
    limits
}

/// Guards against requests that are refused or late though engines without a limit have capacity for them.
#[test]
fn some_limited() {
    for seed in 0..5 {
        let free = serve(seed, &[]);
        for engines in [0..1, 0..3, 6..9, 3..8] {
            let served = serve(seed, &limited(engines.clone(), LIMIT_PER_S));
            println!("seed {seed}, limited {engines:?}: {served:?}; without a limit: {free:?}");
            assert_eq!(served.refused, 0);
            assert!(served.in_time * 100 >= free.in_time * 99);
        }
    }
}

/// Guards against permits that nobody uses while requests are refused.
#[test]
fn all_limited() {
    for seed in 0..5 {
        let served = serve(seed, &limited(0..ENGINES, LIMIT_PER_S));
        println!("seed {seed}, all limited: {served:?}");
        let permits =
            LIMIT_PER_S * ENGINES as f64 * (LIMITED_MS.end - LIMITED_MS.start) as f64 / 1_000.0;
        assert!(served.refused > 0);
        assert!(served.at_limited as f64 >= permits * 0.8);
        assert!(served.at_limited as f64 <= permits + ENGINES as f64);
    }
}
