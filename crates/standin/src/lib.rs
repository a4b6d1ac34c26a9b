//! Stand-ins for the platform, model engines and plain services, with fault injection.
//!
//! They follow the published formats that `docs/design.md` lists and exist for tests, measurements and the demo. Each
//! also listens on a control address. `PUT /faults` works on both, so that faults can be changed while the stand-in
//! refuses connections.

pub mod engine;
pub mod fault;
pub mod log;
pub mod proxy;
pub mod service;
pub mod vm_list;
pub mod weight_store;

mod fence;
mod http;
mod load;
mod prefix_cache;

pub use fence::OrderAnswer;
pub use http::ListenAddresses;
