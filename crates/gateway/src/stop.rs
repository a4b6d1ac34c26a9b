//! The planned stop of a VM: no task that holds a caller's request ends without telling the caller.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures::future::Either;
use futures::future::select;
use hyper::Response;
use hyper::StatusCode;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::planned_stop::FinalAnswer;
use waxwing_core::forwarding::planned_stop::NewRequest;
use waxwing_core::forwarding::planned_stop::Phase;
use waxwing_core::forwarding::planned_stop::PlannedStop;
use waxwing_core::forwarding::planned_stop::Remaining;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::planned_stop::final_answer;
use waxwing_core::forwarding::run::status_code;

use crate::body::Body;
use crate::body::ChunkSender;
use crate::exchange;
use crate::gateway::Gateway;
use crate::latch::Latch;
use crate::logging;
use crate::metric;
use crate::progress::RequestProgress;
use crate::progress::StageCounts;
use crate::progress::StopEnd;
use crate::server::Drain;

/// Longest time between two looks at what is left to do, in milliseconds.
const CHECK_MS: u64 = 20;

/// Rounds in which connections whose answer was broken off are closed. A round lets all tasks that are ready run, also on a VM
/// that gets little processor time.
const BREAK_OFF_ROUNDS: usize = 6;

/// Pause between two such rounds, in milliseconds.
const BREAK_OFF_MS: u64 = 5;

/// Status in the log of an answer that was broken off; the caller had received its head.
const BROKEN_OFF_STATUS: u16 = 200;

/// What the tasks of a process wait for during a stop.
#[derive(Debug, Default)]
pub(crate) struct StopSignals {
    /// Requests without an answer get a final one.
    closing: Latch,
    /// Answers that are being relayed are broken off.
    ending: Latch,
    /// Connections of callers.
    pub(crate) callers: Rc<Drain>,
    /// Connections of other VMs.
    pub(crate) peers: Rc<Drain>,
    /// Requests that the stop ended.
    ended: StageCounts,
}

/// Carries a request until it has an answer; if the VM stops before, the request gets a final one.
pub(crate) async fn answer_until_closing(
    gateway: &Gateway,
    progress: &RequestProgress,
    request_id: &str,
    answer: Pin<&mut impl Future<Output = Response<Body>>>,
) -> Response<Body> {
    match select(answer, gateway.stop_signals.closing.wait()).await {
        Either::Left((response, _)) => response,
        Either::Right(_) => end_request(gateway, progress, request_id),
    }
}

fn end_request(gateway: &Gateway, progress: &RequestProgress, request_id: &str) -> Response<Body> {
    let standing = progress.standing();
    let (execution, may_return) = match final_answer(standing) {
        FinalAnswer::Refuse {
            execution,
            may_return,
        } => (execution, may_return),
        // The answer was ready at this moment and has not been passed on.
        FinalAnswer::BreakOff => (Execution::Ran, standing.is_repeatable),
    };
    let message = match (execution, may_return) {
        (Execution::NotRun, _) => "this VM is stopping; use another entry address",
        (_, true) => "this VM stopped before the endpoint answered; use another entry address",
        (_, false) => "this VM stopped before the endpoint answered; the request may have run",
    };
    let refusal = Refusal {
        reason: Reason::Stopping,
        run: match execution {
            Execution::NotRun => ExecutionStatus::NotRun,
            Execution::Unknown | Execution::Ran => ExecutionStatus::Unknown,
        },
        retry_after_ms: match may_return {
            true => exchange::STOPPING_RETRY_AFTER_MS,
            false => 0,
        },
        message: message.to_owned(),
    };
    let status = status_code(execution, false);
    gateway.record_stop_end(progress, status, execution);
    metrics::counter!(metric::REFUSALS, "reason" => refusal.reason.as_str()).increment(1);
    let mut response = exchange::refusal_response(gateway, request_id, &refusal);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

/// Runs a task that relays an answer; breaks the answer off if the process ends first.
pub(crate) async fn relay_until_end(
    gateway: Rc<Gateway>,
    progress: Rc<RequestProgress>,
    chunks: ChunkSender,
    relaying: Pin<Box<impl Future<Output = ()>>>,
) {
    match select(relaying, gateway.stop_signals.ending.wait()).await {
        Either::Left(_) => return,
        Either::Right(_) => {
            gateway.record_stop_end(&progress, BROKEN_OFF_STATUS, Execution::Unknown);
        }
    }
    // Without an error the answer would look complete. Fails only if the caller has closed the connection.
    let error = std::io::Error::other("the VM stopped before the answer was complete");
    let _ = chunks.send_async(Err(error)).await;
}

impl Gateway {
    /// Returns whether the VM was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Returns whether a request of a route can still be taken.
    pub(crate) fn can_accept(&self, route: &Route) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let request = NewRequest {
            timeout_ms: route.timeout_ms,
            typical_ms: self.typical_times.borrow().get(&route.name),
            is_repeatable: route.is_repeatable(),
        };
        stop.accepts(&request, self.clock.now_ms())
    }

    /// Leaves the directory, finishes the requests in progress, and gives those that cannot be finished a final answer.
    pub(crate) async fn stop(&self) {
        let grace_ms = self.settings.stop.grace_s * 1_000;
        let mut stop = PlannedStop::new(grace_ms, self.clock.now_ms());
        self.planned_stop.set(Some(stop));
        let in_progress = self.stages.total();
        log::info!(event = "stopping", in_progress = in_progress; "leaving the directory");
        loop {
            let remaining = self.remaining_work();
            let phase = stop.advance(remaining, self.clock.now_ms());
            self.planned_stop.set(Some(stop));
            match phase {
                Phase::Draining => {}
                Phase::Closing => self.close(remaining),
                Phase::Ended => break,
            }
            let wait_ms = stop.next_check_ms(remaining, self.clock.now_ms());
            Timer::after(Duration::from_millis(wait_ms.clamp(1, CHECK_MS))).await;
        }
        self.stop_signals.ending.open();
        let unsent = self.stop_signals.callers.used_count();
        for _ in 0..BREAK_OFF_ROUNDS {
            if self.stop_signals.callers.used_count() == 0 {
                break;
            }
            Timer::after(Duration::from_millis(BREAK_OFF_MS)).await;
        }
        let ended = |stage| self.stop_signals.ended.get(stage);
        log::info!(
            target: logging::STOP_TARGET,
            event = "stopped", ended_receiving = ended(Stage::Receiving), ended_waiting = ended(Stage::Waiting),
            ended_sent = ended(Stage::Sent), ended_buffering = ended(Stage::Buffering),
            ended_relaying = ended(Stage::Relaying), unsent = unsent;
            "stopped"
        );
    }

    /// Accepts no further connections, and lets requests without an answer get a final one.
    fn close(&self, remaining: Remaining) {
        if self.stop_signals.closing.is_open() {
            return;
        }
        log::info!(
            target: logging::STOP_TARGET,
            event = "closing", unanswered = remaining.unanswered, relaying = remaining.relaying,
            connections = remaining.connections;
            "requests without an answer get a final one"
        );
        self.stop_signals.closing.open();
        self.stop_signals.callers.close();
        self.stop_signals.peers.close();
    }

    fn remaining_work(&self) -> Remaining {
        let relaying = self.stages.get(Stage::Relaying);
        Remaining {
            unanswered: self.stages.total() - relaying,
            relaying,
            connections: self.stop_signals.callers.used_count(),
        }
    }

    fn record_stop_end(&self, progress: &RequestProgress, status: u16, execution: Execution) {
        let stage = progress.standing().stage;
        progress.end(StopEnd {
            stage,
            status,
            execution,
        });
        self.stop_signals.ended.add(stage);
        metrics::counter!(metric::STOP_ENDS, "stage" => stage.as_str()).increment(1);
    }
}
