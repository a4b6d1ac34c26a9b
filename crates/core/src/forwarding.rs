//! Forwarding of HTTP requests by route: what may be sent where, how often, and what the end of a run means.
//!
//! Everything here is pure. The processes hold one value of each type and pass it the clock.

pub mod admission;
pub mod configuration;
pub mod endpoints;
pub mod event_stream;
pub mod lanes;
pub mod peers;
pub mod placement;
pub mod prompt;
pub mod repeat_budget;
pub mod run;

pub use configuration::Configuration;
pub use endpoints::EndpointKey;
pub use endpoints::Endpoints;
pub use run::Execution;
