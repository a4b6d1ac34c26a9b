//! Stand-ins for the platform, model engines and plain services, with settable faults.
//!
//! They follow the published formats that `docs/design.md` lists and exist for tests, measurements and the demo. Each
//! has a control address beside its own; `PUT /faults` is accepted on both, so that it works while the stand-in refuses
//! connections.

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
