//! Calls between the entry VMs, on one executor thread.

mod client;
mod server;
mod stream;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Settlement;
use waxwing_wire::peer::Digest;
use waxwing_wire::peer::Evidence;
use waxwing_wire::peer::RemoteSlotRequest;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::SettingsState;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::metric;
use crate::scheduling::ReplyTag;
use crate::shared::Shared;

/// Commands that may wait for the thread.
const COMMANDS_MAX: usize = 4_096;

/// Questions of other VMs that may wait for the thread that answers them.
const QUESTIONS_MAX: usize = 1_024;

/// Calls that may wait for the connection to one peer, and as many that may be in flight on it.
///
/// A VM has at most `requests_max` (2,000) requests, each with one `enqueue` in flight.
const CALLS_MAX: usize = 2_048;

/// Timeout of a call that the peer answers from memory, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_500;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many calls wait for the thread or the peer.
    #[error("too many calls wait for the peer")]
    Busy,
    /// The peer, or the process for which the call was meant, is not known; the call was not sent.
    #[error("the peer is not known")]
    UnknownPeer,
    /// A new connection failed; the call was not sent.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection broke or went silent; the call may have been received.
    #[error("the connection to the peer broke")]
    Broken,
    /// The answer did not arrive in time; the call may have been received.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer answered with an error.
    #[error("the peer refused the call: {0}")]
    Refused(String),
}

impl Error {
    /// Returns the label of the counter.
    fn label(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::UnknownPeer => "unknown_peer",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Refused(_) => "refused",
        }
    }
}

/// A call to another VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Heartbeat.
    Exchange(Digest),
    /// Asks the owner of a shard for a slot.
    Enqueue {
        /// The shard.
        shard: Shard,
        /// The request.
        slot_request: Box<RemoteSlotRequest>,
        /// Members that this VM cannot reach.
        skipped: Vec<Name>,
    },
    /// Withdraws a request.
    Cancel {
        /// The shard.
        shard: Shard,
        /// The request.
        ticket: TicketId,
    },
    /// Makes the owner count a request that already runs.
    Adopt {
        /// The shard.
        shard: Shard,
        /// The request.
        slot_request: Box<RemoteSlotRequest>,
        /// Where it runs.
        endpoint: Name,
    },
    /// Observations of running requests.
    Report(Vec<Report>),
    /// Asks the owner of a key range for permission to send a call.
    Claim(ClaimRequest),
    /// Ends a claim.
    Settle(Settlement),
    /// Asks for a settings state newer than this version.
    Settings(u64),
    /// Contents that ran on endpoints when they crashed.
    Evidence(Vec<Evidence>),
    /// Asks for the trace of a request.
    Explain(String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answer to [`Call::Exchange`].
    Digest(Digest),
    /// Answer to [`Call::Enqueue`].
    Verdict(Verdict),
    /// Answer to a call without a result.
    Done,
    /// Answer to [`Call::Claim`].
    Claim(ClaimVerdict),
    /// Answer to [`Call::Settings`]; `None` if the peer has nothing newer.
    Settings(Option<SettingsState>),
    /// Answer to [`Call::Explain`], as lines of JSON.
    Explain(Vec<String>),
}

/// A question of another VM, for the thread that can answer it.
#[derive(Debug)]
pub struct Question<Q, A> {
    /// Incarnation of the process that asks.
    pub incarnation: u64,
    /// The question.
    pub body: Q,
    /// Where the answer goes; it is dropped if the other VM no longer waits.
    pub answer: Sender<A>,
}

/// A bounded queue of questions.
#[derive(Clone, Debug)]
pub struct Questions<Q, A> {
    sender: Sender<Question<Q, A>>,
    receiver: Receiver<Question<Q, A>>,
}

impl<Q, A> Questions<Q, A> {
    fn new() -> Self {
        let (sender, receiver) = flume::bounded(QUESTIONS_MAX);
        Self { sender, receiver }
    }

    /// Returns the end from which a thread takes the questions.
    pub fn receiver(&self) -> Receiver<Question<Q, A>> {
        self.receiver.clone()
    }
}

/// A VM to which a connection is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: Name,
    /// Address for other entry VMs.
    pub address: String,
}

/// Where the answer to a call goes.
#[derive(Debug)]
enum Reply {
    Caller(Sender<Result<Answer>>),
    Scheduling(ReplyTag),
    Members,
    Nobody,
}

#[derive(Debug)]
struct Request {
    call: Call,
    /// Process for which the call is meant; 0 stands for any.
    incarnation: u64,
    deadline: Instant,
    reply: Reply,
}

#[derive(Debug)]
enum Command {
    Targets(Vec<Target>),
    Call { peer: Name, request: Request },
    Preempt { shard: Shard, ticket: TicketId },
}

/// Handle for calls to the other entry VMs.
#[derive(Clone, Debug)]
pub struct Peers {
    commands: Sender<Command>,
    /// Claims that this VM has to decide.
    pub claims: Questions<ClaimRequest, ClaimVerdict>,
    /// Ends of claims that this VM granted.
    pub settlements: Questions<Settlement, ()>,
    /// Requests of other VMs for settings newer than the given version.
    pub settings: Questions<u64, Option<SettingsState>>,
    /// Evidence of crashes.
    pub evidence: Questions<Vec<Evidence>, ()>,
    /// Ids of requests whose trace another VM asks for.
    pub explain: Questions<String, Vec<String>>,
}

/// Receiving end of [`Peers`], for its thread.
#[derive(Debug)]
pub struct Inbox {
    commands: Receiver<Command>,
}

impl Peers {
    /// Creates the handle and the inbox of its thread.
    pub fn new() -> (Self, Inbox) {
        let (sender, receiver) = flume::bounded(COMMANDS_MAX);
        let peers = Self {
            commands: sender,
            claims: Questions::new(),
            settlements: Questions::new(),
            settings: Questions::new(),
            evidence: Questions::new(),
            explain: Questions::new(),
        };
        (peers, Inbox { commands: receiver })
    }

    /// Sets the VMs to which connections are kept; returns whether the thread can take the command now.
    pub fn set_targets(&self, targets: Vec<Target>) -> bool {
        self.commands.try_send(Command::Targets(targets)).is_ok()
    }

    /// Calls a peer and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer within `timeout`; only [`Error::Busy`], [`Error::UnknownPeer`] and
    /// [`Error::Unreachable`] mean that the call certainly was not received.
    pub fn call(&self, peer: &Name, call: Call, timeout: Duration) -> Result<Answer> {
        let (sender, receiver) = flume::bounded(1);
        let reply = Reply::Caller(sender);
        self.send(peer, 0, call, timeout, reply)?;
        // The thread answers by the deadline; the margin covers its own delay.
        let margin = Duration::from_millis(CALL_TIMEOUT_MS);
        receiver
            .recv_timeout(timeout + margin)
            .unwrap_or(Err(Error::Timeout))
    }

    /// Asks the owner of a key range for a claim.
    ///
    /// # Errors
    ///
    /// As [`Peers::call`].
    pub fn claim(&self, peer: &Name, request: ClaimRequest) -> Result<ClaimVerdict> {
        let timeout = Duration::from_millis(request.wait_ms);
        match self.call(peer, Call::Claim(request), timeout)? {
            Answer::Claim(verdict) => Ok(verdict),
            _ => Err(Error::Broken),
        }
    }

    /// Asks a peer for a settings state newer than `have_version`.
    ///
    /// # Errors
    ///
    /// As [`Peers::call`].
    pub fn settings(&self, peer: &Name, have_version: u64) -> Result<Option<SettingsState>> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match self.call(peer, Call::Settings(have_version), timeout)? {
            Answer::Settings(state) => Ok(state),
            _ => Err(Error::Broken),
        }
    }

    /// Asks a peer for the trace of a request; the answer is lines of JSON.
    ///
    /// # Errors
    ///
    /// As [`Peers::call`].
    pub fn explain(&self, peer: &Name, request_id: &str) -> Result<Vec<String>> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match self.call(peer, Call::Explain(request_id.to_owned()), timeout)? {
            Answer::Explain(lines) => Ok(lines),
            _ => Err(Error::Broken),
        }
    }

    /// Sends a heartbeat whose answer goes to the members thread.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Busy`] if too many calls wait.
    pub(crate) fn exchange(&self, peer: &Name, digest: Digest) -> Result<()> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let call = Call::Exchange(digest);
        self.send(peer, 0, call, timeout, Reply::Members)
    }

    /// Sends a call whose answer goes to the scheduler thread.
    ///
    /// The call is valid for one process only: a restarted peer has no record of the requests of its predecessor, and a
    /// late end of a request would free a slot that it has just adopted.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Busy`] if too many calls wait.
    pub(crate) fn schedule(
        &self,
        peer: &Name,
        incarnation: u64,
        call: Call,
        timeout: Duration,
        tag: ReplyTag,
    ) -> Result<()> {
        self.send(peer, incarnation, call, timeout, Reply::Scheduling(tag))
    }

    /// Sends a call and ignores its answer.
    pub fn post(&self, peer: &Name, call: Call) {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        if let Err(error) = self.send(peer, 0, call, timeout, Reply::Nobody) {
            log::warn!("a call to {peer} was dropped: {error}");
        }
    }

    /// Orders the VM that holds a request to give its slot back.
    pub(crate) fn preempt(&self, shard: &Shard, ticket: TicketId) {
        let shard = shard.clone();
        let command = Command::Preempt { shard, ticket };
        if self.commands.try_send(command).is_err() {
            count_failure(&Error::Busy);
        }
    }

    fn send(
        &self,
        peer: &Name,
        incarnation: u64,
        call: Call,
        timeout: Duration,
        reply: Reply,
    ) -> Result<()> {
        let request = Request {
            call,
            incarnation,
            deadline: Instant::now() + timeout,
            reply,
        };
        let peer = peer.clone();
        let command = Command::Call { peer, request };
        self.commands.try_send(command).map_err(|_| {
            count_failure(&Error::Busy);
            Error::Busy
        })
    }
}

/// Returns a call that asks for a slot.
pub(crate) fn enqueue_call(
    shard: &Shard,
    slot_request: &SlotRequest,
    now_ms: u64,
    skipped: Vec<Name>,
) -> Call {
    Call::Enqueue {
        shard: shard.clone(),
        slot_request: Box::new(RemoteSlotRequest::from_slot_request(slot_request, now_ms)),
        skipped,
    }
}

/// Starts the peer thread on a bound listener.
///
/// # Errors
///
/// Fails if the listener cannot be made non-blocking or the thread cannot be started.
pub fn start(
    shared: Arc<Shared>,
    inbox: Inbox,
    listener: std::net::TcpListener,
) -> std::io::Result<()> {
    let listener = async_io::Async::new(listener)?;
    thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || client::run(shared, inbox, listener))?;
    Ok(())
}

fn count_failure(error: &Error) {
    metrics::counter!(metric::PEER_FAILURES, "reason" => error.label()).increment(1);
}
