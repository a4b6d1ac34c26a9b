//! Non-idempotent calls run at most once and their callers are told the truth, whatever fails meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_harness::Standin;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::daemon::Daemon;
use waxwing_harness::daemon::Options;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::fault::CommonFaults;
use waxwing_standin::fault::Outage;
use waxwing_standin::log;
use waxwing_standin::proxy;
use waxwing_standin::service;

const CALLERS: usize = 8;

/// Keys that one caller uses at most, so that the loop ends even if the schedule does not.
const KEYS_MAX: usize = 2_000;

/// Requests with one key; a claim that lost its outcome is answered `unknown` for good.
const TRIES_MAX: usize = 30;

/// Time before a caller repeats a request, in milliseconds; without it, a VM that is down uses up all tries at once.
const REPEAT_AFTER_MS: u64 = 20;

/// Attempts that end under a fault before the fault ends.
const ATTEMPTS_UNDER_FAULT: usize = 2 * CALLERS;

const PAIRS: usize = 3;
const REPETITIONS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    KillDaemon,
    FreezeDaemon,
    KillService,
    LoseServiceAnswers,
    LogDown,
    LogSlow,
    LoseLogAcknowledgements,
    CutLogConnection,
}

const FAULTS: [Fault; 8] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::KillService,
    Fault::LoseServiceAnswers,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LoseLogAcknowledgements,
    Fault::CutLogConnection,
];

/// The part of the deployment that a fault concerns.
#[derive(PartialEq)]
enum Part {
    Daemon,
    Service,
    Log,
    Connection,
}

impl Fault {
    fn affected_part(self) -> Part {
        match self {
            Fault::KillDaemon | Fault::FreezeDaemon => Part::Daemon,
            Fault::KillService | Fault::LoseServiceAnswers => Part::Service,
            Fault::LogDown | Fault::LogSlow | Fault::LoseLogAcknowledgements => Part::Log,
            Fault::CutLogConnection => Part::Connection,
        }
    }
}

/// What a caller was told about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Word {
    Answered,
    NotRun,
    Unknown,
    /// The connection broke.
    Broken,
}

struct Told {
    word: Word,
    /// Time of the answer, in milliseconds since the epoch.
    at_ms: u64,
    text: String,
}

#[derive(Default)]
struct Progress {
    begun: AtomicUsize,
    ended: AtomicUsize,
    is_over: AtomicBool,
}

struct System {
    deployment: Deployment,
    /// Proxy between each daemon and the log.
    proxies: Vec<Standin>,
}

impl System {
    fn start(daemons: usize) -> Self {
        let mut deployment = Deployment::start(&Plan {
            daemons: 0,
            services: 2,
            ..Plan::default()
        });
        let mut proxies = Vec::new();
        for number in 1..=daemons {
            let log = deployment.log.address();
            let proxy = Standin::start_proxy(&deployment.run, &format!("proxy-{number}"), &log);
            let options = Options {
                log_address: proxy.address(),
                vm_list_address: deployment.vm_list.address(),
                ..Options::default()
            };
            let daemon = Daemon::start(&deployment.run, &format!("vm-{number}"), &options);
            deployment.daemons.push(daemon);
            proxies.push(proxy);
        }
        deployment.vm_list.set_vms(&deployment.vm_list());
        for daemon in &deployment.daemons {
            daemon.wait_for_settings();
        }
        let system = Self {
            deployment,
            proxies,
        };
        system.wait_for_service();
        system
    }

    /// Waits until all VMs run new bookings, so that the next fault meets a healthy system.
    fn wait_for_service(&self) {
        self.deployment.wait_for_members();
        for index in 0..self.proxies.len() {
            let caller = self.deployment.caller(index);
            condition::wait_until("the VM runs bookings", || {
                let answer = send(&caller, Uuid::now_v7());
                answer.is_some_and(|answer| answer.status == 200)
            });
        }
    }

    fn begin(&mut self, fault: Fault, index: usize) {
        let deployment = &mut self.deployment;
        let daemon = index % deployment.daemons.len();
        let service = index % deployment.services.len();
        match fault {
            Fault::KillDaemon => deployment.daemons[daemon].process().kill(),
            Fault::FreezeDaemon => deployment.daemons[daemon].process().suspend(),
            Fault::KillService => deployment.services[service].process().kill(),
            Fault::LoseServiceAnswers => {
                deployment.services[service].set_faults(&service::Faults {
                    lose_acknowledgements: true,
                    ..service::Faults::default()
                })
            }
            Fault::LogDown => deployment.log.set_faults(&log::Faults {
                common: CommonFaults {
                    outage: Some(Outage::Refuse),
                    ..CommonFaults::default()
                },
                ..log::Faults::default()
            }),
            Fault::LogSlow => deployment.log.set_faults(&log::Faults {
                common: CommonFaults {
                    delay_ms: 700,
                    ..CommonFaults::default()
                },
                ..log::Faults::default()
            }),
            Fault::LoseLogAcknowledgements => deployment.log.set_faults(&log::Faults {
                lose_acknowledgements: true,
                ..log::Faults::default()
            }),
            Fault::CutLogConnection => {
                let cut = proxy::DirectionFaults {
                    is_cut: true,
                    delay_ms: 0,
                };
                self.proxies[daemon].set_faults(&proxy::Faults {
                    to_target: cut,
                    to_client: cut,
                    ..proxy::Faults::default()
                });
            }
        }
    }

    fn end(&mut self, fault: Fault, index: usize) {
        let deployment = &mut self.deployment;
        let daemon = index % deployment.daemons.len();
        let service = index % deployment.services.len();
        match fault {
            Fault::KillDaemon => deployment.daemons[daemon].restart(),
            Fault::FreezeDaemon => deployment.daemons[daemon].process().resume(),
            Fault::KillService => deployment.services[service].restart(),
            Fault::LoseServiceAnswers => {
                deployment.services[service].set_faults(&service::Faults::default());
            }
            Fault::LogDown | Fault::LogSlow | Fault::LoseLogAcknowledgements => {
                deployment.log.set_faults(&log::Faults::default());
            }
            Fault::CutLogConnection => self.proxies[daemon].set_faults(&proxy::Faults::default()),
        }
    }

    /// Has `faults` in force until enough requests have met them.
    fn suffer(&mut self, faults: &[Fault], index: usize, progress: &Progress) {
        println!("{faults:?} at {index}");
        for &fault in faults {
            self.begin(fault, index);
        }
        let ended = progress.ended.load(Ordering::SeqCst);
        let is_frozen = faults.contains(&Fault::FreezeDaemon);
        condition::wait_until("requests meet the fault", || {
            let now = progress.ended.load(Ordering::SeqCst);
            let waiting = progress.begun.load(Ordering::SeqCst) - now;
            // A frozen VM keeps its callers waiting.
            now - ended >= ATTEMPTS_UNDER_FAULT || is_frozen && waiting == CALLERS
        });
        for &fault in faults {
            self.end(fault, index);
        }
        self.wait_for_service();
    }
}

fn send(caller: &Caller, key: Uuid) -> Option<Answer> {
    let key = key.to_string();
    let headers = [
        ("Idempotency-Key", key.as_str()),
        ("Waxwing-Deadline-Ms", "3000"),
    ];
    let path = "/v1/services/dispatch/book";
    caller.post(path, "booking", &headers, key.as_bytes())
}

fn observed_answer(answer: Option<Answer>) -> Told {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = since.expect("the clock is past the epoch").as_millis() as u64;
    let Some(answer) = answer.filter(|answer| answer.is_complete) else {
        return Told {
            word: Word::Broken,
            at_ms,
            text: String::new(),
        };
    };
    let word = match answer.refusal().map(|refusal| refusal.run) {
        Some(ExecutionStatus::NotRun) => Word::NotRun,
        Some(ExecutionStatus::Unknown) => Word::Unknown,
        None => {
            assert_eq!(answer.status, 200, "neither an answer nor a refusal");
            Word::Answered
        }
    };
    Told {
        word,
        at_ms,
        text: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

/// Returns what a caller was told about one key, in order.
fn format_answers(words: &[Told]) -> String {
    let mut text = String::new();
    for told in words {
        text += &format!("\n  {} {:?} {}", told.at_ms, told.word, told.text);
    }
    text
}

/// Sends bookings one after the other and repeats each that is refused or breaks, at any VM.
fn book(callers: &[Caller], seed: u64, progress: &Progress) -> HashMap<Uuid, Vec<Told>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut told = HashMap::new();
    for _ in 0..KEYS_MAX {
        if progress.is_over.load(Ordering::SeqCst) {
            break;
        }
        let key = Uuid::now_v7();
        let mut words: Vec<Told> = Vec::new();
        while words.len() < TRIES_MAX {
            let caller = &callers[random.random_range(0..callers.len())];
            progress.begun.fetch_add(1, Ordering::SeqCst);
            let word = observed_answer(send(caller, key));
            progress.ended.fetch_add(1, Ordering::SeqCst);
            let is_answered = word.word == Word::Answered;
            words.push(word);
            if is_answered {
                break;
            }
            thread::sleep(Duration::from_millis(REPEAT_AFTER_MS));
        }
        told.insert(key, words);
    }
    told
}

/// Compares what ran with what the callers were told, and returns all contradictions.
fn compare(deployment: &Deployment, told: &HashMap<Uuid, Vec<Told>>) -> Vec<String> {
    let mut ran: HashMap<Uuid, Vec<u64>> = HashMap::new();
    for entry in deployment.ledger() {
        let key = entry.key.and_then(|key| key.parse().ok());
        let key = key.expect("each call carries its key");
        ran.entry(key).or_default().push(entry.time_ms);
    }
    let mut findings = Vec::new();
    for (key, times) in &ran {
        if times.len() > 1 {
            findings.push(format!(
                "{key} ran at {times:?}: {}",
                format_answers(&told[key])
            ));
        }
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    for (key, words) in told {
        let times = ran.get(key).map_or(&[][..], Vec::as_slice);
        let last = words.last().expect("each key is sent");
        *counts.entry(format!("{:?}", last.word)).or_default() += 1;
        if last.word == Word::Answered && times.len() != 1 {
            findings.push(format!(
                "{key} is answered and ran at {times:?}: {}",
                format_answers(words)
            ));
        }
        // A key that has run by the time of the word makes it false; one that runs later makes the last word false.
        let is_false = words.iter().any(|told| {
            told.word == Word::NotRun && times.iter().any(|&time_ms| time_ms < told.at_ms)
        });
        if is_false || last.word == Word::NotRun && !times.is_empty() {
            findings.push(format!(
                "{key} ran at {times:?} despite not_run: {}",
                format_answers(words)
            ));
        }
    }
    println!("last words: {counts:?}");
    assert!(
        counts.contains_key("Answered"),
        "no booking was answered: {counts:?}"
    );
    findings
}

/// Returns two faults of different parts; two of the same part would replace each other.
fn draw_pair(random: &mut ChaCha8Rng) -> [Fault; 2] {
    let first = FAULTS[random.random_range(0..FAULTS.len())];
    let mut others = FAULTS.to_vec();
    others.retain(|other| other.affected_part() != first.affected_part());
    [first, others[random.random_range(0..others.len())]]
}

/// Runs bookings under the schedule of the seed: each fault alone, then pairs, then one fault repeatedly.
fn run_schedule(daemons: usize) {
    let mut system = System::start(daemons);
    let mut random = system.deployment.run.new_rng();
    let progress = Arc::new(Progress::default());
    let mut callers = Vec::new();
    for index in 0..daemons {
        callers.push(system.deployment.caller(index));
    }
    let mut threads = Vec::new();
    for _ in 0..CALLERS {
        let callers = callers.clone();
        let progress = Arc::clone(&progress);
        let seed = random.random();
        threads.push(thread::spawn(move || book(&callers, seed, &progress)));
    }
    for fault in FAULTS {
        system.suffer(&[fault], random.random_range(0..6), &progress);
    }
    for _ in 0..PAIRS {
        let pair = draw_pair(&mut random);
        system.suffer(&pair, random.random_range(0..6), &progress);
    }
    let fault = FAULTS[random.random_range(0..FAULTS.len())];
    for _ in 0..REPETITIONS {
        system.suffer(&[fault], random.random_range(0..6), &progress);
    }
    progress.is_over.store(true, Ordering::SeqCst);
    let mut told = HashMap::new();
    for thread in threads {
        told.extend(thread.join().expect("a caller does not panic"));
    }
    let findings = compare(&system.deployment, &told);
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

/// Guards against a booking that runs twice, an answer without a booking, and a false `not_run`, on a single VM.
#[test]
fn one_vm_books_once() {
    run_schedule(1);
}

/// Guards against the same with three VMs, where claims are made between VMs and ranges change their owner.
#[test]
fn three_vms_book_once() {
    run_schedule(3);
}
