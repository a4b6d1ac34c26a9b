//! Messages of the platform's services and of endpoints.

use serde::Deserialize;
use serde::Serialize;

/// HTTP status by which an endpoint rejects an order or call with a stale fencing token; it ran nothing.
pub const STALE_FENCE_STATUS: u16 = 412;

/// Records to append in one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Records in base64.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first_offset: u64,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Records in offset order.
    pub records: Vec<Record>,
    /// Oldest offset that is kept.
    pub first_offset: u64,
    /// Offset that the next record of the stream will get.
    pub next_offset: u64,
    /// Time for which records are kept, in milliseconds.
    pub retention_ms: u64,
}

/// Answer to a read whose first record is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    /// Oldest offset that is kept.
    pub first_offset: u64,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// Content in base64.
    pub data: String,
}

/// Answer of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs that the platform knows.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// What runs on it.
    pub role: VmRole,
    /// Address for callers of an entry VM, or of the endpoint.
    pub address: String,
    /// Address for other entry VMs; empty for endpoints.
    #[serde(default)]
    pub peer_address: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it stays.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The router.
    Entry,
    /// A model engine or a service.
    Endpoint,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It stays.
    Live,
    /// It will be gone soon.
    Leaving,
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Identity of the endpoint process, drawn at its start.
    pub started_id: u64,
    /// Age of the figures in milliseconds.
    pub report_age_ms: u64,
    /// Highest fencing token seen; 0 where the endpoint does not check it.
    pub fence: u64,
}

/// Answer of an endpoint's health call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Identity of the endpoint process, drawn at its start.
    pub started_id: u64,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// What the fencing token protects, for example `claims-3` or `orders`.
    pub scope: String,
}

/// What an order does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// Model.
        model: String,
        /// Adapter.
        adapter: String,
        /// Version.
        version: String,
    },
    /// Change the role of the endpoint.
    SetRole {
        /// Role.
        role: String,
    },
    /// Only raise the fencing token of the scope.
    RaiseFence,
}
