//! Identity of one request within the system.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a request: the process that took it and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// Random identity that the process drew at its start.
    pub incarnation: u64,
    /// Number of the request within that process, rising.
    pub sequence: u64,
}
