//! Transport layer: connections to callers, endpoints and the platform.

pub mod attempt;
pub mod http_server;
pub mod log_client;
