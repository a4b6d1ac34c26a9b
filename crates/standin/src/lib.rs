//! Stand-ins for the platform, model engines and plain services, with settable faults.
//!
//! They follow the published formats that `docs/design.md` lists and exist for tests, measurements and the demo.

pub mod engine;
pub mod log;

mod http;
