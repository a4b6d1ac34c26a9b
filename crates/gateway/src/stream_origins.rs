//! Tells other VMs at which software version streams began, and finds the version at which a stream may go on.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures::channel::oneshot;
use waxwing_core::Name;
use waxwing_core::fleet::Feed;
use waxwing_core::fleet::Position;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::stream_origins::AttemptKey;
use waxwing_core::forwarding::stream_origins::Learned;
use waxwing_core::forwarding::stream_origins::NEWS_MS;
use waxwing_core::forwarding::stream_origins::SoftwareKey;
use waxwing_core::forwarding::stream_origins::StreamOrigin;
use waxwing_core::forwarding::stream_origins::StreamOrigins;
use waxwing_wire::advert;
use waxwing_wire::advert::Datagram;
use waxwing_wire::advert::streams::StreamNotice;

use crate::client::with_timeout;
use crate::gateway::Gateway;
use crate::metric;

/// Interval at which other VMs are told of new streams, in milliseconds.
const ROUND_MS: u64 = 100;

/// The same while several versions serve, so that the log service soon holds the streams too.
const MIXED_ROUND_MS: u64 = 50;

/// Interval at which what was told lately is repeated, in milliseconds.
const REPEAT_MS: u64 = 400;

/// Most streams in one datagram.
const ORIGINS_MAX: usize = 256;

/// Most streams in one record of the log service.
const SAVED_MAX: usize = 4_096;

/// Time beyond the deadline of a route in which its streams may still be taken up, in milliseconds.
const TAKE_UP_SLACK_MS: u64 = 1_000;

/// Time for the log service to tell which versions have served, in milliseconds.
const CHECK_MS: u64 = 600;

/// Id of the VM that writes origins, for the choice among the VMs.
const WRITER: Incarnation = Incarnation(1);

/// What a VM knows of the origins of streams, and the requests that wait to learn more.
pub(crate) struct OriginService {
    origins: RefCell<StreamOrigins>,
    /// Requests that wait until the log service has told which versions served.
    waiting: RefCell<Vec<oneshot::Sender<bool>>>,
    wanted: (flume::Sender<()>, flume::Receiver<()>),
    /// Time up to which streams were written to the log service, in milliseconds.
    saved_at_ms: Cell<u64>,
}

impl OriginService {
    pub(crate) fn new() -> Self {
        Self {
            origins: RefCell::default(),
            waiting: RefCell::default(),
            wanted: flume::bounded(1),
            saved_at_ms: Cell::new(0),
        }
    }
}

/// A question to the log service: which software versions have served lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoftwareCheck {
    /// Position up to which this VM has read the endpoints' entries.
    pub position: Position,
    /// Whether this VM knows all versions that served before that position.
    pub is_complete: bool,
    /// Time that matters, in milliseconds.
    pub span_ms: u64,
    /// Endpoints that are listed.
    pub endpoints: usize,
}

/// Streams that have to be written to the log service.
#[derive(Clone, Debug)]
pub struct UnsavedStreams {
    /// Records, encoded.
    pub records: Vec<Vec<u8>>,
    /// Monotonic time up to which the streams are in them, in milliseconds.
    until_ms: u64,
}

/// What is known of a stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It began at this version, as this or another VM recorded.
    Recorded(SoftwareKey),
    /// Only this version has served for as long as the stream can last.
    OnlyVersion(SoftwareKey),
    /// It cannot be told.
    Unknown,
}

impl Origin {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Origin::Recorded(_) => "recorded",
            Origin::OnlyVersion(_) => "only_version",
            Origin::Unknown => "unknown",
        }
    }
}

impl Gateway {
    /// Records that this VM passes on the first event of a stream, or of what is taken up of it.
    pub(crate) fn record_stream(&self, attempt: &str, software: Option<SoftwareKey>) {
        let now_ms = self.clock.now_ms();
        let mut origins = self.origin_service.origins.borrow_mut();
        origins.record(AttemptKey::from(attempt), software, now_ms);
    }

    /// Returns at which version a stream of a route may go on that `attempt` began.
    pub(crate) fn find_origin(&self, route: &Route, attempt: Option<&str>) -> Origin {
        let recorded = attempt.and_then(|attempt| {
            let origins = self.origin_service.origins.borrow();
            origins.find(AttemptKey::from(attempt))
        });
        if let Some(recorded) = recorded {
            return recorded.software.map_or(Origin::Unknown, Origin::Recorded);
        }
        let now_ms = self.clock.now_ms();
        let since_ms = now_ms.saturating_sub(route.timeout_ms + TAKE_UP_SLACK_MS);
        let endpoints = self.endpoints.borrow();
        let history = endpoints.software_history();
        let listed_since_ms = since_ms.saturating_sub(history.list_gap_max_ms());
        let mut versions = Vec::new();
        for target in &route.targets {
            versions.extend(history.versions_since(&target.service, listed_since_ms));
        }
        match versions[..] {
            [software] if history.is_complete_since(since_ms) => Origin::OnlyVersion(software),
            _ => Origin::Unknown,
        }
    }

    /// Returns whether other VMs may still tell of a stream that this one does not know.
    pub(crate) fn may_learn_origin(&self, attempt: &str) -> bool {
        let origins = self.origin_service.origins.borrow();
        origins.find(AttemptKey::from(attempt)).is_none()
    }

    /// Returns whether this VM knows all versions that served for as long as a stream of a route can last.
    pub(crate) fn has_software_history(&self, route: &Route) -> bool {
        let since_ms = self
            .clock
            .now_ms()
            .saturating_sub(route.timeout_ms + TAKE_UP_SLACK_MS);
        let endpoints = self.endpoints.borrow();
        endpoints.software_history().is_complete_since(since_ms)
    }

    /// Asks the log service which versions have served; returns whether it answered.
    pub(crate) async fn check_software(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.origin_service.waiting.borrow_mut().push(sender);
        // A check that is wanted already serves this request too.
        let _ = self.origin_service.wanted.0.try_send(());
        matches!(with_timeout(CHECK_MS, receiver).await, Some(Ok(true)))
    }

    /// Waits until a request needs to know which versions have served, and returns what to ask the log service.
    ///
    /// Returns `None` if this VM does not know how far it has read the endpoints' entries.
    pub async fn next_software_check(&self) -> Option<SoftwareCheck> {
        // Fails only after the process has ended.
        let _ = self.origin_service.wanted.1.recv_async().await;
        let span_ms = self.stream_span_ms();
        let now_ms = self.clock.now_ms();
        let position = self.fleet.sync_state(Feed::Endpoints).position()?;
        let endpoints = self.endpoints.borrow();
        let history = endpoints.software_history();
        Some(SoftwareCheck {
            position,
            is_complete: history.is_complete_since(now_ms.saturating_sub(span_ms)),
            span_ms,
            endpoints: endpoints.len(),
        })
    }

    /// Records that a version served lately, as an entry in the log service shows.
    pub fn record_software(&self, service: &Name, version: &Name) {
        let now_ms = self.clock.now_ms();
        let software = SoftwareKey::new(service, version);
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints
            .software_history_mut()
            .record(service, software, now_ms);
    }

    /// Records that all versions are known that served within a time, in milliseconds.
    pub fn extend_software_history(&self, span_ms: u64) {
        let now_ms = self.clock.now_ms();
        let since_ms = now_ms.saturating_sub(span_ms);
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.software_history_mut().extend(since_ms, now_ms);
    }

    /// Lets the requests go on that waited for a check; `is_answered` is whether the log service answered.
    pub fn finish_software_check(&self, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        metrics::counter!(metric::SOFTWARE_CHECKS, "outcome" => outcome).increment(1);
        for sender in self.origin_service.waiting.take() {
            // Fails only if the request has been abandoned.
            let _ = sender.send(is_answered);
        }
    }

    /// Returns the time within which streams may be taken up, in milliseconds.
    fn stream_span_ms(&self) -> u64 {
        let configuration = self.configuration();
        let timeout_ms = configuration.map_or(0, |known| known.stream_timeout_max_ms());
        timeout_ms + TAKE_UP_SLACK_MS
    }

    /// Returns whether several versions of a service have served within the time in which streams may be taken up.
    pub fn has_mixed_software(&self) -> bool {
        let endpoints = self.endpoints.borrow();
        let history = endpoints.software_history();
        let span_ms = self.stream_span_ms() + history.list_gap_max_ms();
        history.is_mixed_since(self.clock.now_ms().saturating_sub(span_ms))
    }

    /// Returns the streams that are to be written to the log service.
    ///
    /// Only one VM, the same for all, writes them, and only while it could not be told otherwise where they began.
    pub fn unsaved_streams(&self) -> Option<UnsavedStreams> {
        if self.remote_allocator(WRITER).is_some() || !self.has_mixed_software() {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let sources = [Learned::Here, Learned::Nearby, Learned::Elsewhere];
        let since_ms = self.origin_service.saved_at_ms.get();
        let origins = self
            .origin_service
            .origins
            .borrow()
            .since(since_ms, &sources, now_ms);
        let mut records = Vec::new();
        for origins in origins.chunks(SAVED_MAX) {
            records.extend(encode(origins.to_vec(), false));
        }
        (!records.is_empty()).then_some(UnsavedStreams {
            records,
            until_ms: now_ms,
        })
    }

    /// Records that streams have been written.
    pub fn mark_streams_saved(&self, saved: &UnsavedStreams) {
        self.origin_service.saved_at_ms.set(saved.until_ms);
    }

    /// Merges streams that were written `age_ms` ago.
    pub fn restore_streams(&self, record: &[u8], age_ms: u64) {
        let mut notice = match advert::from_bytes(record) {
            Ok(Datagram::StreamNotice(notice)) => notice,
            Ok(_) => return log::warn!(event = "streams_undecodable"; "another datagram"),
            Err(error) => return log::warn!(event = "streams_undecodable"; "{error}"),
        };
        let span_ms = self.stream_span_ms();
        for origin in &mut notice.origins {
            origin.age_ms = origin.age_ms.saturating_add(age_ms);
        }
        notice.origins.retain(|origin| origin.age_ms < span_ms);
        let now_ms = self.clock.now_ms();
        let mut origins = self.origin_service.origins.borrow_mut();
        origins.merge(&notice.origins, Learned::Elsewhere, now_ms);
    }

    /// Forgets streams that nobody can take up any more, and the versions that served before them.
    pub(crate) fn expire_streams(&self) {
        let now_ms = self.clock.now_ms();
        let mut origins = self.origin_service.origins.borrow_mut();
        origins.expire(self.stream_span_ms(), now_ms);
        metrics::gauge!(metric::STREAM_ORIGINS).set(origins.len() as f64);
        if self.configuration().is_none() {
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        let history = endpoints.software_history_mut();
        let span_ms = self.stream_span_ms() + history.list_gap_max_ms();
        history.expire(now_ms.saturating_sub(span_ms));
    }

    /// Merges the streams that another VM tells of, and passes them on within this data centre if they come from another.
    pub(crate) async fn merge_streams(&self, notice: StreamNotice) {
        let now_ms = self.clock.now_ms();
        let learned = match notice.is_remote {
            true => Learned::Elsewhere,
            false => Learned::Nearby,
        };
        self.origin_service
            .origins
            .borrow_mut()
            .merge(&notice.origins, learned, now_ms);
        if !notice.is_remote || !self.peers.borrow().is_representative(now_ms) {
            return;
        }
        let recipients = self.peers.borrow().advert_recipients(1, now_ms);
        self.send_streams(&notice.origins, false, &recipients).await;
    }

    /// Sends the streams that this VM knows to one that has just started.
    pub(crate) async fn send_all_streams(&self, recipient: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let sources = [Learned::Here, Learned::Nearby, Learned::Elsewhere];
        let origins = self
            .origin_service
            .origins
            .borrow()
            .since(0, &sources, now_ms);
        self.send_streams(&origins, false, &[recipient]).await;
    }

    /// Tells other VMs of the streams that were learned since a time.
    async fn send_stream_news(&self, since_ms: u64) {
        let now_ms = self.clock.now_ms();
        let select = |sources: &[Learned]| {
            let origins = self.origin_service.origins.borrow();
            origins.since(since_ms, sources, now_ms)
        };
        // Round 1 leaves out the VMs that are not alive.
        let recipients = self.peers.borrow().advert_recipients(1, now_ms);
        self.send_streams(&select(&[Learned::Here]), false, &recipients)
            .await;
        let remote = {
            let peers = self.peers.borrow();
            let is_representative = peers.uses_summaries() && peers.is_representative(now_ms);
            is_representative.then(|| peers.summary_recipients(now_ms))
        };
        if let Some(recipients) = remote {
            let origins = select(&[Learned::Here, Learned::Nearby]);
            self.send_streams(&origins, true, &recipients).await;
        }
    }

    async fn send_streams(
        &self,
        origins: &[StreamOrigin],
        is_remote: bool,
        recipients: &[SocketAddr],
    ) {
        for origins in origins.chunks(ORIGINS_MAX) {
            let notice = StreamNotice {
                origins: origins.to_vec(),
                is_remote,
            };
            let datagram = Datagram::StreamNotice(notice);
            for recipient in recipients {
                self.send_datagram(&datagram, *recipient).await;
            }
        }
    }
}

/// Tells other VMs where streams began, for as long as the process runs.
pub(crate) async fn tell(gateway: Rc<Gateway>) {
    let mut told_at_ms = 0;
    let mut repeated_at_ms = 0;
    loop {
        let round_ms = match gateway.has_mixed_software() {
            true => MIXED_ROUND_MS,
            false => ROUND_MS,
        };
        Timer::after(Duration::from_millis(round_ms)).await;
        let now_ms = gateway.clock.now_ms();
        let mut since_ms = told_at_ms;
        if now_ms >= repeated_at_ms + REPEAT_MS {
            repeated_at_ms = now_ms;
            since_ms = now_ms.saturating_sub(NEWS_MS);
        }
        told_at_ms = now_ms;
        gateway.send_stream_news(since_ms).await;
    }
}

fn encode(origins: Vec<StreamOrigin>, is_remote: bool) -> Option<Vec<u8>> {
    let notice = StreamNotice { origins, is_remote };
    let encoded = advert::to_bytes(&Datagram::StreamNotice(notice));
    encoded
        .inspect_err(|error| log::error!(event = "streams_not_encoded"; "{error}"))
        .ok()
}
