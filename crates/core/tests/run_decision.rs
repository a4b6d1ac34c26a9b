//! Repeat decisions after run outcomes: explores all sequences of outcomes that the gateway can see.

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

const OUTCOMES: [RunOutcome; 9] = [
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

/// A request and the outcomes of its runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Trace {
    /// Outcomes so far, as indices of `OUTCOMES`.
    outcomes: Vec<usize>,
    is_over: bool,
}

fn progress_after(trace: &Trace) -> Progress {
    let mut progress = Progress::new(4_000);
    for index in &trace.outcomes {
        progress.add(OUTCOMES[*index]);
    }
    progress
}

fn successors(route: &Route, trace: &Trace) -> Vec<Trace> {
    if trace.is_over {
        return Vec::new();
    }
    let mut successors = Vec::new();
    for (index, outcome) in OUTCOMES.iter().enumerate() {
        let mut next = trace.clone();
        next.outcomes.push(index);
        let is_answered = *outcome == RunOutcome::Answered;
        next.is_over =
            is_answered || decide_repeat(route, &progress_after(&next)) == RepeatDecision::GiveUp;
        successors.push(next);
    }
    successors
}

/// Explores all sequences of outcomes and returns the shortest that violates a property.
fn find_violation(route: &Route, is_violation: impl Fn(&Trace) -> bool) -> Option<Vec<Trace>> {
    let start = Trace {
        outcomes: Vec::new(),
        is_over: false,
    };
    bfs(&start, |trace| successors(route, trace), is_violation)
}

fn count_runs(trace: &Trace) -> usize {
    let runs = trace
        .outcomes
        .iter()
        .filter(|index| OUTCOMES[**index].execution() != Execution::NotRun);
    runs.count()
}

/// Guards against a second run of a request that is not repeatable.
#[test]
fn one_run() {
    let kinds = [
        route(RouteKind::NonIdempotent, 1, false),
        route(RouteKind::NonIdempotent, 3, false),
        route(RouteKind::Stream, 2, false),
    ];
    for route in kinds {
        assert_eq!(find_violation(&route, |trace| count_runs(trace) > 1), None);
    }
}

/// Guards against more runs of a repeatable request than its route allows.
#[test]
fn bounded_runs() {
    for attempts_max in 1..4 {
        for kind in [RouteKind::Idempotent, RouteKind::Stream] {
            let route = route(kind, attempts_max, true);
            let is_violation = |trace: &Trace| count_runs(trace) > attempts_max as usize;
            assert_eq!(find_violation(&route, is_violation), None);
        }
    }
}

/// Guards against a 503 after a run that may have been executed; 503 guarantees that the request was not executed.
#[test]
fn truthful_status() {
    let route = route(RouteKind::Idempotent, 2, false);
    let is_violation = |trace: &Trace| {
        let status = status_code(progress_after(trace).execution, false);
        trace.is_over && status == 503 && count_runs(trace) > 0
    };
    assert_eq!(find_violation(&route, is_violation), None);
    assert_eq!(status_code(Execution::NotRun, true), 503);
    assert_eq!(status_code(Execution::Unknown, true), 504);
    assert_eq!(status_code(Execution::Ran, false), 502);
}

/// Guards against a rejected request that tries many endpoints and exhausts the repeat budget.
#[test]
fn bounded_refusals() {
    let route = route(RouteKind::NonIdempotent, 1, false);
    assert_eq!(
        find_violation(&route, |trace| trace.outcomes.len() > 5),
        None
    );
}

/// Guards against a repeat that cannot finish before the deadline.
#[test]
fn no_time() {
    let mut progress = Progress::new(10);
    progress.add(RunOutcome::Unreachable);
    assert_eq!(
        decide_repeat(&route(RouteKind::Idempotent, 2, false), &progress),
        RepeatDecision::GiveUp
    );
}

/// Guards against runs that are abandoned under load or with long prompts, when slow responses are normal.
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
        "an unresponsive endpoint gets less time"
    );
}

/// Guards against abandoned requests after a start, before response times are measured (incident mzds-lublin inc-0b7e).
#[test]
fn unknown_service() {
    let route = route(RouteKind::Idempotent, 2, false);
    let timeouts = StallTimeouts::before_first_byte(&route, 0.0, 0.0);
    assert!(!timeouts.is_exceeded(route.objective_ms, false));
}
