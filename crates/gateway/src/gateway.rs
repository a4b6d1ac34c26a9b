//! The state that the tasks of a process share, and the tasks that it starts.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use hyper::Response;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::fleet::Feed;
use waxwing_core::fleet::Heard;
use waxwing_core::fleet::Member;
use waxwing_core::fleet::StartCheck;
use waxwing_core::fleet::summary::Summaries;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::admission;
use waxwing_core::forwarding::configuration::Limits;
use waxwing_core::forwarding::endpoints::Change;
use waxwing_core::forwarding::endpoints::Demand;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::limits::LimitNotice;
use waxwing_core::forwarding::endpoints::limits::LimitReport;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::endpoints::notices::Incarnation;
use waxwing_core::forwarding::lanes::DemandTracker;
use waxwing_core::forwarding::lanes::ServiceDemand;
use waxwing_core::forwarding::peers::Peers;
use waxwing_core::forwarding::peers::PeersConfig;
use waxwing_core::forwarding::placement;
use waxwing_core::forwarding::planned_stop::PlannedStop;
use waxwing_core::forwarding::planned_stop::TypicalTimes;
use waxwing_core::forwarding::repeat_budget;
use waxwing_core::forwarding::repeat_budget::RepeatBudget;
use waxwing_core::state::evidence::ContentHash;
use waxwing_core::state::evidence::Evidence;

use crate::adapter::Adapter;
use crate::adverts;
use crate::body::Body;
use crate::client::Connection;
use crate::clock::Clock;
use crate::clock::unix_now_ms;
use crate::crashing_parts::PartService;
use crate::error::Result;
use crate::exchange;
use crate::executor::Executor;
use crate::fleet;
use crate::fleet::Fleet;
use crate::memory::ENDPOINT_CONNECTION_BYTES;
use crate::memory::Memory;
use crate::memory::MemoryHold;
use crate::memory::RECEIVING_CONNECTION_BYTES;
use crate::metric;
use crate::permits::PermitService;
use crate::progress::StageCounts;
use crate::server;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::stop::StopSignals;
use crate::stream_origins;
use crate::stream_origins::OriginService;
use crate::task_delay;

/// Time for which a crash counts against a content, in milliseconds.
const EVIDENCE_LIFETIME_MS: u64 = 120_000;

/// Most contents recorded as suspects.
const EVIDENCE_MAX: usize = 1_024;

/// Crashed endpoints after which a content is refused.
const CRASHES_MAX: usize = 3;

/// Interval of the removal of due endpoints and expired findings, in milliseconds.
const TICK_MS: u64 = 200;

/// Time between two rounds of folding values into the histograms, in milliseconds.
const METRICS_UPKEEP_MS: u64 = 5_000;

/// Descriptors kept free for files and calls of the process itself.
const DESCRIPTORS_RESERVED: u64 = 250;

/// Divisor of the memory limit below which connections to endpoints are kept; beyond it the rest is for requests.
const IDLE_MEMORY_SHARE: u64 = 2;

/// Longest time from the check of a request until an endpoint has it, in milliseconds: that for a connection.
const SEND_MAX_MS: u64 = 250;

/// Kept connections to one endpoint.
const IDLE_PER_ENDPOINT_MAX: usize = 8;

/// A connection to an endpoint that is kept for later requests.
struct IdleConnection {
    connection: Connection,
    _memory: MemoryHold,
}

impl IdleConnection {
    fn is_usable(&self, now_ms: u64) -> bool {
        let connection = &self.connection;
        connection.is_ready() && now_ms - connection.idle_since_ms < connection.idle_limit_ms()
    }
}

/// The state that all tasks of a process share.
pub struct Gateway {
    pub(crate) executor: &'static Executor,
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) vm: Name,
    pub(crate) data_centre: Name,
    pub(crate) incarnation: u64,
    pub(crate) adapter: Box<dyn Adapter>,
    pub(crate) admission: admission::Config,
    pub(crate) placement: placement::Config,
    pub(crate) endpoints: RefCell<Endpoints>,
    pub(crate) demand_tracker: RefCell<DemandTracker>,
    pub(crate) budget: RefCell<RepeatBudget>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) summaries: RefCell<Summaries>,
    pub(crate) evidence: RefCell<Evidence>,
    pub(crate) fleet: Fleet,
    pub(crate) start_check: Cell<StartCheck>,
    pub(crate) permits: PermitService,
    pub(crate) part_service: PartService,
    pub(crate) origin_service: OriginService,
    /// Socket for datagrams to other VMs; set when the VM starts to serve.
    pub(crate) peer_socket: OnceCell<Rc<Async<UdpSocket>>>,
    /// Requests in progress, by stage.
    pub(crate) stages: Rc<StageCounts>,
    pub(crate) stop_signals: StopSignals,
    /// The stop that was asked for.
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    pub(crate) typical_times: RefCell<TypicalTimes>,
    pub(crate) memory: Rc<Memory>,
    idle: RefCell<HashMap<EndpointKey, Vec<IdleConnection>>>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Document of the configuration in force, as the log service holds it.
    document: RefCell<Option<String>>,
    has_endpoint_list: Cell<bool>,
    idle_timeout_ms: Rc<Cell<u64>>,
    head_max_bytes: Rc<Cell<usize>>,
    random: RefCell<ChaCha8Rng>,
    /// Share of the slack of the repeat budget in the last log line about it.
    logged_repeat_slack: Cell<f64>,
    /// Sequence number of the last advert or summary.
    advert_sequence: Cell<u64>,
}

impl Gateway {
    /// Creates the state of a process; the executor lives as long as the process.
    pub fn new(
        executor: &'static Executor,
        settings: Settings,
        adapter: Box<dyn Adapter>,
    ) -> Rc<Self> {
        let clock = Clock::new();
        let budget = repeat_budget::Config {
            ratio: settings.repeats.ratio,
            slack: settings.repeats.slack,
            window_ms: settings.repeats.window_s * 1_000,
        };
        let report_ms = settings.log_service.endpoint_report_ms;
        let vm = Name::from(settings.vm.name.as_str());
        let data_centre = Name::from(settings.vm.data_centre.as_str());
        let peers_config = PeersConfig {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
            direct_vms_max: settings.fleet.direct_vms_max,
        };
        Rc::new(Self {
            executor,
            clock,
            vm,
            data_centre,
            incarnation: unix_now_ms(),
            adapter,
            admission: admission::Config::from(&settings.admission),
            placement: placement::Config::from(&settings.placement),
            endpoints: RefCell::new(Endpoints::with_reports(report_ms)),
            demand_tracker: RefCell::new(DemandTracker::default()),
            budget: RefCell::new(RepeatBudget::new(budget, clock.now_ms())),
            peers: RefCell::new(Peers::new(peers_config)),
            summaries: RefCell::default(),
            evidence: RefCell::new(Evidence::new(EVIDENCE_LIFETIME_MS, EVIDENCE_MAX)),
            fleet: Fleet::new(settings.log_service.bound_ms()),
            start_check: Cell::new(StartCheck::new(clock.now_ms())),
            permits: PermitService::new(clock.now_ms()),
            part_service: PartService::new(),
            origin_service: OriginService::new(),
            peer_socket: OnceCell::new(),
            advert_sequence: Cell::new(0),
            stages: Rc::default(),
            stop_signals: StopSignals::default(),
            planned_stop: Cell::new(None),
            typical_times: RefCell::default(),
            memory: Memory::new(clock, settings.limits.memory_mb * 1_000_000),
            idle: RefCell::new(HashMap::new()),
            configuration: RefCell::new(None),
            document: RefCell::new(None),
            has_endpoint_list: Cell::new(false),
            idle_timeout_ms: Rc::new(Cell::new(15_000)),
            head_max_bytes: Rc::new(Cell::new(Limits::default().head_max_bytes)),
            random: RefCell::new(ChaCha8Rng::from_os_rng()),
            logged_repeat_slack: Cell::new(0.0),
            settings,
        })
    }

    /// Returns the executor that carries all tasks.
    pub fn executor(&self) -> &'static Executor {
        self.executor
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the monotonic time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns a random number.
    pub fn draw(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Returns a random delay over which the VMs that are alive spread calls, at `per_vm_ms` for each of them.
    pub fn draw_delay_ms(&self, per_vm_ms: u64) -> u64 {
        let vms = 1 + self.peers.borrow().alive_count(self.clock.now_ms()) as u64;
        self.draw() % (vms * per_vm_ms)
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    pub fn set_configuration(
        &self,
        configuration: Configuration,
        document: &str,
        source: &str,
    ) -> bool {
        let version = configuration.version();
        let known = self.configuration().map(|known| known.version());
        if known.is_some_and(|known| version <= known) {
            return false;
        }
        let age_ms = known.map(|_| self.configuration_age_ms());
        log::info!(
            event = "configuration_in_force", version = version, before = known.unwrap_or(0), source = source,
            age_ms = age_ms;
            "configuration taken"
        );
        metrics::gauge!(metric::CONFIGURATION_VERSION).set(version as f64);
        self.idle_timeout_ms
            .set(configuration.limits().idle_timeout_ms.max(1_000));
        self.head_max_bytes
            .set(configuration.limits().head_max_bytes);
        self.typical_times
            .borrow_mut()
            .retain(|route| configuration.has_route(route));
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        *self.document.borrow_mut() = Some(document.to_owned());
        true
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version in force; 0 if there is none.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.configuration().map_or(0, |known| known.version())
    }

    /// Returns the document of the configuration in force.
    pub(crate) fn configuration_document(&self) -> Option<String> {
        self.document.borrow().clone()
    }

    /// Returns the time since the configuration was known to be the newest, in milliseconds.
    pub(crate) fn configuration_age_ms(&self) -> u64 {
        let sync_state = self.fleet.sync_state(Feed::Configuration);
        sync_state.age_ms(self.clock.now_ms()).unwrap_or(u64::MAX)
    }

    /// Adds or updates an endpoint.
    pub fn update_endpoint(&self, entry: Entry) {
        let id = entry.id.clone();
        let change = self.endpoints.borrow_mut().update(entry);
        self.apply(change, &id);
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&self, id: &Name) {
        let change = self.endpoints.borrow_mut().remove(id, self.clock.now_ms());
        self.apply(change, id);
    }

    /// Stops the use of an endpoint whose entry cannot be decoded.
    pub fn disable_endpoint(&self, id: &Name) {
        let change = self.endpoints.borrow_mut().disable(id);
        self.apply(change, id);
    }

    /// Removes the endpoints that a complete list does not contain.
    pub fn retain_endpoints(&self, listed: &[Name]) {
        self.has_endpoint_list.set(true);
        let changes = self
            .endpoints
            .borrow_mut()
            .retain(listed, self.clock.now_ms());
        for (id, change) in changes {
            self.apply(Some(change), &id);
        }
    }

    /// Records that the list of endpoints cannot be read.
    pub fn mark_endpoint_source_lost(&self) {
        self.endpoints.borrow_mut().mark_source_lost();
    }

    /// Records that the list of endpoints can be read again; `records_max` is the most records of one endpoint in
    /// what follows.
    pub fn mark_endpoint_source_recovered(&self, records_max: usize) {
        let now_ms = self.clock.now_ms();
        self.endpoints
            .borrow_mut()
            .mark_source_recovered(records_max, now_ms);
    }

    /// Records that the entries added while the list could not be read have been applied.
    pub fn finish_endpoint_backlog(&self) {
        self.endpoints.borrow_mut().finish_backlog();
    }

    fn apply(&self, change: Option<Change>, id: &Name) {
        let Some(change) = change else {
            return;
        };
        let (kind, gone) = match change {
            Change::Added(_) => ("added", None),
            Change::Restarted { old, .. } => ("restarted", Some(old)),
            Change::Draining(key) => ("draining", Some(key)),
            Change::Removed(key) => ("removed", Some(key)),
        };
        if let Some(key) = gone {
            self.idle.borrow_mut().remove(&key);
        }
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.find(id).and_then(|key| endpoints.get(key));
        let version = endpoint.map_or("", |endpoint| endpoint.entry.version.as_str());
        let count = endpoints.len();
        log::info!(
            event = "endpoint_changed", endpoint = id.as_str(), change = kind, version = version, known = count;
            "endpoint {kind}"
        );
        metrics::counter!(metric::ENDPOINT_CHANGES, "change" => kind).increment(1);
        metrics::gauge!(metric::ENDPOINTS).set(count as f64);
    }

    /// Records that an endpoint announced in a response that it is leaving.
    pub(crate) fn record_leaving(&self, key: EndpointKey) {
        if self.endpoints.borrow_mut().record_leaving(key) {
            self.handle_leaving(key, "answer");
        }
    }

    /// Merges the leaving endpoints reported by another VM.
    pub(crate) fn merge_leaving(&self, incarnations: &[Incarnation], vm: &Name) {
        let news = self.endpoints.borrow_mut().merge_leaving(incarnations);
        for key in news {
            self.handle_leaving(key, vm.as_str());
        }
    }

    fn handle_leaving(&self, key: EndpointKey, source: &str) {
        self.drop_idle(key);
        let endpoints = self.endpoints.borrow();
        let Some(endpoint) = endpoints.get(key) else {
            return;
        };
        let (id, born_ms) = (endpoint.entry.id.as_str(), endpoint.entry.born_ms);
        log::info!(
            event = "endpoint_leaving", endpoint = id, born_ms = born_ms.unwrap_or(0), source = source;
            "no further requests go to this incarnation"
        );
        metrics::counter!(metric::ENDPOINT_CHANGES, "change" => "leaving").increment(1);
    }

    /// Pauses an endpoint that refused a request and asked this VM to back off.
    pub(crate) fn pause_endpoint(&self, key: EndpointKey, for_ms: u64) {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.pause(key, for_ms, self.clock.now_ms());
        let Some(endpoint) = endpoints.get(key) else {
            return;
        };
        let id = endpoint.entry.id.as_str();
        log::info!(event = "endpoint_closed", endpoint = id, for_ms = for_ms; "it asked for a pause");
        metrics::counter!(metric::ENDPOINT_CHANGES, "change" => "closed").increment(1);
    }

    /// Records the rate limit that an endpoint stated in a response, or that it stated none.
    pub(crate) fn record_limit(&self, key: EndpointKey, report: LimitReport) {
        let now_ms = self.clock.now_ms();
        let before = self
            .endpoints
            .borrow_mut()
            .record_limit(key, report, now_ms);
        if let Some(before) = before {
            self.log_limit(key, before, "answer");
        }
    }

    /// Merges the limits reported by another VM.
    pub(crate) fn merge_limits(&self, notices: &[LimitNotice], source: &str) {
        let now_ms = self.clock.now_ms();
        let changes = self.endpoints.borrow_mut().merge_limits(notices, now_ms);
        for (key, before) in changes {
            self.log_limit(key, before, source);
        }
    }

    fn log_limit(&self, key: EndpointKey, before: RateLimit, source: &str) {
        let endpoints = self.endpoints.borrow();
        let Some(endpoint) = endpoints.get(key) else {
            return;
        };
        let id = endpoint.entry.id.as_str();
        let (change, per_s) = match (before, endpoint.limit()) {
            (_, RateLimit::Unlimited) => ("limit_lifted", None),
            (RateLimit::Unlimited, RateLimit::PerSecond(rate)) => ("limited", Some(rate)),
            (_, RateLimit::PerSecond(rate)) => ("limit_changed", Some(rate)),
        };
        let age_ms = self.clock.now_ms() - endpoint.limit_received_ms();
        log::info!(
            event = "endpoint_limit", endpoint = id, change = change, limit_per_s = per_s, source = source,
            age_ms = age_ms;
            "the endpoint states how many requests it takes from all VMs together"
        );
        metrics::counter!(metric::ENDPOINT_CHANGES, "change" => change).increment(1);
    }

    /// Returns the sequence number of the next advert or summary.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.advert_sequence.set(self.advert_sequence.get() + 1);
        self.advert_sequence.get()
    }

    /// Adds a VM that was found, so that it gets adverts.
    pub fn add_peer(&self, vm: Name, address: SocketAddr) {
        if vm != self.vm {
            let now_ms = self.clock.now_ms();
            self.peers.borrow_mut().add(vm, address, now_ms);
        }
    }

    /// Records that all VMs that started together with this one, or before it, were found.
    pub fn mark_peers_complete(&self) {
        self.peers.borrow_mut().mark_complete();
    }

    /// Replaces the load reported by another VM or a summary.
    pub(crate) fn set_peer_load(
        &self,
        source: Name,
        demands: Vec<(u64, Demand)>,
        service_demands: Vec<(u64, ServiceDemand)>,
    ) {
        let mut demand_tracker = self.demand_tracker.borrow_mut();
        demand_tracker.set_peer(source.clone(), service_demands);
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.set_peer_demand(source, demands);
    }

    /// Drops the load of a VM or summary that has expired.
    pub(crate) fn drop_peer_load(&self, source: &Name) {
        self.endpoints.borrow_mut().drop_peer(source);
        self.demand_tracker.borrow_mut().drop_peer(source);
    }

    /// Returns the address of this VM for adverts of others.
    pub fn peer_address(&self) -> SocketAddr {
        self.settings.listen.peers
    }

    /// Returns the addresses for callers of a data centre, the nearest first.
    pub fn front_addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let data_centre = Name::from(data_centre);
        let peers = self.peers.borrow();
        let mut fronts = peers.front_addresses(&data_centre, self.clock.now_ms());
        if self.is_ready() {
            let place = if data_centre == self.data_centre {
                0
            } else {
                fronts.len()
            };
            fronts.insert(place, self.settings.listen.front);
        }
        fronts
    }

    /// Returns whether this VM accepts requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_endpoint_list.get()
            && self.configuration.borrow().is_some()
            && self.relies_on_configuration()
    }

    /// Returns whether this VM has been up for long enough to know that its configuration is as new as those of others.
    pub(crate) fn relies_on_configuration(&self) -> bool {
        let mut check = self.start_check.get();
        if check.was_over() {
            return true;
        }
        let now_ms = self.clock.now_ms();
        let peers = self.peers.borrow();
        let newest = peers.newest_configuration(now_ms);
        let heard = Heard {
            is_complete: peers.is_all_heard(),
            newest_version: newest.map_or(0, |(version, _)| version),
        };
        let relies = check.is_over(self.configuration_version(), heard, now_ms);
        self.start_check.set(check);
        relies
    }

    /// Returns a VM that has a newer configuration than this one.
    pub(crate) fn peer_with_newer_configuration(&self) -> Option<Member> {
        let peers = self.peers.borrow();
        let (version, member) = peers.newest_configuration(self.clock.now_ms())?;
        (version > self.configuration_version()).then_some(member)
    }

    /// Returns whether another VM has a newer configuration that has to be in force here when a request is sent now.
    ///
    /// A VM that learns nothing goes on by what it knows, since the log service may be down for all.
    pub(crate) fn is_overtaken(&self) -> bool {
        let age_ms = self.configuration_age_ms().saturating_add(SEND_MAX_MS);
        age_ms > self.settings.log_service.change_max_ms
            && self.peer_with_newer_configuration().is_some()
    }

    /// Returns whether a content has crashed too many endpoints.
    pub(crate) fn is_crashing(&self, content: &ContentHash) -> bool {
        self.evidence.borrow().crash_count(content) >= CRASHES_MAX
    }

    /// Clears the crashes recorded against a content.
    pub(crate) fn clear_content(&self, content: &ContentHash) {
        let now_ms = self.clock.now_ms();
        self.evidence.borrow_mut().clear(*content, now_ms);
    }

    /// Takes an idle connection to an endpoint that is not about to reach its idle timeout.
    pub(crate) fn take_idle(&self, key: EndpointKey) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|kept| !kept.connection.is_closed());
        let index = connections
            .iter()
            .rposition(|kept| kept.is_usable(now_ms))?;
        Some(connections.swap_remove(index).connection)
    }

    /// Keeps a connection for later requests.
    pub(crate) fn keep_idle(&self, key: EndpointKey, mut connection: Connection) {
        let is_usable = self
            .endpoints
            .borrow()
            .get(key)
            .is_some_and(|e| e.is_usable());
        let memory = &self.memory;
        let has_room = memory.held_bytes() < memory.limit_bytes() / IDLE_MEMORY_SHARE;
        if !is_usable || !has_room || connection.is_closed() {
            return;
        }
        connection.idle_since_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() >= IDLE_PER_ENDPOINT_MAX {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            _memory: memory.hold(ENDPOINT_CONNECTION_BYTES),
        });
    }

    /// Closes the kept connections to an endpoint.
    pub(crate) fn drop_idle(&self, key: EndpointKey) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Closes kept connections that no request can use any more.
    fn drop_expired_idle(&self) {
        let now_ms = self.clock.now_ms();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|kept| kept.is_usable(now_ms));
            !connections.is_empty()
        });
    }

    /// Returns the limits of a listener whose connections count as memory of this process.
    pub fn listener_limits(
        &self,
        connections_max: usize,
        head_max_bytes: Rc<Cell<usize>>,
        idle_ms: Rc<Cell<u64>>,
    ) -> server::Limits {
        server::Limits {
            connections_max,
            head_max_bytes,
            idle_ms,
            memory: Rc::clone(&self.memory),
        }
    }

    /// Serves callers and other VMs until SIGTERM, then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or signals cannot be received.
    pub async fn run(self: Rc<Self>) -> Result<()> {
        let listener = server::listen("callers", self.settings.listen.front)?;
        let metrics_listener = server::listen("metrics", self.settings.listen.metrics)?;
        let peers_listener = server::listen("other VMs", self.settings.listen.peers)?;
        let socket = adverts::bind(self.settings.listen.peers)?;
        let stop = Signals::of_stop()?;
        let reload = Signals::of_reload()?;
        let requests = self.executor.requests();
        let control = self.executor.control();

        let gateway = Rc::clone(&self);
        let handler = Rc::new(move |request| exchange::serve(Rc::clone(&gateway), request));
        let idle_ms = Rc::clone(&self.idle_timeout_ms);
        let head_max_bytes = Rc::clone(&self.head_max_bytes);
        let limits = self.listener_limits(self.connections_max(), head_max_bytes, idle_ms);
        requests
            .spawn(server::accept(
                requests,
                listener,
                limits.clone(),
                Rc::clone(&self.stop_signals.callers),
                handler,
            ))
            .detach();
        let gateway = Rc::clone(&self);
        let handler = Rc::new(move |request| fleet::answer(Rc::clone(&gateway), request));
        control
            .spawn(server::accept(
                control,
                peers_listener,
                limits.clone(),
                Rc::clone(&self.stop_signals.peers),
                handler,
            ))
            .detach();
        if let Some(recorder) = metric::install() {
            control.spawn(maintain_metrics(recorder.clone())).detach();
            let handler = Rc::new(move |_| {
                let text = recorder.render();
                async move { Response::new(Body::whole(text)) }
            });
            control
                .spawn(server::accept(
                    control,
                    metrics_listener,
                    limits,
                    Rc::default(),
                    handler,
                ))
                .detach();
        }
        control
            .spawn(adverts::run(Rc::clone(&self), socket))
            .detach();
        control.spawn(fleet::follow(Rc::clone(&self))).detach();
        control
            .spawn(stream_origins::tell(Rc::clone(&self)))
            .detach();
        control.spawn(tick(Rc::clone(&self))).detach();
        for (queue, name) in [(control, "control"), (requests, "requests")] {
            queue.spawn(task_delay::measure(self.clock, name)).detach();
        }
        control.spawn(log_reloads(reload)).detach();
        log::info!(event = "started", incarnation = self.incarnation; "serving callers");
        stop.next().await;
        self.stop().await;
        Ok(())
    }

    /// Logs a change in this VM's share of the slack of the repeat budget.
    fn log_repeat_share(&self) {
        let now_ms = self.clock.now_ms();
        let vms = self.peers.borrow().budget_vm_count(now_ms);
        let slack = self.budget.borrow().slack_share(vms, now_ms);
        let before = self.logged_repeat_slack.replace(slack);
        metrics::gauge!(metric::REPEAT_VMS).set(vms.unwrap_or(0) as f64);
        metrics::gauge!(metric::REPEAT_SLACK).set(slack);
        if before == slack {
            return;
        }
        log::info!(
            event = "repeat_share", vms = vms.unwrap_or(0), slack = slack, before = before;
            "this VM has another share of the slack of the repeat budget"
        );
    }

    fn connections_max(&self) -> usize {
        let free = self
            .settings
            .limits
            .descriptors
            .saturating_sub(DESCRIPTORS_RESERVED);
        // Each request needs a connection of its own to an endpoint.
        let by_descriptors = free / 2;
        let by_memory = self.memory.limit_bytes() / RECEIVING_CONNECTION_BYTES;
        usize::try_from(by_descriptors.min(by_memory))
            .unwrap_or(usize::MAX)
            .max(16)
    }
}

async fn tick(gateway: Rc<Gateway>) {
    loop {
        Timer::after(Duration::from_millis(TICK_MS)).await;
        let changes = gateway
            .endpoints
            .borrow_mut()
            .remove_due(gateway.clock.now_ms());
        for (id, change) in changes {
            gateway.apply(Some(change), &id);
        }
        let now_ms = gateway.clock.now_ms();
        gateway.evidence.borrow_mut().expire(now_ms);
        gateway.endpoints.borrow_mut().expire_limits(now_ms);
        gateway.drop_expired_idle();
        let age_s = gateway.configuration_age_ms() as f64 / 1_000.0;
        if gateway.configuration_version() > 0 {
            metrics::gauge!(metric::CONFIGURATION_AGE).set(age_s);
        }
        metrics::gauge!(metric::MEMORY_HELD).set(gateway.memory.held_bytes() as f64);
        metrics::gauge!(metric::MEMORY_LIMIT).set(gateway.memory.limit_bytes() as f64);
        gateway.retain_permits();
        gateway.update_parts();
        gateway.expire_streams();
        gateway.log_repeat_share();
    }
}

/// Folds recorded values into the histograms; otherwise they would accumulate between two scrapes.
async fn maintain_metrics(recorder: PrometheusHandle) {
    loop {
        Timer::after(Duration::from_millis(METRICS_UPKEEP_MS)).await;
        recorder.run_upkeep();
    }
}

/// Logs reload requests; settings take effect only at the next start.
async fn log_reloads(reload: Signals) {
    loop {
        reload.next().await;
        log::info!(event = "reload"; "settings take effect at the next start");
    }
}
