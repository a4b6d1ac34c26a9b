//! Messages of the platform's services and of endpoints.

use serde::Deserialize;
use serde::Serialize;

/// HTTP status of an endpoint that rejects an order or call with a stale fencing token without executing it.
pub const STALE_FENCE_STATUS: u16 = 412;

/// Records to append in one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Records in base64.
    pub records: Vec<String>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first_offset: u64,
}

/// Response to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Records in offset order.
    pub records: Vec<Record>,
    /// Oldest offset that is retained.
    pub first_offset: u64,
    /// Offset of the next record to be appended.
    pub next_offset: u64,
    /// Retention time of records, in milliseconds.
    pub retention_ms: u64,
}

/// Response to a read from an offset that is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    /// Oldest offset that is retained.
    pub first_offset: u64,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Append time by the log service's clock, in milliseconds since the epoch.
    pub time_ms: u64,
    /// Content in base64.
    pub data: String,
}

/// Response of the VM list service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs registered with the platform.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Address for callers of an entry VM, or of the endpoint.
    pub address: String,
    /// Address for other entry VMs; empty for endpoints.
    #[serde(default)]
    pub peer_address: String,
    /// Data centre.
    pub data_centre: String,
    /// Lifecycle state.
    pub state: VmState,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs the router.
    Entry,
    /// Runs a model engine or a service.
    Endpoint,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// No removal is planned.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Random identity of the endpoint process, chosen at its start.
    pub started_id: u64,
    /// Age of the report, in milliseconds.
    pub report_age_ms: u64,
    /// Highest fencing token seen; 0 if the endpoint does not check fencing tokens.
    pub fence: u64,
}

/// Response of an endpoint's health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Random identity of the endpoint process, chosen at its start.
    pub started_id: u64,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Kind of the order.
    #[serde(flatten)]
    pub kind: OrderKind,
    /// Fencing token of the sender's lease.
    pub fence: u64,
    /// Scope of the fencing token, for example `claims-3` or `orders`.
    pub scope: String,
}

/// Kind of an order.
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
    /// Raise the fencing token of the scope and do nothing else.
    RaiseFence,
}
