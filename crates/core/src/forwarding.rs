//! Request forwarding: routing, endpoint selection, admission, retries and the classification of outcomes.
//!
//! This module does no I/O. The processes hold one value of each type and pass it the current time.

pub mod admission;
pub mod configuration;
pub mod crashing_parts;
pub mod endpoints;
pub mod event_stream;
pub mod lanes;
pub mod memory_budget;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod planned_stop;
pub mod prompt;
pub mod repeat_budget;
pub mod run;
pub mod software_history;
pub mod stream_origins;

pub use configuration::Configuration;
pub use endpoints::EndpointKey;
pub use endpoints::Endpoints;
pub use run::Execution;
