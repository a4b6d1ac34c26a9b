//! What the end of a run means: all orders of ends are explored, as the gateway would meet them.

use pathfinding::directed::bfs::bfs;
use waxwing_core::Name;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::configuration::RouteKind;
use waxwing_core::forwarding::configuration::Target;
use waxwing_core::forwarding::run::Progress;
use waxwing_core::forwarding::run::RepeatDecision;
use waxwing_core::forwarding::run::RunOutcome;
use waxwing_core::forwarding::run::StallTimeouts;
use waxwing_core::forwarding::run::decide_repeat;
use waxwing_core::forwarding::run::status_code;

const ENDS: [RunOutcome; 9] = [
    RunOutcome::Unreachable,
    RunOutcome::NotWritten,
    RunOutcome::Rejected,
    RunOutcome::Misdirected,
    RunOutcome::Failed,
    RunOutcome::Lost,
    RunOutcome::Stalled,
    RunOutcome::Expired,
    RunOutcome::Answered,
];

fn route(kind: RouteKind, attempts_max: u32, is_resumable: bool) -> Route {
    Route {
        name: Name::from("r"),
        host: "shop.example".to_owned(),
        path_prefix: "/r/".to_owned(),
        kind,
        timeout_ms: 5_000,
        objective_ms: 300,
        priority: 1,
        attempts_max,
        is_public: false,
        is_resumable,
        gap_target_ms: Some(200),
        targets: vec![Target {
            service: Name::from("pool"),
            weight: 1,
        }],
    }
}

/// A request as an observer at the endpoints sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    /// Ends so far, as indices of `ENDS`.
    ends: Vec<usize>,
    is_over: bool,
}

fn progress_after(seen: &Seen) -> Progress {
    let mut progress = Progress::new(4_000);
    for index in &seen.ends {
        progress.add(ENDS[*index]);
    }
    progress
}

fn successors(route: &Route, seen: &Seen) -> Vec<Seen> {
    if seen.is_over {
        return Vec::new();
    }
    let mut successors = Vec::new();
    for (index, end) in ENDS.iter().enumerate() {
        let mut next = seen.clone();
        next.ends.push(index);
        let is_answered = *end == RunOutcome::Answered;
        next.is_over =
            is_answered || decide_repeat(route, &progress_after(&next)) == RepeatDecision::GiveUp;
        successors.push(next);
    }
    successors
}

/// Explores all orders of ends and returns the shortest that breaks a promise.
fn find_violation(route: &Route, is_broken: impl Fn(&Seen) -> bool) -> Option<Vec<Seen>> {
    let start = Seen {
        ends: Vec::new(),
        is_over: false,
    };
    bfs(&start, |seen| successors(route, seen), is_broken)
}

fn count_runs(seen: &Seen) -> usize {
    let runs = seen
        .ends
        .iter()
        .filter(|index| ENDS[**index].execution() != Execution::NotRun);
    runs.count()
}

/// A request that may not be repeated runs once at most, whatever the order of ends.
#[test]
fn one_run() {
    let kinds = [
        route(RouteKind::NonIdempotent, 1, false),
        route(RouteKind::NonIdempotent, 3, false),
        route(RouteKind::Stream, 2, false),
    ];
    for route in kinds {
        assert_eq!(find_violation(&route, |seen| count_runs(seen) > 1), None);
    }
}

/// A request that may be repeated runs on no more endpoints than its route allows.
#[test]
fn bounded_runs() {
    for attempts_max in 1..4 {
        for kind in [RouteKind::Idempotent, RouteKind::Stream] {
            let route = route(kind, attempts_max, true);
            let is_broken = |seen: &Seen| count_runs(seen) > attempts_max as usize;
            assert_eq!(find_violation(&route, is_broken), None);
        }
    }
}

/// 503 is a promise: it must never follow a run that may have started.
#[test]
fn truthful_status() {
    let route = route(RouteKind::Idempotent, 2, false);
    let is_broken = |seen: &Seen| {
        let status = status_code(progress_after(seen).execution, false);
        seen.is_over && status == 503 && count_runs(seen) > 0
    };
    assert_eq!(find_violation(&route, is_broken), None);
    assert_eq!(status_code(Execution::NotRun, true), 503);
    assert_eq!(status_code(Execution::Unknown, true), 504);
    assert_eq!(status_code(Execution::Ran, false), 502);
}

/// A request that is refused everywhere ends after a few endpoints, since each refusal counts as a repeat.
#[test]
fn bounded_refusals() {
    let route = route(RouteKind::NonIdempotent, 1, false);
    assert_eq!(find_violation(&route, |seen| seen.ends.len() > 5), None);
}

/// A request without time left is not sent again.
#[test]
fn no_time() {
    let mut progress = Progress::new(10);
    progress.add(RunOutcome::Unreachable);
    assert_eq!(
        decide_repeat(&route(RouteKind::Idempotent, 2, false), &progress),
        RepeatDecision::GiveUp
    );
}

/// Under load, and with long prompts, a run must not be abandoned for what is usual then.
#[test]
fn growing_patience() {
    let route = route(RouteKind::Stream, 2, true);
    let calm = StallTimeouts::before_first_byte(&route, 50.0, 0.0);
    let loaded = StallTimeouts::before_first_byte(&route, 900.0, 0.0);
    let reading = StallTimeouts::before_first_byte(&route, 50.0, 1_500.0);
    assert!(calm.is_exceeded(250, true));
    assert!(!loaded.is_exceeded(1_700, false));
    assert!(!reading.is_exceeded(3_000, false));
    assert!(
        calm.is_exceeded(160, false) && !calm.is_exceeded(160, true),
        "a silent endpoint gets less time"
    );
}

/// The first requests after a start must not be abandoned for lack of figures (incident mzds-lublin inc-0b7e).
#[test]
fn unknown_service() {
    let route = route(RouteKind::Idempotent, 2, false);
    let timeouts = StallTimeouts::before_first_byte(&route, 0.0, 0.0);
    assert!(!timeouts.is_exceeded(route.objective_ms, false));
}
