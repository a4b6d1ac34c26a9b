//! Streams that callers take up: they go on only at the software version that began them.

use std::time::Duration;

use async_io::Timer;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::forwarding::configuration::RouteKind;
use waxwing_core::forwarding::event_stream::EventSplitter;
use waxwing_core::forwarding::stream_origins::SoftwareKey;

use crate::exchange::Exchange;
use crate::exchange::send::RunGuard;
use crate::metric;
use crate::stream_origins::Origin;

/// Time for which a request waits for other VMs to tell where its stream began, in milliseconds.
const LEARN_MS: u64 = 500;

/// Time in which other VMs tell of a stream before the log service is asked, in milliseconds: two rounds, and the way
/// between data centres.
const TOLD_MS: u64 = 250;

/// Interval at which it looks whether they have, in milliseconds.
const LOOK_MS: u64 = 25;

/// Time after which a caller may retry when it is not known where its stream began, in milliseconds.
const UNKNOWN_RETRY_AFTER_MS: u64 = 300;

/// Time after which a caller may retry when no endpoint has the version that began its stream, in milliseconds.
const GONE_RETRY_AFTER_MS: u64 = 1_000;

/// Where the stream of a request began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Began {
    /// It has not begun; any version may begin it.
    Nowhere,
    /// At this version, and it goes on only there.
    At(SoftwareKey),
    /// That cannot be told, so it cannot go on.
    Unknown,
}

impl Began {
    /// Returns the only version that may run the request; `None` if any may.
    pub(crate) fn software(self) -> Option<SoftwareKey> {
        match self {
            Began::At(software) => Some(software),
            Began::Nowhere | Began::Unknown => None,
        }
    }
}

impl Exchange {
    /// Finds the version at which a stream that the caller takes up has to go on.
    pub(super) async fn find_start(&mut self) -> Result<(), Refusal> {
        let is_stream = self.route.kind == RouteKind::Stream && self.route.is_resumable;
        if !is_stream || self.request_info.last_event_id.is_none() {
            return Ok(());
        }
        let since_ms = self.gateway.clock.now_ms();
        let origin = self.find_origin().await;
        let waited_ms = self.gateway.clock.now_ms() - since_ms;
        let attempt = self.request_info.begun_by.as_deref().unwrap_or("");
        log::info!(
            event = "stream_taken_up", request = self.trace.request_id(), resumes = attempt, origin = origin.as_str(),
            waited_ms = waited_ms;
            "a caller takes a stream up"
        );
        metrics::counter!(metric::TAKE_UPS, "origin" => origin.as_str()).increment(1);
        let software = match origin {
            Origin::Recorded(software) | Origin::OnlyVersion(software) => software,
            Origin::Unknown => {
                let message = "this VM does not know which software version began the stream";
                let reason = Reason::OriginUnknown;
                return Err(Refusal::not_run(reason, UNKNOWN_RETRY_AFTER_MS, message));
            }
        };
        let service = {
            let endpoints = self.gateway.endpoints.borrow();
            let mut services = self.route.targets.iter().map(|target| &target.service);
            services
                .find(|service| endpoints.has_endpoint_with(service, software))
                .cloned()
        };
        let Some(service) = service else {
            let message = "no endpoint has the software version that began the stream; begin anew";
            let reason = Reason::VersionGone;
            return Err(Refusal::not_run(reason, GONE_RETRY_AFTER_MS, message));
        };
        if let Some(configuration) = self.gateway.configuration() {
            self.use_service(&configuration, service);
        }
        self.began = Began::At(software);
        Ok(())
    }

    async fn find_origin(&self) -> Origin {
        let attempt = self.request_info.begun_by.as_deref();
        let find = || self.gateway.find_origin(&self.route, attempt);
        // The log service knows as much as other VMs while several versions serve, and a VM that has just started was told
        // nothing of streams from before.
        let gateway = &self.gateway;
        if gateway.has_software_history(&self.route) && !gateway.has_mixed_software() {
            self.await_origin(TOLD_MS).await;
        }
        if let recorded @ Origin::Recorded(_) = find() {
            return recorded;
        }
        // A version may have begun to serve since this VM read the entries last.
        if self.gateway.check_software().await {
            let found = find();
            if found != Origin::Unknown {
                return found;
            }
        }
        self.await_origin(LEARN_MS).await;
        match find() {
            recorded @ Origin::Recorded(_) => recorded,
            Origin::OnlyVersion(_) | Origin::Unknown => Origin::Unknown,
        }
    }

    /// Waits until another VM tells where the stream began, or for `limit_ms` at most.
    async fn await_origin(&self, limit_ms: u64) {
        let Some(attempt) = self.request_info.begun_by.as_deref() else {
            return;
        };
        let until_ms = self.gateway.clock.now_ms() + limit_ms.min(self.remaining_ms() / 4);
        while self.gateway.clock.now_ms() < until_ms && self.gateway.may_learn_origin(attempt) {
            Timer::after(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Returns whether the events that a run is about to bring may be passed on.
    pub(crate) fn may_begin(&self, run: &RunGuard) -> bool {
        match self.began {
            Began::Nowhere => true,
            Began::At(software) => software == run.software && self.is_unchanged(run),
            Began::Unknown => false,
        }
    }

    /// Returns whether the endpoint of a run states the software that it stated when the run began.
    fn is_unchanged(&self, run: &RunGuard) -> bool {
        let endpoints = self.gateway.endpoints.borrow();
        endpoints.has_software(&run.endpoint_id, run.software)
    }

    /// Records at which version a stream begins or goes on, before the first event of a run is passed on.
    pub(crate) fn begin_stream(&mut self, run: &RunGuard, splitter: &EventSplitter) {
        match self.began {
            Began::Nowhere if self.is_unchanged(run) => self.began = Began::At(run.software),
            // The answer may come from the endpoint before its restart or after it.
            Began::Nowhere | Began::Unknown => self.began = Began::Unknown,
            Began::At(_) => {
                log::info!(
                    event = "stream_resumed", request = self.trace.request_id(),
                    resumes = self.request_info.begun_by.as_deref().unwrap_or(""),
                    endpoint = run.endpoint_id.as_str(), version = run.version.as_str(),
                    event_id = splitter.last_id().unwrap_or("");
                    "a stream that had begun goes on"
                );
            }
        }
        let attempt = match self.request_info.last_event_id {
            Some(_) => self.request_info.begun_by.as_deref(),
            None => self.request_info.request_id.as_deref(),
        };
        if let Some(attempt) = attempt.filter(|_| self.route.is_resumable) {
            self.gateway.record_stream(attempt, self.began.software());
        }
    }
}
