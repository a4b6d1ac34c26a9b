//! Guards against slow endpoints that stay in service, against too many ejections, and against wrong slot limits.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Input;

use shard::Shard;
use shard::grants;
use shard::slot_request;

/// Runs rounds of three requests and returns the endpoints used.
///
/// The first token takes 100 ms, or 1 s on slow endpoints.
fn run_rounds(shard: &mut Shard, rounds: u64, slow: &[&str]) -> Vec<String> {
    let mut used = Vec::new();
    for round in 0..rounds {
        let mut running = Vec::new();
        for index in 0..3 {
            let sequence = shard.now_ms * 100 + round * 10 + index;
            running.extend(grants(&shard.enqueue(slot_request(sequence, 1))));
        }
        for (sequence, endpoint) in running {
            let is_slow = slow.contains(&endpoint.as_str());
            shard.first_token(sequence, if is_slow { 1_000 } else { 100 });
            shard.done(sequence);
            used.push(endpoint);
        }
        shard.now_ms += 100;
        shard.step(Input::Tick);
    }
    used
}

#[test]
fn slow_endpoint_is_ejected_probed_and_taken_back() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    run_rounds(&mut shard, 20, &[]);
    run_rounds(&mut shard, 8, &["e2"]);
    assert_eq!(shard.scheduler.counters().ejections, 1);
    let probes = run_rounds(&mut shard, 50, &["e2"]);
    let probes = probes.iter().filter(|name| *name == "e2").count();
    assert!((3..=6).contains(&probes), "{probes} probes in 5 s");
    run_rounds(&mut shard, 15, &[]);
    assert_eq!(shard.scheduler.counters().readmissions, 1);
    let used = run_rounds(&mut shard, 10, &[]);
    assert!(used.iter().filter(|name| *name == "e2").count() >= 8);
}

#[test]
fn at_most_a_third_is_ejected() {
    let mut shard = Shard::new(Config::default(), &[4; 7]);
    run_rounds(&mut shard, 40, &[]);
    for sequence in 0..200 {
        shard.enqueue(slot_request(sequence, 1));
        shard.end(sequence, AttemptEnd::NotSent, 0);
    }
    assert_eq!(shard.scheduler.gauges(shard.now_ms).ejected, 2);
}

#[test]
fn silent_endpoint_is_ejected_before_its_first_token() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    run_rounds(&mut shard, 20, &[]);
    let mut sequence = 0;
    let mut on_first = 0;
    while on_first < 4 {
        sequence += 1;
        for (granted, endpoint) in grants(&shard.enqueue(slot_request(sequence, 1))) {
            if endpoint == "e1" {
                on_first += 1;
            } else {
                shard.first_token(granted, 100);
            }
        }
    }
    shard.now_ms += 400;
    shard.step(Input::Tick);
    assert_eq!(shard.scheduler.gauges(shard.now_ms).ejected, 1);
}

#[test]
fn slow_pool_as_a_whole_ejects_nothing() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    run_rounds(&mut shard, 20, &[]);
    run_rounds(&mut shard, 30, &["e1", "e2", "e3"]);
    assert_eq!(shard.scheduler.counters().ejections, 0);
}

#[test]
fn limit_follows_targets_and_load_reports_only_lower_it() {
    let mut shard = Shard::new(Config::default(), &[8]);
    let slots = |shard: &Shard| shard.scheduler.gauges(shard.now_ms).slots;
    for sequence in 0..8 {
        shard.enqueue(slot_request(sequence, 1));
        shard.first_token(sequence, 5_000);
    }
    assert_eq!(slots(&shard), 6, "the limit is reduced once a second");
    shard.now_ms += 2_000;
    for sequence in 0..8 {
        shard.first_token(sequence, 5_000);
    }
    assert_eq!(slots(&shard), 4);
    for _ in 0..5 {
        shard.now_ms += 100;
        for sequence in 0..8 {
            shard.first_token(sequence, 50);
        }
    }
    assert!(
        slots(&shard) > 4,
        "the limit grows while all slots are in use"
    );
    let endpoint = waxwing_core::Name::from("e1");
    let load = |running, waiting| Input::Load {
        endpoint: endpoint.clone(),
        running,
        waiting,
    };
    let before = slots(&shard);
    shard.step(load(100, 3));
    assert_eq!(slots(&shard), before);
    shard.step(load(2, 3));
    assert_eq!(slots(&shard), 2);
    shard.now_ms += 4_999;
    assert_eq!(slots(&shard), 2);
    shard.now_ms += 1;
    assert_eq!(slots(&shard), before, "an old load report no longer counts");
}

#[test]
fn recovery_during_a_long_probe_is_noticed() {
    let mut shard = Shard::new(Config::default(), &[4, 4, 4]);
    run_rounds(&mut shard, 20, &[]);
    run_rounds(&mut shard, 8, &["e2"]);
    let progress = |shard: &mut Shard, sequence: u64, gap_us: u64| {
        shard.step(Input::Progress {
            ticket: shard::ticket(sequence),
            tokens: 16,
            gap_us,
        })
    };
    shard.enqueue(slot_request(1, 1));
    for _ in 0..10 {
        progress(&mut shard, 1, 20_000);
    }
    shard.now_ms += 2_000;
    let probe = grants(&shard.enqueue(slot_request(2, 1)));
    assert_eq!(probe, vec![(2, "e2".to_owned())]);
    shard.first_token(2, 1_000);
    progress(&mut shard, 2, 120_000);
    assert_eq!(shard.scheduler.counters().readmissions, 0);
    progress(&mut shard, 2, 20_000);
    assert_eq!(shard.scheduler.counters().readmissions, 1);
}
