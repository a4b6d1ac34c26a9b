//! Prints the scheduler's time and memory per request for few and many endpoints and organisations.

#[path = "../tests/fixture/shard.rs"]
mod shard;

use std::time::Instant;

use waxwing_core::Name;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_core::coordination::scheduler::SlotRequest;

use shard::ticket;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4_096
}

/// Prints time and memory per request while 20,000 wait.
///
/// The scheduler is returned so that later runs do not reuse its memory.
fn print_cost(endpoints: usize, organisations: u64) -> Scheduler {
    const WAITING: u64 = 20_000;
    let mut scheduler = Scheduler::new(Config {
        queue_max: u32::MAX,
        ..Config::default()
    });
    let spec = |index: usize| shard::endpoint(&index.to_string(), 8);
    let specs = (0..endpoints).map(spec).collect();
    scheduler.step(0, Input::Endpoints(specs));
    let before = resident_bytes();
    let mut bytes = 0;
    let mut began = Instant::now();
    let mut running = Vec::new();
    for sequence in 0..WAITING * 4 {
        let now_ms = sequence / 100;
        if sequence == WAITING {
            bytes = resident_bytes().saturating_sub(before) / WAITING;
            began = Instant::now();
        }
        let slot_request = SlotRequest {
            organisation: Name::from(format!("o{}", sequence % organisations)),
            deadline_at_ms: u64::MAX / 2,
            class_in_flight_max: u32::MAX,
            organisation_in_flight_max: u32::MAX,
            ..shard::slot_request(sequence, 3)
        };
        let mut effects = scheduler.step(now_ms, Input::Enqueue(Box::new(slot_request)));
        if sequence >= WAITING {
            let next: u64 = running.swap_remove(sequence as usize % running.len());
            let first = Input::FirstToken {
                ticket: ticket(next),
                elapsed_ms: 100,
            };
            scheduler.step(now_ms, first);
            let done = Input::Finish {
                ticket: ticket(next),
                end: AttemptEnd::Done,
                tokens: 600,
            };
            effects.extend(scheduler.step(now_ms, done));
        }
        running.extend(shard::grants(&effects).iter().map(|(next, _)| *next));
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / (WAITING * 3) as f64;
    print!("{endpoints:>4} endpoints, {organisations:>4} organisations: ");
    println!("{micros:.2} us, {bytes} bytes a request");
    scheduler
}

fn main() {
    let sizes = [(10, 10), (100, 10), (10, 630), (100, 630)];
    let _schedulers = sizes.map(|(endpoints, organisations)| print_cost(endpoints, organisations));
}
