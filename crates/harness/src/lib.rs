//! Test harness that runs the daemon, the stand-ins and fault proxies as real processes on loopback.

pub mod caller;
pub mod condition;
pub mod daemon;
pub mod deployment;
pub mod publish;
pub mod raw;
pub mod scenario;

mod binary;
mod control;
mod members;
mod process;
mod run;
mod standin;

pub use process::Process;
pub use run::Run;
pub use standin::Standin;
