//! Transport layer: connections to callers, endpoints and the platform.

pub mod endpoint_call;
pub mod http_server;
pub mod log_client;
