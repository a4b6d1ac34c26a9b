//! Requests views from VMs that read the log service, and serves such requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use waxwing_core::Name;
use waxwing_core::fleet::Feed;
use waxwing_core::fleet::Member;
use waxwing_core::fleet::Position;
use waxwing_core::fleet::Role;
use waxwing_core::fleet::SyncState;
use waxwing_core::fleet::Timing;
use waxwing_core::fleet::readers;
use waxwing_core::fleet::sync_state::as_of_ms;
use waxwing_core::fleet::view::ConfigurationView;
use waxwing_core::fleet::view::EndpointsView;
use waxwing_core::fleet::view::View;
use waxwing_core::fleet::view::ViewRequest;
use waxwing_core::fleet::view::Watermark;
use waxwing_core::forwarding::software_history::ListSource;
use waxwing_wire::view as wire;

use crate::body::Body;
use crate::client::Client;
use crate::client::with_timeout;
use crate::gateway::Gateway;
use crate::metric;

/// Longest view request, in bytes.
const VIEW_REQUEST_MAX_BYTES: usize = 4_096;

/// Time for a response beyond the wait time of the view request, in milliseconds.
const VIEW_MARGIN_MS: u64 = 300;

/// Time for which a reader that failed or was stale is avoided, in milliseconds.
const AVOID_MS: u64 = 1_000;

const FEEDS: [Feed; 2] = [Feed::Endpoints, Feed::Configuration];

/// Pause of a VM that has no reader to query, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Sync state of this VM's feeds, and the view requests that wait for changes.
pub(crate) struct Fleet {
    timing: Timing,
    endpoints: Cell<SyncState>,
    configuration: Cell<SyncState>,
    /// How often the log service may have lost records.
    losses: Cell<u64>,
    /// Wakes the view requests that wait for changes.
    waiting: RefCell<Vec<flume::Sender<()>>>,
}

impl Fleet {
    pub(crate) fn new(bound_ms: u64) -> Self {
        Self {
            timing: Timing { bound_ms },
            endpoints: Cell::default(),
            configuration: Cell::default(),
            losses: Cell::default(),
            waiting: RefCell::default(),
        }
    }

    pub(crate) fn timing(&self) -> Timing {
        self.timing
    }

    pub(crate) fn sync_state(&self, feed: Feed) -> SyncState {
        self.sync_state_cell(feed).get()
    }

    /// Confirms a feed as of a time, and wakes the waiting view requests if that made it fresher.
    pub(crate) fn confirm(&self, feed: Feed, position: Position, as_of_ms: u64) {
        if self.update(feed, |sync_state| sync_state.confirm(position, as_of_ms)) {
            for sender in self.waiting.take() {
                // Fails only if the request has been abandoned.
                let _ = sender.try_send(());
            }
        }
    }

    pub(crate) fn update<T>(&self, feed: Feed, change: impl FnOnce(&mut SyncState) -> T) -> T {
        let cell = self.sync_state_cell(feed);
        let mut sync_state = cell.get();
        let result = change(&mut sync_state);
        cell.set(sync_state);
        result
    }

    fn sync_state_cell(&self, feed: Feed) -> &Cell<SyncState> {
        match feed {
            Feed::Endpoints => &self.endpoints,
            Feed::Configuration => &self.configuration,
        }
    }

    fn subscribe(&self) -> flume::Receiver<()> {
        let (sender, receiver) = flume::bounded(1);
        let mut waiting = self.waiting.borrow_mut();
        // While nothing changes, only this removes abandoned requests.
        waiting.retain(|sender| !sender.is_disconnected());
        waiting.push(sender);
        receiver
    }
}

/// How to read a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopicRead {
    /// Offset to read from; `None` asks for a list of everything.
    pub offset: Option<u64>,
    /// Newest known timeline of the log service.
    pub timeline: u64,
    /// Position of the last complete copy.
    pub last: Option<Position>,
    /// Time for which the read waits for records, in milliseconds.
    pub wait_ms: u64,
    /// Monotonic time at which it begins, in milliseconds.
    pub began_ms: u64,
}

/// Returns the VMs that are alive and ready, including this one.
fn ready_members(gateway: &Gateway) -> Vec<Member> {
    let mut members = gateway.peers.borrow().members(gateway.clock.now_ms());
    if gateway.is_ready() {
        members.push(Member {
            vm: gateway.vm.clone(),
            data_centre: gateway.data_centre.clone(),
            address: gateway.settings.listen.peers,
        });
    }
    members
}

/// Returns whether this VM is among the readers.
fn local_role(gateway: &Gateway, readers: &[&Member]) -> Role {
    match readers.iter().any(|member| member.vm == gateway.vm) {
        true => Role::Reader,
        false => Role::Follower,
    }
}

/// Returns whether this VM must query a reader: as a follower, as a reader whose own reads are stale, or as one that has
/// just started and may have read an older copy of the log service.
fn must_ask_readers(gateway: &Gateway, role: Role) -> bool {
    let stale_ms = gateway.fleet.timing().stale_after_ms();
    let now_ms = gateway.clock.now_ms();
    let is_stale = |sync_state: SyncState| {
        let age_ms = sync_state.age_ms(now_ms);
        age_ms.is_none_or(|age_ms| age_ms >= stale_ms)
    };
    role == Role::Follower
        || gateway.start_check.get().is_recent(now_ms)
        || sync_states(gateway).into_iter().any(is_stale)
}

impl Gateway {
    /// Waits until this VM has to read a topic itself, and returns how.
    pub async fn next_read(&self, feed: Feed) -> TopicRead {
        let timing = self.fleet.timing();
        let draw = self.draw();
        let role = loop {
            let role = local_role(self, &readers::choose(&ready_members(self)));
            let due_ms = self.fleet.sync_state(feed).next_read_ms(timing, role, draw);
            let left_ms = due_ms.saturating_sub(self.clock.now_ms());
            if left_ms == 0 {
                break role;
            }
            // The role may change meanwhile.
            let pause_ms = left_ms.min(timing.period_ms());
            Timer::after(Duration::from_millis(pause_ms)).await;
        };
        let began_ms = self.clock.now_ms();
        let begin = |sync_state: &mut SyncState| sync_state.begin_read(began_ms);
        let offset = self.fleet.update(feed, begin);
        let sync_state = self.fleet.sync_state(feed);
        TopicRead {
            offset,
            timeline: sync_state.timeline(),
            last: sync_state.last_position(),
            wait_ms: match role {
                Role::Reader => timing.period_ms(),
                Role::Follower => 0,
            },
            began_ms,
        }
    }

    /// Records that a read of this VM succeeded.
    pub fn record_read_success(&self, feed: Feed, read: TopicRead) {
        if self.fleet.update(feed, SyncState::record_success) {
            log::info!(
                event = "log_service_regained", feed:? = feed, offset:? = read.offset;
                "reads succeed again"
            );
            if self.timeline() == 0 {
                self.count_loss();
            }
        }
    }

    /// Records that nothing beyond `position` existed at a time; `take` applies what the read brought.
    pub fn finish_read(
        &self,
        feed: Feed,
        read: TopicRead,
        position: Position,
        as_of_ms: u64,
        take: impl FnOnce(),
    ) {
        self.record_read_success(feed, read);
        self.record_timeline(position.timeline, "read");
        let last = read
            .last
            .filter(|last| last.timeline == position.timeline && position < *last);
        if let Some(last) = last.filter(|_| read.offset.is_none()) {
            log::warn!(
                event = "log_went_back", feed:? = feed, timeline = last.timeline, offset_before = last.offset,
                offset = position.offset;
                "the log service lost records and states no new timeline"
            );
            self.fleet.update(feed, SyncState::record_loss);
            self.count_loss();
            if feed == Feed::Endpoints {
                let now_ms = self.clock.now_ms();
                self.endpoints.borrow_mut().mark_source_restored(now_ms);
            }
        }
        // A reader may have supplied newer state meanwhile.
        if self.fleet.sync_state(feed).accepts(position) {
            self.expect_renewals(feed, position);
            take();
            let list_source = match read.offset {
                Some(_) if read.timeline == position.timeline => ListSource::Records,
                _ => ListSource::List,
            };
            self.confirm(feed, position, as_of_ms, "log_service");
            if feed == Feed::Endpoints {
                self.confirm_list(as_of_ms, &list_source, "log_service");
            }
        }
    }

    /// Prepares the list of endpoints for data that lacks what was written last before a new timeline.
    fn expect_renewals(&self, feed: Feed, position: Position) {
        let last = self.fleet.sync_state(feed).last_position();
        let is_restored = last.is_some_and(|last| last.timeline < position.timeline);
        if feed == Feed::Endpoints && is_restored {
            let now_ms = self.clock.now_ms();
            self.endpoints.borrow_mut().mark_source_restored(now_ms);
        }
    }

    /// Records that this VM's copy of a topic is complete up to a position as of a time.
    fn confirm(&self, feed: Feed, position: Position, as_of_ms: u64, source: &str) {
        let before = self.fleet.sync_state(feed);
        self.fleet.confirm(feed, position, as_of_ms);
        if let Some(took_ms) = before.incomplete_ms(self.clock.now_ms()) {
            let offset_before = before.last_position().unwrap_or_default().offset;
            log::info!(
                event = "log_copy_complete", feed:? = feed, timeline = position.timeline,
                offset_before = offset_before, offset = position.offset, took_ms = took_ms, source = source;
                "the copy belongs to the new timeline of the log service"
            );
        }
    }

    /// Records that the list of endpoints was complete as of a time.
    fn confirm_list(&self, as_of_ms: u64, list_source: &ListSource, source: &str) {
        let now_ms = self.clock.now_ms();
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(gap_ms) = endpoints.confirm_list(as_of_ms, list_source, now_ms) {
            log::info!(
                event = "software_history_interrupted", gap_ms = gap_ms, source = source;
                "software versions may have served unseen"
            );
        }
    }

    /// Returns how often the log service may have lost records that it had confirmed.
    ///
    /// Without a timeline it may have each time that it could not be reached.
    pub fn log_losses(&self) -> u64 {
        self.fleet.losses.get()
    }

    fn count_loss(&self) {
        self.fleet.losses.set(self.fleet.losses.get() + 1);
    }

    /// Returns the newest known timeline of the log service; 0 if it states none.
    pub fn timeline(&self) -> u64 {
        self.fleet.sync_state(Feed::Configuration).timeline()
    }

    /// Records a timeline that the log service stated; `source` names the call, or the VM that told it.
    pub fn record_timeline(&self, timeline: u64, source: &str) {
        let before = self.timeline();
        if timeline <= before {
            return;
        }
        let offset = |feed| {
            let position = self.fleet.sync_state(feed).last_position();
            position.unwrap_or_default().offset
        };
        log::info!(
            event = "log_timeline", before = before, timeline = timeline, source = source,
            endpoints_offset = offset(Feed::Endpoints), configuration_offset = offset(Feed::Configuration);
            "the log service states a new timeline"
        );
        metrics::gauge!(metric::LOG_TIMELINE).set(timeline as f64);
        if before > 0 {
            self.count_loss();
        }
        let now_ms = self.clock.now_ms();
        for feed in FEEDS {
            self.fleet.update(feed, |sync_state| {
                sync_state.record_timeline(timeline, now_ms)
            });
        }
    }

    /// Records that a read failed; returns whether it is the first one in a row.
    pub fn record_read_failure(&self, feed: Feed) -> bool {
        for feed in FEEDS {
            self.fleet.update(feed, SyncState::record_interruption);
        }
        self.fleet.update(feed, SyncState::record_failure)
    }

    /// Records that the log service no longer has the records that a read asked for.
    pub fn record_dropped(&self, feed: Feed, read: TopicRead) {
        self.fleet
            .update(feed, |sync_state| sync_state.record_dropped(read.last));
    }

    /// Applies a reader's view of the endpoints.
    pub(crate) fn apply_endpoints(&self, view: EndpointsView) {
        // A reader withholds no removals, so those in its view are current.
        self.mark_endpoint_source_recovered(usize::MAX);
        for id in &view.removed {
            self.remove_endpoint(id);
        }
        let mut listed = Vec::new();
        for entry in view.entries {
            listed.push(entry.id.clone());
            self.update_endpoint(entry);
        }
        if view.is_full {
            self.retain_endpoints(&listed);
        }
    }
}

/// The connection to the reader in use, and the position of its last view.
struct Source {
    vm: Name,
    client: Client,
    /// Incarnation and revision of the last view that was applied.
    known: Option<(u64, u64)>,
}

/// Queries readers for as long as the process runs.
pub(crate) async fn follow(gateway: Rc<Gateway>) {
    let mut source: Option<Source> = None;
    let mut avoided: HashMap<Name, u64> = HashMap::new();
    let mut role = None;
    loop {
        let members = ready_members(&gateway);
        let readers = readers::choose(&members);
        let newer = local_role(&gateway, &readers);
        let readers = readers::order_for(readers, &gateway.vm, &gateway.data_centre);
        if role != Some(newer) {
            role = Some(newer);
            log::info!(event = "fleet_role", reads = newer == Role::Reader; "reads the log service for others or asks them");
        }
        let now_ms = gateway.clock.now_ms();
        avoided.retain(|_, until_ms| now_ms < *until_ms);
        // A VM with a newer configuration knows more than the log service or the readers told this one.
        let informed = gateway.peer_with_newer_configuration();
        let readers = readers
            .into_iter()
            .filter(|_| must_ask_readers(&gateway, newer));
        let mut sources = informed.iter().chain(readers);
        let reader = sources.find(|source| !avoided.contains_key(&source.vm));
        let Some(reader) = reader else {
            Timer::after(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        if source.as_ref().is_none_or(|known| known.vm != reader.vm) {
            log::info!(event = "fleet_reader", reader = reader.vm.as_str(); "querying this VM for the state of the log service");
            source = Some(Source {
                vm: reader.vm.clone(),
                client: Client::new(gateway.executor.control(), reader.address),
                known: None,
            });
        }
        let Some(asked) = source.as_mut() else {
            continue;
        };
        let outcome = request_view(&gateway, asked).await;
        let name = match &outcome {
            Ok(true) => "fresh",
            Ok(false) => "stale",
            Err(_) => "failed",
        };
        metrics::counter!(metric::VIEWS, "outcome" => name).increment(1);
        if let Err(message) = &outcome {
            log::warn!(event = "fleet_reader_lost", reader = asked.vm.as_str(); "{message}");
        }
        if !matches!(outcome, Ok(true)) {
            let until_ms = gateway.clock.now_ms() + AVOID_MS;
            avoided.insert(asked.vm.clone(), until_ms);
            source = None;
        }
    }
}

/// Requests a view from a reader and applies it; returns whether it is fresh enough to rely on.
async fn request_view(gateway: &Gateway, source: &mut Source) -> Result<bool, String> {
    let timing = gateway.fleet.timing();
    let view_request = ViewRequest {
        known: source.known,
        configuration_version: gateway.configuration_version(),
        timeline: gateway.timeline(),
        wait_ms: timing.wait_ms(),
    };
    let bytes = wire::encode_question(&view_request).map_err(|error| error.to_string())?;
    let sent_ms = gateway.clock.now_ms();
    let limit_ms = view_request.wait_ms + VIEW_MARGIN_MS;
    let reply = source.client.call("POST", "/view", bytes, limit_ms).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != StatusCode::OK {
        return Err(format!("the reader answered {}", reply.status.as_u16()));
    }
    let mut view = wire::decode_view(&reply.body).map_err(|error| error.to_string())?;
    let reader = source.vm.as_str();
    let endpoints = view.endpoints.watermark;
    let configuration = view.configuration.watermark;
    let as_of_ms = |watermark: Watermark| as_of_ms(sent_ms, view.waited_ms, watermark.age_ms);
    gateway.record_timeline(configuration.position.timeline, reader);
    // Versions order configurations whatever the state of the log service.
    apply_configuration(gateway, &view.configuration)?;
    let sync_state = gateway.fleet.sync_state(Feed::Configuration);
    if sync_state.accepts(configuration.position) {
        let as_of_ms = as_of_ms(configuration);
        gateway.confirm(
            Feed::Configuration,
            configuration.position,
            as_of_ms,
            reader,
        );
    }
    let sync_state = gateway.fleet.sync_state(Feed::Endpoints);
    if sync_state.accepts(endpoints.position) {
        let as_of_ms = as_of_ms(endpoints);
        source.known = Some((view.incarnation, view.endpoints.revision));
        gateway.expect_renewals(Feed::Endpoints, endpoints.position);
        let software = view.endpoints.software.take();
        gateway.apply_endpoints(view.endpoints);
        gateway.confirm(Feed::Endpoints, endpoints.position, as_of_ms, reader);
        let list_source = software.map_or(ListSource::List, ListSource::Told);
        gateway.confirm_list(as_of_ms, &list_source, reader);
    }
    let mut check = gateway.start_check.get();
    check.record_view();
    gateway.start_check.set(check);
    let oldest_ms = endpoints.age_ms.max(configuration.age_ms);
    // A reader that has not noticed a new timeline takes what it knows for current.
    let is_current = configuration.position.timeline == gateway.timeline();
    Ok(is_current && oldest_ms < timing.stale_after_ms())
}

fn apply_configuration(gateway: &Gateway, view: &ConfigurationView) -> Result<(), String> {
    let Some(document) = &view.document else {
        return Ok(());
    };
    let configuration = gateway.adapter.parse_configuration(document.as_bytes())?;
    gateway.set_configuration(configuration, document, "reader");
    Ok(())
}

/// Serves a view request of another VM once there are changes or its wait time has passed.
pub(crate) async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let received_ms = gateway.clock.now_ms();
    let body = Limited::new(request.into_body(), VIEW_REQUEST_MAX_BYTES)
        .collect()
        .await;
    let view_request = match body.map(|body| wire::decode_question(&body.to_bytes())) {
        Ok(Ok(view_request)) => view_request,
        Ok(Err(error)) => return failure_response(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(error) => return failure_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    gateway.record_timeline(view_request.timeline, "view request");
    let before = sync_states(&gateway);
    let limit_ms = view_request.wait_ms.min(gateway.fleet.timing().bound_ms);
    while !has_changes(&gateway, &view_request, before) {
        let waited_ms = gateway.clock.now_ms() - received_ms;
        if waited_ms >= limit_ms {
            break;
        }
        let news = gateway.fleet.subscribe();
        with_timeout(limit_ms - waited_ms, news.recv_async()).await;
    }
    let Some(view) = build_view(&gateway, &view_request, received_ms) else {
        return failure_response(StatusCode::SERVICE_UNAVAILABLE, "this VM cannot vouch now");
    };
    match wire::encode_view(&view) {
        Ok(bytes) => Response::new(Body::whole(bytes)),
        Err(error) => {
            log::error!(event = "view_not_encoded"; "{error}");
            failure_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the view cannot be encoded",
            )
        }
    }
}

fn sync_states(gateway: &Gateway) -> [SyncState; 2] {
    FEEDS.map(|feed| gateway.fleet.sync_state(feed))
}

fn has_changes(gateway: &Gateway, view_request: &ViewRequest, before: [SyncState; 2]) -> bool {
    let revision = gateway.endpoints.borrow().revision();
    view_request.known != Some((gateway.incarnation, revision))
        || gateway.configuration_version() > view_request.configuration_version
        || sync_states(gateway) != before
}

/// Builds the view of this VM, or `None` if it is not ready or behind its source.
fn build_view(gateway: &Gateway, view_request: &ViewRequest, received_ms: u64) -> Option<View> {
    let endpoints = gateway.endpoints.borrow();
    if !gateway.is_ready() || endpoints.withholds_removals() {
        return None;
    }
    let now_ms = gateway.clock.now_ms();
    let watermark_of = |feed| {
        let sync_state = gateway.fleet.sync_state(feed);
        Some(Watermark {
            position: sync_state.position()?,
            age_ms: sync_state.age_ms(now_ms)?,
        })
    };
    let known = view_request.known;
    let since = known.filter(|(incarnation, _)| *incarnation == gateway.incarnation);
    let delta = endpoints.delta_since(since.map(|(_, revision)| revision));
    let mut entries = Vec::new();
    for id in delta.changed {
        let endpoint = endpoints.find(id).and_then(|key| endpoints.get(key));
        entries.extend(endpoint.map(|endpoint| endpoint.entry.clone()));
    }
    let version = gateway.configuration_version();
    let is_newer = version > view_request.configuration_version;
    Some(View {
        incarnation: gateway.incarnation,
        waited_ms: now_ms - received_ms,
        endpoints: EndpointsView {
            watermark: watermark_of(Feed::Endpoints)?,
            revision: delta.revision,
            is_full: delta.is_full,
            removed: delta.removed.into_iter().cloned().collect(),
            entries,
            software: endpoints.software_history().news(now_ms),
        },
        configuration: ConfigurationView {
            watermark: watermark_of(Feed::Configuration)?,
            version,
            document: is_newer.then(|| gateway.configuration_document()).flatten(),
        },
    })
}

fn failure_response(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(Body::whole(message.to_owned()));
    *response.status_mut() = status;
    response
}
