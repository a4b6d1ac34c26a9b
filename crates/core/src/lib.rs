//! State and decision logic of waxwingrouter, free of I/O.
//!
//! Every decision is a function of `(state, input, now)` that returns effects. Callers supply the current time and the
//! random source, so each decision can be tested and model checked without threads or sockets.

pub mod coordination;
pub mod document;
pub mod error;
pub mod finding;
pub mod fleet;
pub mod forwarding;
pub mod hash;
pub mod state;
pub mod status;

mod name;
mod reason;
mod ticket;

pub use error::Error;
pub use error::Result;
pub use name::Name;
pub use reason::ExecutionStatus;
pub use reason::Reason;
pub use reason::Refusal;
pub use ticket::TicketId;
