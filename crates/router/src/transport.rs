//! Transport layer: connections to callers, endpoints and the platform.

pub mod attempt;
pub mod front;
pub mod log_client;
