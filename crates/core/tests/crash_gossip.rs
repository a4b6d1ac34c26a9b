//! What VMs tell each other of crashes when there are more of them than a VM keeps.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::forwarding::crashing_parts::Clearance;
use waxwing_core::forwarding::crashing_parts::CrashReport;
use waxwing_core::forwarding::crashing_parts::CrashingParts;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::endpoints::notices::Incarnation;

const BEGIN_MS: u64 = 1_000_000;

/// Interval between rounds of adverts, in milliseconds.
const ROUND_MS: u64 = 300;

/// Time for which a finding is news, in milliseconds.
const NEWS_MS: u64 = 3_000;

/// Longest transit time of a datagram, in milliseconds.
const TRANSIT_MAX_MS: u64 = 20;

const VMS: usize = 5;

/// Crashes that the VMs notice together; several times as many as a VM keeps.
const CRASHES: u64 = 1_200;

/// Lets the VMs crash endpoints that run prompts of many organisations, all within half a second.
fn crash_many(vms: &mut [CrashingParts], random: &mut ChaCha8Rng) {
    for number in 0..CRASHES {
        let scope = Scope {
            organisation: random.random_range(0..40),
            service: 1,
        };
        let parts = [PartKey(number % 7), PartKey(1_000 + number)];
        let at_ms = BEGIN_MS + random.random_range(0..500);
        let vm = random.random_range(0..VMS);
        vms[vm].record_crash(Incarnation(number % 64), scope, &parts, at_ms, at_ms);
    }
}

/// Lets each VM tell the others what it learned lately; returns how many of the datagrams brought news.
fn exchange(vms: &mut [CrashingParts], random: &mut ChaCha8Rng, now_ms: u64) -> usize {
    let mut told: Vec<(usize, Vec<CrashReport>, Vec<Clearance>)> = Vec::new();
    for (vm, known) in vms.iter().enumerate() {
        let (reports, clearances) = known.findings(now_ms - NEWS_MS, now_ms);
        told.push((vm, reports, clearances));
    }
    let mut news = 0;
    for (sender, reports, clearances) in told {
        for (vm, known) in vms.iter_mut().enumerate() {
            if vm == sender {
                continue;
            }
            let arrived_ms = now_ms + random.random_range(0..TRANSIT_MAX_MS);
            for reports in reports.chunks(16) {
                news += usize::from(known.merge(reports, &[], arrived_ms));
            }
            news += usize::from(known.merge(&[], &clearances, arrived_ms));
        }
    }
    news
}

/// Guards against VMs that evict reports, learn them anew from each other and send them on, without end.
#[test]
fn many_crashes_settle() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut vms: Vec<CrashingParts> = (0..VMS).map(|_| CrashingParts::new()).collect();
        crash_many(&mut vms, &mut random);
        let mut now_ms = BEGIN_MS + 500;
        // Everything has been told to everyone after the first round, and what that brought after the second.
        for _ in 0..3 {
            exchange(&mut vms, &mut random, now_ms);
            now_ms += ROUND_MS;
        }
        for _ in 0..20 {
            let news = exchange(&mut vms, &mut random, now_ms);
            assert_eq!(
                news,
                0,
                "seed {seed}: still news at {} ms",
                now_ms - BEGIN_MS
            );
            now_ms += ROUND_MS;
        }
        let (reports, _) = vms[0].findings(now_ms - NEWS_MS, now_ms);
        assert!(
            reports.is_empty(),
            "seed {seed}: {} reports are sent again",
            reports.len()
        );
    }
}

/// Guards against a VM that ceases to learn of crashes after it has seen many.
#[test]
fn newer_crash_is_kept() {
    let mut random = ChaCha8Rng::seed_from_u64(0);
    let mut vms: Vec<CrashingParts> = (0..VMS).map(|_| CrashingParts::new()).collect();
    crash_many(&mut vms, &mut random);
    let now_ms = BEGIN_MS + 60_000;
    let report = CrashReport {
        endpoint: Incarnation(9_999),
        scope: Scope {
            organisation: 50,
            service: 1,
        },
        parts: vec![PartKey(5), PartKey(9_999)],
        age_ms: 10,
    };
    for known in &mut vms {
        assert!(known.merge(std::slice::from_ref(&report), &[], now_ms));
        assert!(!known.merge(std::slice::from_ref(&report), &[], now_ms + 5));
    }
}

/// Guards against VMs that forget cleared parts, learn them anew from each other and send them on, without end.
#[test]
fn cleared_parts_settle() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut vms: Vec<CrashingParts> = (0..VMS).map(|_| CrashingParts::new()).collect();
        crash_many(&mut vms, &mut random);
        let mut now_ms = BEGIN_MS + 500;
        for _ in 0..3 {
            exchange(&mut vms, &mut random, now_ms);
            now_ms += ROUND_MS;
        }
        for number in 0..CRASHES {
            for organisation in 0..40 {
                let scope = Scope {
                    organisation,
                    service: 1,
                };
                let parts = [PartKey(number % 7), PartKey(1_000 + number)];
                vms[random.random_range(0..VMS)].record_answer(scope, &parts, now_ms);
            }
        }
        for _ in 0..3 {
            exchange(&mut vms, &mut random, now_ms);
            now_ms += ROUND_MS;
        }
        for _ in 0..20 {
            let news = exchange(&mut vms, &mut random, now_ms);
            assert_eq!(
                news,
                0,
                "seed {seed}: still news at {} ms",
                now_ms - BEGIN_MS
            );
            now_ms += ROUND_MS;
        }
    }
}
