//! Messages between the entry VMs, and their conversion to and from the generated Cap'n Proto types.

use thiserror::Error;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::SlotRequest;

use crate::peer_capnp;

mod claims;

/// Version of the protocol between entry VMs.
pub const PROTOCOL_VERSION: u16 = 1;

/// Length of a content hash, in bytes.
const HASH_BYTES: usize = 32;

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Error while decoding a message.
#[derive(Debug, Error)]
pub enum Error {
    /// The encoding is corrupt or a text is not UTF-8.
    #[error("the message cannot be decoded: {0}")]
    Encoding(#[from] capnp::Error),
    /// A union or enumeration has a value that is not in this version of the schema.
    #[error("the message has a value that is not in this version of the schema: {0}")]
    Unknown(#[from] capnp::NotInSchema),
    /// A text is not UTF-8.
    #[error("the message has a text that is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A field has an invalid value.
    #[error("field {field}: expected {expected}")]
    Field {
        /// Name of the field in the schema.
        field: &'static str,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// One pool in one scheduling domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// Pool.
    pub pool: Name,
    /// Data centre; `None` means the whole deployment.
    pub data_centre: Option<Name>,
}

/// First message of both sides of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u16,
    /// Identity of the process.
    pub incarnation: u64,
    /// Name of the VM.
    pub name: Name,
}

/// State of a VM, exchanged as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Name of the VM.
    pub name: Name,
    /// Identity of the process.
    pub incarnation: u64,
    /// Whether the VM is draining before a planned stop.
    pub is_draining: bool,
    /// Version of the settings in force.
    pub settings_version: u64,
    /// Requests in progress.
    pub load: u32,
    /// Endpoints that the sender's VM list marks as leaving.
    pub leaving: Vec<Name>,
}

/// Slot request for the VM that schedules the shard; `deadline_at_ms` of `request` holds the remaining time.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteSlotRequest {
    request: SlotRequest,
}

/// Response to an enqueue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A slot is granted; the request may be sent to the endpoint.
    Grant {
        /// Name of the endpoint.
        endpoint: Name,
        /// IP address and port.
        address: String,
    },
    /// The request is refused and was not executed under this enqueue.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The receiver does not schedule the shard; another member does.
    NotOwner,
}

/// Progress report of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Shard whose scheduler granted the slot.
    pub shard: Shard,
    /// The request.
    pub ticket: TicketId,
    /// Reported event.
    pub event: ReportEvent,
}

/// Event of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEvent {
    /// The first token arrived.
    FirstToken {
        /// Time since the call was sent, in milliseconds.
        elapsed_ms: u64,
    },
    /// More tokens arrived.
    Progress {
        /// Number of tokens received so far in this attempt.
        tokens: u32,
        /// Mean time between tokens since the last report, in microseconds.
        gap_us: u64,
    },
    /// The attempt ended.
    Finish {
        /// How it ended.
        end: AttemptEnd,
        /// Number of tokens received in this attempt.
        tokens: u32,
    },
}

/// Report of a request content that was running on an endpoint when the endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// BLAKE3 hash of organisation, pool and canonical body.
    pub content_hash: [u8; HASH_BYTES],
    /// The crashed endpoint.
    pub endpoint: Name,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// Settings state of a VM, opaque to the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsState {
    /// Version of the state.
    pub version: u64,
    /// The serialized state.
    pub bytes: Vec<u8>,
}

impl RemoteSlotRequest {
    /// Creates the message from a request with an absolute deadline on the sender's clock, which reads `now_ms`.
    pub fn from_slot_request(request: &SlotRequest, now_ms: u64) -> Self {
        let mut request = request.clone();
        request.deadline_at_ms = request.deadline_at_ms.saturating_sub(now_ms);
        Self { request }
    }

    /// Returns the request with an absolute deadline on the receiver's clock, which reads `now_ms`.
    pub fn to_slot_request(&self, now_ms: u64) -> SlotRequest {
        let mut request = self.request.clone();
        request.deadline_at_ms = request.deadline_at_ms.saturating_add(now_ms);
        request
    }

    /// Time remaining until the deadline, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.request.deadline_at_ms
    }

    /// Identity of the request.
    pub fn ticket(&self) -> TicketId {
        self.request.ticket
    }

    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::ask::Builder<'_>) {
        let request = &self.request;
        write_ticket(request.ticket, builder.reborrow().init_ticket());
        builder.set_class(request.class.as_str());
        builder.set_organisation(request.organisation.as_str());
        builder.set_weight(request.weight);
        builder.set_tier(request.tier);
        builder.set_left_ms(request.deadline_at_ms);
        builder.set_target_ms(request.target_ms);
        builder.set_ageing_ms(request.ageing_ms);
        builder.set_idempotent(request.idempotent);
        builder.set_preemptible(request.preemptible);
        builder.set_expected_tokens(request.expected_tokens);
        builder.set_generated_tokens(request.generated_tokens);
        builder.set_class_in_flight_max(request.class_in_flight_max);
        builder.set_organisation_in_flight_max(request.organisation_in_flight_max);
        builder.set_prefix_hash(request.prefix_hash);
        builder.set_content_hash(&request.content_hash);
        builder.set_data_centre(request.data_centre.as_str());
        let excluded = builder.init_excluded(request.excluded.len() as u32);
        write_names(&request.excluded, excluded);
    }
}

impl TryFrom<peer_capnp::ask::Reader<'_>> for RemoteSlotRequest {
    type Error = Error;

    fn try_from(reader: peer_capnp::ask::Reader<'_>) -> Result<Self> {
        let request = SlotRequest {
            ticket: read_ticket(reader.get_ticket()?),
            class: read_name(reader.get_class()?)?,
            organisation: read_name(reader.get_organisation()?)?,
            weight: reader.get_weight(),
            tier: reader.get_tier(),
            deadline_at_ms: reader.get_left_ms(),
            target_ms: reader.get_target_ms(),
            ageing_ms: reader.get_ageing_ms(),
            idempotent: reader.get_idempotent(),
            preemptible: reader.get_preemptible(),
            expected_tokens: reader.get_expected_tokens(),
            generated_tokens: reader.get_generated_tokens(),
            class_in_flight_max: reader.get_class_in_flight_max(),
            organisation_in_flight_max: reader.get_organisation_in_flight_max(),
            prefix_hash: reader.get_prefix_hash(),
            content_hash: read_hash("contentHash", reader.get_content_hash()?)?,
            data_centre: read_name(reader.get_data_centre()?)?,
            excluded: read_names(reader.get_excluded()?)?,
        };
        Ok(Self { request })
    }
}

impl Shard {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::shard::Builder<'_>) {
        builder.set_pool(self.pool.as_str());
        builder.set_data_centre(self.data_centre.as_ref().map_or("", Name::as_str));
    }
}

impl TryFrom<peer_capnp::shard::Reader<'_>> for Shard {
    type Error = Error;

    fn try_from(reader: peer_capnp::shard::Reader<'_>) -> Result<Self> {
        let data_centre = read_name(reader.get_data_centre()?)?;
        Ok(Self {
            pool: read_name(reader.get_pool()?)?,
            data_centre: (!data_centre.as_str().is_empty()).then_some(data_centre),
        })
    }
}

impl Digest {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::digest::Builder<'_>) {
        builder.set_name(self.name.as_str());
        builder.set_incarnation(self.incarnation);
        builder.set_is_draining(self.is_draining);
        builder.set_settings_version(self.settings_version);
        builder.set_load(self.load);
        let leaving = builder.init_leaving(self.leaving.len() as u32);
        write_names(&self.leaving, leaving);
    }
}

impl TryFrom<peer_capnp::digest::Reader<'_>> for Digest {
    type Error = Error;

    fn try_from(reader: peer_capnp::digest::Reader<'_>) -> Result<Self> {
        Ok(Self {
            name: read_name(reader.get_name()?)?,
            incarnation: reader.get_incarnation(),
            is_draining: reader.get_is_draining(),
            settings_version: reader.get_settings_version(),
            load: reader.get_load(),
            leaving: read_names(reader.get_leaving()?)?,
        })
    }
}

impl Verdict {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::verdict::Builder<'_>) {
        match self {
            Self::Grant { endpoint, address } => {
                let mut grant = builder.init_grant();
                grant.set_endpoint(endpoint.as_str());
                grant.set_address(address);
            }
            Self::Refuse {
                reason,
                retry_after_ms,
            } => {
                let mut refuse = builder.init_refuse();
                refuse.set_reason(reason.as_str());
                refuse.set_retry_after_ms(*retry_after_ms);
            }
            Self::NotOwner => builder.set_not_owner(()),
        }
    }
}

impl TryFrom<peer_capnp::verdict::Reader<'_>> for Verdict {
    type Error = Error;

    fn try_from(reader: peer_capnp::verdict::Reader<'_>) -> Result<Self> {
        use peer_capnp::verdict::Which;
        match reader.which()? {
            Which::Grant(grant) => Ok(Self::Grant {
                endpoint: read_name(grant.get_endpoint()?)?,
                address: grant.get_address()?.to_str()?.to_owned(),
            }),
            Which::Refuse(refuse) => Ok(Self::Refuse {
                reason: read_reason(refuse.get_reason()?)?,
                retry_after_ms: refuse.get_retry_after_ms(),
            }),
            Which::NotOwner(()) => Ok(Self::NotOwner),
        }
    }
}

impl Report {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::report::Builder<'_>) {
        self.shard.write(builder.reborrow().init_shard());
        write_ticket(self.ticket, builder.reborrow().init_ticket());
        match self.event {
            ReportEvent::FirstToken { elapsed_ms } => {
                builder.init_first_token().set_elapsed_ms(elapsed_ms);
            }
            ReportEvent::Progress { tokens, gap_us } => {
                let mut progress = builder.init_progress();
                progress.set_tokens(tokens);
                progress.set_gap_us(gap_us);
            }
            ReportEvent::Finish { end, tokens } => {
                let mut finish = builder.init_finish();
                finish.set_end(end_to_wire(end));
                finish.set_finish_tokens(tokens);
            }
        }
    }
}

impl TryFrom<peer_capnp::report::Reader<'_>> for Report {
    type Error = Error;

    fn try_from(reader: peer_capnp::report::Reader<'_>) -> Result<Self> {
        use peer_capnp::report::Which;
        let event = match reader.which()? {
            Which::FirstToken(first) => ReportEvent::FirstToken {
                elapsed_ms: first.get_elapsed_ms(),
            },
            Which::Progress(progress) => ReportEvent::Progress {
                tokens: progress.get_tokens(),
                gap_us: progress.get_gap_us(),
            },
            Which::Finish(finish) => ReportEvent::Finish {
                end: end_from_wire(finish.get_end()?),
                tokens: finish.get_finish_tokens(),
            },
        };
        Ok(Self {
            shard: Shard::try_from(reader.get_shard()?)?,
            ticket: read_ticket(reader.get_ticket()?),
            event,
        })
    }
}

impl Evidence {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::evidence::Builder<'_>) {
        builder.set_content_hash(&self.content_hash);
        builder.set_endpoint(self.endpoint.as_str());
        builder.set_age_ms(self.age_ms);
    }
}

impl TryFrom<peer_capnp::evidence::Reader<'_>> for Evidence {
    type Error = Error;

    fn try_from(reader: peer_capnp::evidence::Reader<'_>) -> Result<Self> {
        Ok(Self {
            content_hash: read_hash("contentHash", reader.get_content_hash()?)?,
            endpoint: read_name(reader.get_endpoint()?)?,
            age_ms: reader.get_age_ms(),
        })
    }
}

/// Writes the identity of a request.
pub fn write_ticket(ticket: TicketId, mut builder: peer_capnp::ticket::Builder<'_>) {
    builder.set_incarnation(ticket.incarnation);
    builder.set_sequence(ticket.sequence);
}

/// Reads the identity of a request.
pub fn read_ticket(reader: peer_capnp::ticket::Reader<'_>) -> TicketId {
    TicketId {
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
    }
}

/// Writes names into a list of the same length.
pub fn write_names(names: &[Name], mut builder: capnp::text_list::Builder<'_>) {
    for (index, name) in names.iter().enumerate() {
        builder.set(index as u32, name.as_str());
    }
}

/// Reads a list of names.
///
/// # Errors
///
/// Fails if the list is corrupt or a name is not UTF-8.
pub fn read_names(reader: capnp::text_list::Reader<'_>) -> Result<Vec<Name>> {
    let mut names = Vec::new();
    for text in reader {
        names.push(read_name(text?)?);
    }
    Ok(names)
}

/// Reads a name.
///
/// # Errors
///
/// Fails if the text is not UTF-8.
pub fn read_name(text: capnp::text::Reader<'_>) -> Result<Name> {
    Ok(Name::from(text.to_str()?))
}

fn read_reason(text: capnp::text::Reader<'_>) -> Result<Reason> {
    let text = text.to_str()?;
    let known = Reason::ALL.iter().find(|reason| reason.as_str() == text);
    known.copied().ok_or(Error::Field {
        field: "reason",
        expected: "a reason of a refusal",
    })
}

fn read_hash(field: &'static str, bytes: &[u8]) -> Result<[u8; HASH_BYTES]> {
    bytes.try_into().map_err(|_| Error::Field {
        field,
        expected: "32 bytes",
    })
}

fn end_to_wire(end: AttemptEnd) -> peer_capnp::End {
    match end {
        AttemptEnd::Done => peer_capnp::End::Done,
        AttemptEnd::NotSent => peer_capnp::End::NotSent,
        AttemptEnd::Failed => peer_capnp::End::Failed,
        AttemptEnd::Lost => peer_capnp::End::Lost,
        AttemptEnd::Cancelled => peer_capnp::End::Cancelled,
        AttemptEnd::Preempted => peer_capnp::End::Preempted,
    }
}

fn end_from_wire(end: peer_capnp::End) -> AttemptEnd {
    match end {
        peer_capnp::End::Done => AttemptEnd::Done,
        peer_capnp::End::NotSent => AttemptEnd::NotSent,
        peer_capnp::End::Failed => AttemptEnd::Failed,
        peer_capnp::End::Lost => AttemptEnd::Lost,
        peer_capnp::End::Cancelled => AttemptEnd::Cancelled,
        peer_capnp::End::Preempted => AttemptEnd::Preempted,
    }
}
