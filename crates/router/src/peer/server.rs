//! Answers to the calls of other entry VMs.

use std::cell::Cell;
use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_io::Async;
use async_io::Timer;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use flume::Receiver;
use flume::Sender;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use futures::pin_mut;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::Settlement;
use waxwing_wire::peer::Digest;
use waxwing_wire::peer::Evidence;
use waxwing_wire::peer::PROTOCOL_VERSION;
use waxwing_wire::peer::RemoteSlotRequest;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::read_name;
use waxwing_wire::peer::read_names;
use waxwing_wire::peer::read_ticket;
use waxwing_wire::peer_capnp::orders;
use waxwing_wire::peer_capnp::router;

use crate::metric;
use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::Question;
use crate::peer::Questions;
use crate::peer::client::Context;
use crate::peer::client::reader_options;
use crate::peer::stream::Stream;
use crate::scheduling::PeerRequest;

/// Connections of other VMs that are served at once.
const CONNECTIONS_MAX: usize = 1_024;

/// Idle time after which a connection of another VM is closed, in milliseconds; peers send a heartbeat each second.
const IDLE_MAX_MS: u64 = 10_000;

/// Timeout of a question that is answered from memory, in milliseconds.
///
/// It is shorter than the timeout after which the caller closes the connection.
const QUESTION_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Time for a verdict beyond the deadline of the request, in milliseconds.
const VERDICT_MARGIN_MS: u64 = 1_000;

type Result<T> = std::result::Result<T, capnp::Error>;

/// State of a connection of another VM.
pub(super) struct Session {
    pub(super) number: u64,
    pub(super) incarnation: Cell<u64>,
    last_received: Cell<Instant>,
}

struct RouterServer {
    context: Rc<Context>,
    session: Rc<Session>,
}

/// Receives preemption orders from the owner of a shard.
pub(super) struct OrdersServer {
    pub(super) context: Rc<Context>,
}

/// Accepts connections of other VMs.
pub(super) async fn accept(context: Rc<Context>, listener: Async<TcpListener>) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("a peer connection cannot be accepted: {error}");
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        if context.connections.get() >= CONNECTIONS_MAX {
            count_rejected("connections");
            continue;
        }
        context.connections.set(context.connections.get() + 1);
        let serving = {
            let context = Rc::clone(&context);
            async move {
                serve(&context, Stream::new(socket)).await;
                context.connections.set(context.connections.get() - 1);
            }
        };
        context.executor.spawn(serving).detach();
    }
}

async fn serve(context: &Rc<Context>, stream: Stream) {
    let session = Rc::new(Session {
        number: context.next_session_number(),
        incarnation: Cell::new(0),
        last_received: Cell::new(Instant::now()),
    });
    let server = RouterServer {
        context: Rc::clone(context),
        session: Rc::clone(&session),
    };
    let client: router::Client = capnp_rpc::new_client(server);
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let running = guard(system);
    let idle = close_when_idle(&session, &stream);
    pin_mut!(running);
    pin_mut!(idle);
    let result = match select(running, idle).await {
        Either::Left((result, _)) => result,
        Either::Right(((), running)) => running.await,
    };
    stream.close();
    context.forget(&session);
    if let Err(error) = result
        && error.kind != capnp::ErrorKind::Disconnected
    {
        count_rejected("malformed");
        log::warn!("a peer connection was closed: {error}");
    }
}

async fn close_when_idle(session: &Session, stream: &Stream) {
    let limit = Duration::from_millis(IDLE_MAX_MS);
    loop {
        let left = limit.saturating_sub(session.last_received.get().elapsed());
        if left.is_zero() {
            stream.close();
            return;
        }
        Timer::after(left).await;
    }
}

/// Runs one connection and catches panics, so that a malformed message does not end the thread.
pub(super) async fn guard(system: RpcSystem<Side>) -> Result<()> {
    match AssertUnwindSafe(system).catch_unwind().await {
        Ok(result) => result,
        Err(_) => Err(capnp::Error::failed("the message is damaged".to_owned())),
    }
}

/// Counts a message that was answered with an error.
pub(super) fn count_rejected(reason: &'static str) {
    metrics::counter!(metric::PEER_REJECTED, "reason" => reason).increment(1);
}

fn malformed_error(error: impl std::fmt::Display) -> capnp::Error {
    count_rejected("malformed");
    capnp::Error::failed(error.to_string())
}

/// Counts a decoding error and turns it into the error of the call.
fn decode<T, E: std::fmt::Display>(result: std::result::Result<T, E>) -> Result<T> {
    result.map_err(malformed_error)
}

impl RouterServer {
    /// Returns the incarnation of the peer and records the time of its call.
    ///
    /// # Errors
    ///
    /// Fails if the peer has not sent `hello` with the supported protocol version.
    fn peer_incarnation(&self) -> Result<u64> {
        self.session.last_received.set(Instant::now());
        match self.session.incarnation.get() {
            0 => {
                count_rejected("no_hello");
                Err(capnp::Error::failed(
                    "call hello before any other method".to_owned(),
                ))
            }
            incarnation => Ok(incarnation),
        }
    }

    /// Queues a question for a thread and waits for the answer.
    async fn ask<Q, A>(&self, questions: &Questions<Q, A>, body: Q, wait_ms: u64) -> Result<A> {
        let incarnation = self.peer_incarnation()?;
        let (sender, receiver): (Sender<A>, Receiver<A>) = flume::bounded(1);
        let question = Question {
            incarnation,
            body,
            answer: sender,
        };
        if questions.sender.try_send(question).is_err() {
            count_rejected("busy");
            return Err(capnp::Error::overloaded(
                "too many questions wait".to_owned(),
            ));
        }
        let timeout = Timer::after(Duration::from_millis(wait_ms));
        match select(receiver.recv_async(), timeout).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(_), _)) => Err(capnp::Error::failed(
                "the question was dropped without an answer".to_owned(),
            )),
            Either::Right(_) => Err(capnp::Error::overloaded(format!(
                "no answer within {wait_ms} ms"
            ))),
        }
    }
}

impl router::Server for RouterServer {
    async fn hello(
        self: Rc<Self>,
        params: router::HelloParams,
        mut results: router::HelloResults,
    ) -> Result<()> {
        self.session.last_received.set(Instant::now());
        let params = decode(params.get())?;
        let name = decode(params.get_name().map_err(Into::into).and_then(read_name))?;
        let version = params.get_version();
        if version != PROTOCOL_VERSION {
            count_rejected("version");
            return Err(capnp::Error::failed(format!(
                "{name} speaks protocol version {version}, this VM {PROTOCOL_VERSION}"
            )));
        }
        self.session.incarnation.set(params.get_incarnation());
        let shared = &self.context.shared;
        let mut answer = results.get();
        answer.set_version(PROTOCOL_VERSION);
        answer.set_incarnation(shared.incarnation);
        answer.set_name(shared.config.vm.name.as_str());
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: router::ExchangeParams,
        mut results: router::ExchangeResults,
    ) -> Result<()> {
        self.peer_incarnation()?;
        let reader = decode(params.get().and_then(|params| params.get_digest()))?;
        let digest = decode(Digest::try_from(reader))?;
        let shared = &self.context.shared;
        shared.members.digest_received(digest).await;
        let local = shared.members.digest(shared);
        local.write(results.get().init_digest());
        Ok(())
    }

    async fn enqueue(
        self: Rc<Self>,
        params: router::EnqueueParams,
        mut results: router::EnqueueResults,
    ) -> Result<()> {
        let incarnation = self.peer_incarnation()?;
        let params = decode(params.get())?;
        let shard = decode(Shard::try_from(decode(params.get_shard())?))?;
        let request = decode(RemoteSlotRequest::try_from(decode(params.get_ask())?))?;
        let skipped = decode(read_names(decode(params.get_skipped())?))?;
        if request.ticket().incarnation != incarnation {
            return Err(malformed_error("the ticket is not of the caller"));
        }
        let timeout_ms = request.left_ms().saturating_add(VERDICT_MARGIN_MS);
        let (answer, verdict) = flume::bounded(1);
        let remote = PeerRequest::Enqueue {
            shard,
            request: Box::new(request),
            skipped,
            answer,
        };
        self.context
            .shared
            .scheduling
            .submit_peer_request(remote)
            .await;
        let timeout = Timer::after(Duration::from_millis(timeout_ms));
        match select(verdict.recv_async(), timeout).await {
            Either::Left((Ok(verdict), _)) => {
                verdict.write(results.get().init_verdict());
                Ok(())
            }
            Either::Left((Err(_), _)) => {
                Err(capnp::Error::failed("the request was cancelled".to_owned()))
            }
            Either::Right(_) => Err(capnp::Error::overloaded(
                "the deadline passed without a slot".to_owned(),
            )),
        }
    }

    async fn cancel(
        self: Rc<Self>,
        params: router::CancelParams,
        _: router::CancelResults,
    ) -> Result<()> {
        self.peer_incarnation()?;
        let params = decode(params.get())?;
        let remote = PeerRequest::Cancel {
            shard: decode(Shard::try_from(decode(params.get_shard())?))?,
            ticket: read_ticket(decode(params.get_ticket())?),
        };
        self.context
            .shared
            .scheduling
            .submit_peer_request(remote)
            .await;
        Ok(())
    }

    async fn adopt(
        self: Rc<Self>,
        params: router::AdoptParams,
        _: router::AdoptResults,
    ) -> Result<()> {
        self.peer_incarnation()?;
        let params = decode(params.get())?;
        let remote = PeerRequest::Adopt {
            shard: decode(Shard::try_from(decode(params.get_shard())?))?,
            request: Box::new(decode(RemoteSlotRequest::try_from(decode(
                params.get_ask(),
            )?))?),
            endpoint: decode(read_name(decode(params.get_endpoint())?))?,
        };
        self.context
            .shared
            .scheduling
            .submit_peer_request(remote)
            .await;
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: router::ReportParams,
        _: router::ReportResults,
    ) -> Result<()> {
        self.peer_incarnation()?;
        let params = decode(params.get())?;
        let mut reports = Vec::new();
        for reader in decode(params.get_reports())? {
            reports.push(decode(Report::try_from(reader))?);
        }
        let remote = PeerRequest::Report(reports);
        self.context
            .shared
            .scheduling
            .submit_peer_request(remote)
            .await;
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: router::WatchParams,
        _: router::WatchResults,
    ) -> Result<()> {
        let incarnation = self.peer_incarnation()?;
        let orders = decode(params.get().and_then(|params| params.get_orders()))?;
        let mut watchers = self.context.watchers.borrow_mut();
        watchers.insert(incarnation, (self.session.number, orders));
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: router::ClaimParams,
        mut results: router::ClaimResults,
    ) -> Result<()> {
        let reader = decode(params.get().and_then(|params| params.get_request()))?;
        let claim = decode(ClaimRequest::try_from(reader))?;
        // A withdrawn claim has a wait of 0, but its receipt is confirmed.
        let wait_ms = match claim.wait_ms {
            0 => CALL_TIMEOUT_MS,
            wait_ms => wait_ms,
        };
        let questions = &self.context.shared.peers.claims;
        let verdict = self.ask(questions, claim, wait_ms).await?;
        verdict.write(results.get().init_verdict());
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: router::SettleParams,
        _: router::SettleResults,
    ) -> Result<()> {
        let reader = decode(params.get().and_then(|params| params.get_settlement()))?;
        let settlement = decode(Settlement::try_from(reader))?;
        let questions = &self.context.shared.peers.settlements;
        self.ask(questions, settlement, QUESTION_TIMEOUT_MS).await
    }

    async fn settings(
        self: Rc<Self>,
        params: router::SettingsParams,
        mut results: router::SettingsResults,
    ) -> Result<()> {
        let have_version = decode(params.get())?.get_have_version();
        let questions = &self.context.shared.peers.settings;
        let state = self
            .ask(questions, have_version, QUESTION_TIMEOUT_MS)
            .await?;
        if let Some(state) = state {
            let mut answer = results.get();
            answer.set_version(state.version);
            answer.set_state(&state.bytes);
        }
        Ok(())
    }

    async fn evidence(
        self: Rc<Self>,
        params: router::EvidenceParams,
        _: router::EvidenceResults,
    ) -> Result<()> {
        let mut evidence = Vec::new();
        for reader in decode(params.get().and_then(|params| params.get_evidence()))? {
            evidence.push(decode(Evidence::try_from(reader))?);
        }
        let questions = &self.context.shared.peers.evidence;
        self.ask(questions, evidence, QUESTION_TIMEOUT_MS).await
    }

    async fn explain(
        self: Rc<Self>,
        params: router::ExplainParams,
        mut results: router::ExplainResults,
    ) -> Result<()> {
        let params = decode(params.get())?;
        let request_id = decode(read_name(decode(params.get_request_id())?))?.to_string();
        let questions = &self.context.shared.peers.explain;
        let lines = self.ask(questions, request_id, QUESTION_TIMEOUT_MS).await?;
        let mut list = results.get().init_lines(lines.len() as u32);
        for (index, line) in lines.iter().enumerate() {
            list.set(index as u32, line.as_str());
        }
        Ok(())
    }
}

impl orders::Server for OrdersServer {
    async fn preempt(
        self: Rc<Self>,
        params: orders::PreemptParams,
        _: orders::PreemptResults,
    ) -> Result<()> {
        let params = decode(params.get())?;
        let ticket = read_ticket(decode(params.get_ticket())?);
        self.context
            .shared
            .scheduling
            .notify_preempted(ticket)
            .await;
        Ok(())
    }
}
