//! Identifiers of requests.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a request by the process that accepted it and its sequence number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// Random number that the process chose at startup.
    pub incarnation: u64,
    /// Number of the request within that process, increasing.
    pub sequence: u64,
}
