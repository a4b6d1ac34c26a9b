//! Connections to other entry VMs and the calls on them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use flume::Receiver;
use flume::Sender;
use futures::future::Either;
use futures::future::select;
use futures::pin_mut;
use rand::Rng;
use waxwing_core::Name;
use waxwing_wire::peer::Digest;
use waxwing_wire::peer::PROTOCOL_VERSION;
use waxwing_wire::peer::SettingsState;
use waxwing_wire::peer::Verdict;
use waxwing_wire::peer::read_name;
use waxwing_wire::peer::write_names;
use waxwing_wire::peer::write_ticket;
use waxwing_wire::peer_capnp::orders;
use waxwing_wire::peer_capnp::router;

use crate::metric;
use crate::peer::Answer;
use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::CALLS_MAX;
use crate::peer::Call;
use crate::peer::Command;
use crate::peer::Error;
use crate::peer::Inbox;
use crate::peer::Reply;
use crate::peer::Request;
use crate::peer::Result;
use crate::peer::Target;
use crate::peer::count_failure;
use crate::peer::server;
use crate::peer::server::OrdersServer;
use crate::peer::server::Session;
use crate::peer::stream::Stream;
use crate::shared::Shared;

/// Timeout of connecting and the handshake, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Pause after the first failed connection, in milliseconds; it doubles up to [`BACKOFF_MAX_MS`].
const BACKOFF_MIN_MS: u64 = 100;

/// Longest pause between connection attempts, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;

/// Longest message, in words of 8 bytes; a settings state of 8 MiB fits.
const MESSAGE_MAX_WORDS: usize = 1_024 * 1_024 + 1_024;

/// State that the tasks of the peer thread share.
pub(super) struct Context {
    pub(super) shared: Arc<Shared>,
    pub(super) executor: LocalExecutor<'static>,
    /// Number of the session and where its preemption orders go, by incarnation of the VM that holds the request.
    pub(super) watchers: RefCell<HashMap<u64, (u64, orders::Client)>>,
    pub(super) connections: Cell<usize>,
    sessions: Cell<u64>,
}

impl Context {
    /// Allocates a session number.
    pub(super) fn next_session_number(&self) -> u64 {
        self.sessions.set(self.sessions.get() + 1);
        self.sessions.get()
    }

    /// Drops the orders capability of a session that ended, unless a newer session replaced it.
    pub(super) fn forget(&self, session: &Session) {
        let mut watchers = self.watchers.borrow_mut();
        let incarnation = session.incarnation.get();
        if watchers
            .get(&incarnation)
            .is_some_and(|(number, _)| *number == session.number)
        {
            watchers.remove(&incarnation);
        }
    }
}

struct Link {
    address: String,
    requests: Sender<Request>,
}

/// Runs the executor of the peer thread.
pub(super) fn run(shared: Arc<Shared>, inbox: Inbox, listener: Async<TcpListener>) {
    let context = Rc::new(Context {
        shared,
        executor: LocalExecutor::new(),
        watchers: RefCell::new(HashMap::new()),
        connections: Cell::new(0),
        sessions: Cell::new(0),
    });
    let accepting = server::accept(Rc::clone(&context), listener);
    context.executor.spawn(accepting).detach();
    let commands = process_commands(Rc::clone(&context), inbox);
    async_io::block_on(context.executor.run(commands));
}

/// Returns the size limits for messages of other VMs.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    options
}

async fn process_commands(context: Rc<Context>, inbox: Inbox) {
    let mut links: HashMap<Name, Link> = HashMap::new();
    while let Ok(command) = inbox.commands.recv_async().await {
        match command {
            Command::Targets(targets) => set_targets(&context, &mut links, targets),
            Command::Call { peer, request } => {
                let Some(link) = links.get(&peer) else {
                    reply(&context, &peer, request.reply, Err(Error::UnknownPeer)).await;
                    continue;
                };
                if let Err(error) = link.requests.try_send(request) {
                    let request = error.into_inner();
                    reply(&context, &peer, request.reply, Err(Error::Busy)).await;
                }
            }
            Command::Preempt { shard, ticket } => {
                let watchers = context.watchers.borrow();
                let Some((_, orders)) = watchers.get(&ticket.incarnation) else {
                    count_failure(&Error::UnknownPeer);
                    continue;
                };
                let mut request = orders.preempt_request();
                shard.write(request.get().init_shard());
                write_ticket(ticket, request.get().init_ticket());
                let sent = request.send().promise;
                let awaited = async move {
                    if sent.await.is_err() {
                        count_failure(&Error::Broken);
                    }
                };
                context.executor.spawn(awaited).detach();
            }
        }
    }
}

fn set_targets(context: &Rc<Context>, links: &mut HashMap<Name, Link>, targets: Vec<Target>) {
    links.retain(|name, link| {
        let kept = |target: &Target| target.name == *name && target.address == link.address;
        targets.iter().any(kept)
    });
    for target in targets {
        if links.contains_key(&target.name) {
            continue;
        }
        let (sender, receiver) = flume::bounded(CALLS_MAX);
        let address = target.address.clone();
        let name = target.name.clone();
        let keeping = maintain_connection(Rc::clone(context), target, receiver);
        context.executor.spawn(keeping).detach();
        let link = Link {
            address,
            requests: sender,
        };
        links.insert(name, link);
    }
}

/// Keeps a peer connected and forwards requests to it, until the peer is no longer a target.
async fn maintain_connection(context: Rc<Context>, target: Target, requests: Receiver<Request>) {
    let mut backoff_ms = BACKOFF_MIN_MS;
    while !requests.is_disconnected() || !requests.is_empty() {
        match connect(&context, &target).await {
            Ok(connection) => {
                backoff_ms = BACKOFF_MIN_MS;
                log::info!("connected to {} at {}", target.name, target.address);
                let shared = &context.shared;
                shared
                    .members
                    .connected(&target.name, connection.incarnation)
                    .await;
                shared
                    .scheduling
                    .notify_connected(connection.incarnation)
                    .await;
                forward_requests(&context, &target.name, &connection, &requests).await;
                connection.close();
            }
            Err(error) => {
                log::info!("no connection to {}: {error}", target.name);
                count_failure(&Error::Unreachable);
                context.shared.members.connect_failed(&target.name).await;
                let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
                backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
                let until = Instant::now() + Duration::from_millis(pause_ms);
                refuse_until(&context, &target.name, &requests, until).await;
            }
        }
    }
}

/// Fails requests as unreachable during the backoff, so that they can go to another VM.
async fn refuse_until(
    context: &Rc<Context>,
    name: &Name,
    requests: &Receiver<Request>,
    until: Instant,
) {
    loop {
        match select(requests.recv_async(), Timer::at(until)).await {
            Either::Left((Ok(request), _)) => {
                reply(context, name, request.reply, Err(Error::Unreachable)).await;
            }
            Either::Left((Err(_), _)) | Either::Right(_) => return,
        }
    }
}

/// Forwards requests to the connection until it closes.
async fn forward_requests(
    context: &Rc<Context>,
    name: &Name,
    connection: &Rc<Connection>,
    requests: &Receiver<Request>,
) {
    loop {
        let closed = connection.wait_for_close();
        pin_mut!(closed);
        let request = match select(requests.recv_async(), closed).await {
            Either::Left((Ok(request), _)) => request,
            Either::Left((Err(_), _)) | Either::Right(_) => return,
        };
        if request.incarnation != 0 && request.incarnation != connection.incarnation {
            reply(context, name, request.reply, Err(Error::UnknownPeer)).await;
            continue;
        }
        if request.deadline <= Instant::now() {
            reply(context, name, request.reply, Err(Error::Timeout)).await;
            continue;
        }
        if connection.in_flight.get() >= CALLS_MAX {
            reply(context, name, request.reply, Err(Error::Busy)).await;
            continue;
        }
        let task = {
            let context = Rc::clone(context);
            let connection = Rc::clone(connection);
            let name = name.clone();
            async move {
                connection.in_flight.set(connection.in_flight.get() + 1);
                let result = perform(&connection, request.call, request.deadline).await;
                connection.in_flight.set(connection.in_flight.get() - 1);
                reply(&context, &name, request.reply, result).await;
            }
        };
        context.executor.spawn(task).detach();
    }
}

/// Delivers the result of a call to the thread that waits for it.
async fn reply(context: &Rc<Context>, name: &Name, reply: Reply, result: Result<Answer>) {
    if let Err(error) = &result {
        count_failure(error);
    }
    match reply {
        // The caller may have stopped waiting.
        Reply::Caller(sender) => drop(sender.try_send(result)),
        Reply::Scheduling(tag) => context.shared.scheduling.deliver_reply(tag, result).await,
        Reply::Members => context.shared.members.exchanged(name, result).await,
        Reply::Nobody => {}
    }
}

/// A connection to a peer whose handshake is complete.
struct Connection {
    router: router::Client,
    stream: Stream,
    incarnation: u64,
    in_flight: Cell<usize>,
    open: RefCell<Option<Sender<()>>>,
    closed: Receiver<()>,
}

impl Connection {
    fn close(&self) {
        self.open.borrow_mut().take();
        self.stream.close();
    }

    /// Resolves when the connection is closed.
    async fn wait_for_close(&self) {
        let _ = self.closed.recv_async().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

/// Closes a stream unless its handshake succeeds.
struct CloseOnDrop(Option<Stream>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(stream) = self.0.take() {
            stream.close();
        }
    }
}

async fn connect(
    context: &Rc<Context>,
    target: &Target,
) -> std::result::Result<Rc<Connection>, capnp::Error> {
    let greeted = handshake(context, target);
    pin_mut!(greeted);
    let timeout = Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS));
    match select(greeted, timeout).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(capnp::Error::overloaded(format!(
            "no greeting within {CONNECT_TIMEOUT_MS} ms"
        ))),
    }
}

async fn handshake(
    context: &Rc<Context>,
    target: &Target,
) -> std::result::Result<Rc<Connection>, capnp::Error> {
    let address: SocketAddr = target.address.parse().map_err(|_| {
        let address = &target.address;
        capnp::Error::failed(format!(
            "peer address `{address}` is no IP address and port"
        ))
    })?;
    let stream = Stream::new(Async::<TcpStream>::connect(address).await?);
    let mut guard = CloseOnDrop(Some(stream.clone()));
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let router: router::Client = system.bootstrap(Side::Server);
    let (open, closed) = flume::bounded::<()>(1);
    let ended_stream = stream.clone();
    let run = async move {
        let _ = server::guard(system).await;
        ended_stream.close();
    };
    let running = context.executor.spawn(run);
    let incarnation = hello(context, target, &router).await?;
    let mut watch = router.watch_request();
    let orders = OrdersServer {
        context: Rc::clone(context),
    };
    watch.get().set_orders(capnp_rpc::new_client(orders));
    watch.send().promise.await?;
    guard.0 = None;
    let connection = Rc::new(Connection {
        router,
        stream,
        incarnation,
        in_flight: Cell::new(0),
        open: RefCell::new(Some(open)),
        closed,
    });
    let weak = Rc::downgrade(&connection);
    let watch_end = async move {
        running.await;
        if let Some(connection) = weak.upgrade() {
            connection.close();
        }
    };
    context.executor.spawn(watch_end).detach();
    Ok(connection)
}

/// Sends `hello`, checks the protocol version and the name, and returns the incarnation of the peer.
async fn hello(
    context: &Rc<Context>,
    target: &Target,
    router: &router::Client,
) -> std::result::Result<u64, capnp::Error> {
    let mut request = router.hello_request();
    request.get().set_version(PROTOCOL_VERSION);
    request.get().set_incarnation(context.shared.incarnation);
    let local_name = &context.shared.config.vm.name;
    request.get().set_name(local_name.as_str());
    let response = request.send().promise.await?;
    let results = response.get()?;
    if results.get_version() != PROTOCOL_VERSION {
        let version = results.get_version();
        return Err(capnp::Error::failed(format!(
            "it speaks protocol version {version}, this VM {PROTOCOL_VERSION}"
        )));
    }
    let name = results.get_name()?.to_str()?;
    if name != target.name.as_str() {
        return Err(capnp::Error::failed(format!("it answers as {name}")));
    }
    Ok(results.get_incarnation())
}

/// Performs a call, and closes the connection if a prompt answer does not arrive in time.
async fn perform(connection: &Connection, call: Call, deadline: Instant) -> Result<Answer> {
    // A slot or a claim may take as long as the request has time; any other answer comes from memory.
    let is_prompt = !matches!(call, Call::Enqueue { .. } | Call::Claim(_));
    // The time spent in the queue does not count against this connection.
    let deadline = match is_prompt {
        true => Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS),
        false => deadline,
    };
    let answered = ask(&connection.router, call);
    let closed = connection.wait_for_close();
    pin_mut!(answered);
    pin_mut!(closed);
    let ended = select(closed, Timer::at(deadline));
    match select(answered, ended).await {
        Either::Left((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(error), _)) if error.kind == capnp::ErrorKind::Disconnected => {
            connection.close();
            Err(Error::Broken)
        }
        Either::Left((Err(error), _)) => Err(Error::Refused(error.to_string())),
        Either::Right((Either::Left(_), _)) => Err(Error::Broken),
        Either::Right((Either::Right(_), _)) => {
            if is_prompt {
                metrics::counter!(metric::PEER_SILENT).increment(1);
                connection.close();
            }
            Err(Error::Timeout)
        }
    }
}

async fn ask(router: &router::Client, call: Call) -> std::result::Result<Answer, capnp::Error> {
    match call {
        Call::Exchange(digest) => {
            let mut request = router.exchange_request();
            digest.write(request.get().init_digest());
            let response = request.send().promise.await?;
            let digest =
                Digest::try_from(response.get()?.get_digest()?).map_err(malformed_error)?;
            Ok(Answer::Digest(digest))
        }
        Call::Enqueue {
            shard,
            slot_request,
            skipped,
        } => {
            let mut request = router.enqueue_request();
            shard.write(request.get().init_shard());
            slot_request.write(request.get().init_ask());
            let names = request.get().init_skipped(skipped.len() as u32);
            write_names(&skipped, names);
            let response = request.send().promise.await?;
            let verdict =
                Verdict::try_from(response.get()?.get_verdict()?).map_err(malformed_error)?;
            Ok(Answer::Verdict(verdict))
        }
        Call::Cancel { shard, ticket } => {
            let mut request = router.cancel_request();
            shard.write(request.get().init_shard());
            write_ticket(ticket, request.get().init_ticket());
            request.send().promise.await?;
            Ok(Answer::Done)
        }
        Call::Adopt {
            shard,
            slot_request,
            endpoint,
        } => {
            let mut request = router.adopt_request();
            shard.write(request.get().init_shard());
            slot_request.write(request.get().init_ask());
            request.get().set_endpoint(endpoint.as_str());
            request.send().promise.await?;
            Ok(Answer::Done)
        }
        Call::Report(reports) => {
            let mut request = router.report_request();
            let mut list = request.get().init_reports(reports.len() as u32);
            for (index, report) in reports.iter().enumerate() {
                report.write(list.reborrow().get(index as u32));
            }
            request.send().promise.await?;
            Ok(Answer::Done)
        }
        Call::Claim(claim) => {
            let mut request = router.claim_request();
            claim.write(request.get().init_request());
            let response = request.send().promise.await?;
            let verdict = response.get()?.get_verdict()?;
            Ok(Answer::Claim(verdict.try_into().map_err(malformed_error)?))
        }
        Call::Settle(settlement) => {
            let mut request = router.settle_request();
            settlement.write(request.get().init_settlement());
            request.send().promise.await?;
            Ok(Answer::Done)
        }
        Call::Settings(have_version) => {
            let mut request = router.settings_request();
            request.get().set_have_version(have_version);
            let response = request.send().promise.await?;
            let results = response.get()?;
            let state = SettingsState {
                version: results.get_version(),
                bytes: results.get_state()?.to_vec(),
            };
            Ok(Answer::Settings((state.version > 0).then_some(state)))
        }
        Call::Evidence(evidence) => {
            let mut request = router.evidence_request();
            let mut list = request.get().init_evidence(evidence.len() as u32);
            for (index, item) in evidence.iter().enumerate() {
                item.write(list.reborrow().get(index as u32));
            }
            request.send().promise.await?;
            Ok(Answer::Done)
        }
        Call::Explain(request_id) => {
            let mut request = router.explain_request();
            request.get().set_request_id(request_id.as_str());
            let response = request.send().promise.await?;
            let mut lines = Vec::new();
            for line in response.get()?.get_lines()? {
                lines.push(read_name(line?).map_err(malformed_error)?.to_string());
            }
            Ok(Answer::Explain(lines))
        }
    }
}

fn malformed_error(error: waxwing_wire::peer::Error) -> capnp::Error {
    server::count_rejected("malformed");
    capnp::Error::failed(error.to_string())
}
