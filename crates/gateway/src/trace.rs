//! The timeline of a request, written as one log line at its end.

use std::fmt::Write;
use std::rc::Rc;

use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::forwarding::configuration::RouteKind;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::run::Execution;
use waxwing_core::forwarding::run::RunOutcome;

use crate::clock::Clock;
use crate::exchange::RefusedPart;
use crate::logging;
use crate::metric;
use crate::progress::RequestProgress;

/// Events of one request; a trace that is dropped unfinished is logged as `caller_gone`, or as `stopping` if a planned stop
/// ended the request.
pub(crate) struct Trace {
    clock: Clock,
    received_ms: u64,
    request_id: String,
    route: Option<Name>,
    kind: &'static str,
    organisation: Option<Name>,
    level: Option<u8>,
    configuration_version: u64,
    runs: String,
    /// Endpoint of the run in progress, and its start in milliseconds since the request was received.
    unfinished: Option<(Name, u64)>,
    first_byte_ms: Option<u64>,
    is_finished: bool,
    progress: Rc<RequestProgress>,
}

impl Trace {
    pub(crate) fn new(
        clock: Clock,
        request_id: &str,
        configuration_version: u64,
        progress: Rc<RequestProgress>,
    ) -> Self {
        Self {
            clock,
            received_ms: clock.now_ms(),
            request_id: request_id.to_owned(),
            route: None,
            kind: "none",
            organisation: None,
            level: None,
            configuration_version,
            runs: String::new(),
            unfinished: None,
            first_byte_ms: None,
            is_finished: false,
            progress,
        }
    }

    pub(crate) fn set_route(&mut self, name: &Name, kind: RouteKind) {
        self.route = Some(name.clone());
        self.kind = match kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Stream => "stream",
        };
    }

    pub(crate) fn set_caller(&mut self, organisation: Option<&Name>, level: UrgencyLevel) {
        self.organisation = organisation.cloned();
        self.level = Some(level.into());
    }

    /// Records that a newer configuration decided on the request.
    pub(crate) fn set_configuration(&mut self, version: u64) {
        self.configuration_version = version;
    }

    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    pub(crate) fn received_ms(&self) -> u64 {
        self.received_ms
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.clock.now_ms() - self.received_ms
    }

    /// Records that the request was sent to an endpoint.
    pub(crate) fn begin_run(&mut self, endpoint: &Name, began_ms: u64) {
        self.unfinished = Some((endpoint.clone(), began_ms - self.received_ms));
    }

    /// Adds a finished run: endpoint, outcome, and start and end in milliseconds since the request was received.
    pub(crate) fn record_run_end(
        &mut self,
        endpoint: &str,
        began_ms: u64,
        outcome: RunOutcome,
        detail: &str,
    ) {
        self.unfinished = None;
        let began_ms = began_ms - self.received_ms;
        let ended_ms = self.elapsed_ms();
        let outcome = outcome.as_str();
        // Writing to a string cannot fail.
        let _ = write!(
            self.runs,
            "{endpoint}:{outcome}@{began_ms}-{ended_ms}{detail} "
        );
    }

    /// Adds an endpoint to which the request was not sent because of its prefill backlog.
    pub(crate) fn record_backlog(&mut self, endpoint: &str, backlog_ms: f64) {
        let elapsed_ms = self.elapsed_ms();
        let _ = write!(
            self.runs,
            "{endpoint}:not_sent@{elapsed_ms}(backlog {backlog_ms:.0} ms) "
        );
    }

    /// Adds what the VM held when it had no memory for the request.
    pub(crate) fn record_memory(&mut self, held_bytes: u64, asked_bytes: u64) {
        let elapsed_ms = self.elapsed_ms();
        let _ = write!(
            self.runs,
            "memory:refused@{elapsed_ms}({held_bytes} bytes held, {asked_bytes} asked) "
        );
    }

    /// Adds the endpoint whose rate limit admits another request first, `wait_ms` from now.
    pub(crate) fn record_limited(&mut self, endpoint: &str, wait_ms: u64) {
        let elapsed_ms = self.elapsed_ms();
        let _ = write!(
            self.runs,
            "{endpoint}:limited@{elapsed_ms}(permit in {wait_ms} ms) "
        );
    }

    /// Adds the part of the prompt for which the request was not sent.
    pub(crate) fn record_refused_part(&mut self, refused: &RefusedPart) {
        let elapsed_ms = self.elapsed_ms();
        let RefusedPart {
            part,
            position,
            count,
            retry_after_ms,
        } = refused;
        let _ = write!(
            self.runs,
            "part-{position}-of-{count}:refused@{elapsed_ms}({:016x}, retry in {retry_after_ms} ms) ",
            part.0
        );
    }

    pub(crate) fn record_first_byte(&mut self) {
        if self.first_byte_ms.is_some() {
            return;
        }
        let elapsed_ms = self.elapsed_ms();
        self.first_byte_ms = Some(elapsed_ms);
        let seconds = elapsed_ms as f64 / 1_000.0;
        metrics::histogram!(metric::FIRST_BYTE, "kind" => self.kind).record(seconds);
    }

    /// Writes the log line of a request that got its final response.
    pub(crate) fn finish(&mut self, outcome: &'static str, status: u16, execution: Execution) {
        self.is_finished = true;
        self.write(outcome, status, execution, module_path!());
    }

    fn write(&self, outcome: &'static str, status: u16, execution: Execution, target: &str) {
        let total_ms = self.elapsed_ms();
        let seconds = total_ms as f64 / 1_000.0;
        metrics::histogram!(metric::TOTAL, "kind" => self.kind).record(seconds);
        metrics::counter!(metric::REQUESTS, "kind" => self.kind, "outcome" => outcome).increment(1);
        let execution = match execution {
            Execution::NotRun => "not_run",
            Execution::Unknown => "unknown",
            Execution::Ran => "ran",
        };
        let stage = self
            .progress
            .stop_end()
            .map_or("", |end| end.stage.as_str());
        log::info!(
            target: target,
            event = "request_end",
            request = self.request_id.as_str(),
            route = self.route.as_ref().map_or("", Name::as_str),
            organisation = self.organisation.as_ref().map_or("", Name::as_str),
            urgency = self.level,
            outcome = outcome,
            status = status,
            execution = execution,
            total_ms = total_ms,
            first_byte_ms = self.first_byte_ms.unwrap_or(0),
            configuration = self.configuration_version,
            stopped_stage = stage,
            runs = self.runs.trim_end();
            "request ended"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.is_finished {
            if let Some((endpoint, began_ms)) = self.unfinished.take() {
                let ended_ms = self.elapsed_ms();
                let endpoint = endpoint.as_str();
                let _ = write!(self.runs, "{endpoint}:unfinished@{began_ms}-{ended_ms}");
            }
            match self.progress.stop_end() {
                Some(end) => self.write(
                    Reason::Stopping.as_str(),
                    end.status,
                    end.execution,
                    logging::STOP_TARGET,
                ),
                None => self.write("caller_gone", 0, Execution::Unknown, module_path!()),
            }
        }
    }
}
