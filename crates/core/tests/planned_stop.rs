//! The decisions of a planned stop: phases, final answers, and which requests are still taken.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::planned_stop::FinalAnswer;
use waxwing_core::forwarding::planned_stop::NewRequest;
use waxwing_core::forwarding::planned_stop::Phase;
use waxwing_core::forwarding::planned_stop::PlannedStop;
use waxwing_core::forwarding::planned_stop::Remaining;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::planned_stop::Standing;
use waxwing_core::forwarding::planned_stop::TypicalTimes;
use waxwing_core::forwarding::planned_stop::final_answer;

const GRACE_MS: u64 = 8_000;

/// Time for a final answer at a quarter of a core, as `docs/decisions/planned-stop.md` measures it, in microseconds.
const MEASURED_ANSWER_US: u64 = 320;

const EXECUTIONS: [Execution; 3] = [Execution::NotRun, Execution::Unknown, Execution::Ran];

fn remaining(unanswered: u32, relaying: u32, connections: u32) -> Remaining {
    Remaining {
        unanswered,
        relaying,
        connections,
    }
}

/// Moves a stop on in steps of 10 ms until it reaches a phase, and returns the time that it took. Requests without an answer
/// get one when the VM is closing.
fn time_to(phase: Phase, mut left: Remaining, grace_ms: u64) -> u64 {
    let mut stop = PlannedStop::new(grace_ms, 1_000);
    let mut elapsed_ms = 0;
    loop {
        let reached = stop.advance(left, 1_000 + elapsed_ms);
        if reached >= phase {
            return elapsed_ms;
        }
        if reached == Phase::Closing {
            left.unanswered = 0;
        }
        elapsed_ms += 10;
        assert!(elapsed_ms < grace_ms, "SIGKILL comes before {phase:?}");
    }
}

/// An answer that says "not run" must be certain, and one that may run twice must not invite a repeat, in every state.
#[test]
fn truthful_answers() {
    for stage in Stage::ALL {
        for execution in EXECUTIONS {
            for is_repeatable in [false, true] {
                let standing = Standing {
                    stage,
                    execution,
                    is_repeatable,
                };
                let is_at_endpoint = matches!(stage, Stage::Sent | Stage::Buffering);
                match final_answer(standing) {
                    FinalAnswer::BreakOff => assert_eq!(stage, Stage::Relaying),
                    FinalAnswer::Refuse {
                        execution: said,
                        may_return,
                    } => {
                        let is_certain = execution == Execution::NotRun && !is_at_endpoint;
                        assert_eq!(said == Execution::NotRun, is_certain, "{standing:?}");
                        assert_eq!(may_return, is_certain || is_repeatable, "{standing:?}");
                        assert!(said >= execution);
                    }
                }
            }
        }
    }
}

/// Requests without an answer must not be ended sooner than it takes to tell them, nor so late that SIGKILL comes first.
#[test]
fn reserved_time() {
    for unanswered in [1, 16, 65, 300, 1_000, 2_900] {
        for grace_ms in [2_000, 4_000, GRACE_MS, 30_000] {
            let closing_ms = time_to(Phase::Closing, remaining(unanswered, 0, 0), grace_ms);
            let sending_ms = u64::from(unanswered) * MEASURED_ANSWER_US / 1_000;
            let is_possible = sending_ms < grace_ms / 3;
            assert!(
                !is_possible || closing_ms + sending_ms < grace_ms,
                "{unanswered} answers are not sent"
            );
            let sooner_ms = grace_ms - closing_ms;
            assert!(
                sooner_ms <= 400 + 2 * sending_ms,
                "{unanswered} requests are ended {sooner_ms} ms before SIGKILL"
            );
        }
    }
}

/// An answer that is being relayed must go on for longer than the wait of those that have none.
#[test]
fn relayed_longest() {
    let left = remaining(40, 25, 65);
    let closing_ms = time_to(Phase::Closing, left, GRACE_MS);
    let ended_ms = time_to(Phase::Ended, left, GRACE_MS);
    assert!(closing_ms < ended_ms && ended_ms < GRACE_MS);
    assert!(ended_ms >= GRACE_MS - 300);
}

/// A VM without requests must not end while callers may still use its address, and soon after.
#[test]
fn idle_stop() {
    let closing_ms = time_to(Phase::Closing, Remaining::default(), GRACE_MS);
    assert!((4_000..5_000).contains(&closing_ms), "{closing_ms}");
    let ended_ms = time_to(Phase::Ended, Remaining::default(), GRACE_MS);
    assert!(ended_ms <= closing_ms + 10);
}

/// A process must not end while a connection has something left to send, unless its time is up.
#[test]
fn unsent_answers() {
    let mut stop = PlannedStop::new(GRACE_MS, 0);
    assert_eq!(stop.advance(remaining(0, 0, 3), 4_600), Phase::Closing);
    assert_eq!(stop.advance(remaining(0, 0, 1), 5_000), Phase::Closing);
    assert_eq!(stop.advance(remaining(0, 0, 0), 5_100), Phase::Ended);
}

/// A VM that gets no processor time until its end has passed must still send final answers.
#[test]
fn delayed_stop() {
    for late_ms in [GRACE_MS - 250, GRACE_MS, 3 * GRACE_MS] {
        let mut stop = PlannedStop::new(GRACE_MS, 0);
        let left = remaining(40, 5, 45);
        assert_eq!(stop.advance(left, 100), Phase::Draining);
        assert_eq!(stop.advance(left, late_ms), Phase::Closing);
        assert_eq!(stop.advance(left, late_ms + 500), Phase::Closing);
        let answered = remaining(0, 5, 5);
        assert_eq!(stop.advance(answered, late_ms + 501), Phase::Ended);
    }
}

/// Whatever the order of events, phases only go forward, the end comes before SIGKILL, and nothing is left before it.
#[test]
fn random_orders() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let grace_ms = random.random_range(2_000..20_000);
        let mut stop = PlannedStop::new(grace_ms, 0);
        let (mut now_ms, mut before) = (0, Phase::Draining);
        let mut left = remaining(
            random.random_range(0..400),
            random.random_range(0..100),
            random.random_range(0..500),
        );
        loop {
            let phase = stop.advance(left, now_ms);
            assert!(phase >= before, "seed {seed}: back to {phase:?}");
            before = phase;
            if phase == Phase::Ended {
                let is_due = now_ms + 400 >= grace_ms && left.unanswered == 0;
                assert!(
                    is_due || left == Remaining::default(),
                    "seed {seed}: {left:?}"
                );
                break;
            }
            let check_ms = stop.next_check_ms(left, now_ms).clamp(1, 50);
            now_ms += random.random_range(1..=check_ms);
            assert!(now_ms < grace_ms, "seed {seed}: SIGKILL");
            for count in [
                &mut left.unanswered,
                &mut left.relaying,
                &mut left.connections,
            ] {
                *count -= (*count).min(random.random_range(0..20));
            }
            if phase == Phase::Closing {
                left.unanswered = 0;
            }
            if phase == Phase::Draining && random.random_bool(0.3) {
                left.unanswered += random.random_range(0..20);
            }
        }
    }
}

/// A stopping VM must not turn callers away who still use its address, unless their request may run only once and is
/// unlikely to end in time.
#[test]
fn accepted_requests() {
    let stop = PlannedStop::new(GRACE_MS, 0);
    let accepts = |timeout_ms, typical_ms, is_repeatable, now_ms| {
        let request = NewRequest {
            timeout_ms,
            typical_ms,
            is_repeatable,
        };
        stop.accepts(&request, now_ms)
    };
    for is_repeatable in [false, true] {
        assert!(accepts(15_000, None, is_repeatable, 2_000));
        assert!(accepts(15_000, Some(3_000), is_repeatable, 2_000));
        assert!(accepts(15_000, Some(6_500), is_repeatable, 500));
        // Callers have other addresses by then.
        assert!(!accepts(15_000, Some(100), is_repeatable, 3_000));
        assert!(accepts(3_000, Some(6_500), is_repeatable, 3_000));
        assert!(!accepts(3_000, None, is_repeatable, 5_500));
    }
    assert!(!accepts(15_000, Some(6_500), false, 2_000));
    assert!(accepts(15_000, Some(6_500), true, 2_000));
    let mut closed = PlannedStop::new(GRACE_MS, 0);
    assert_eq!(closed.advance(Remaining::default(), 4_600), Phase::Closing);
    let short = NewRequest {
        timeout_ms: 100,
        typical_ms: None,
        is_repeatable: true,
    };
    assert!(!closed.accepts(&short, 4_700));
}

/// The time that a route's requests take must follow what they took lately, and be forgotten with the route.
#[test]
fn typical_times() {
    let (slow, fast) = (Name::from("slow"), Name::from("fast"));
    let mut times = TypicalTimes::default();
    assert_eq!(times.get(&slow), None);
    times.record(&fast, 20);
    for _ in 0..50 {
        times.record(&slow, 100);
    }
    for _ in 0..50 {
        times.record(&slow, 7_000);
    }
    assert!(times.get(&slow).unwrap() > 6_500);
    assert_eq!(times.get(&fast), Some(20));
    times.retain(|route| *route == fast);
    assert_eq!(times.get(&slow), None);
}
