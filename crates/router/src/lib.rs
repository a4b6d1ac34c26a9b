//! The waxwingrouter daemon: the threads of an entry VM and what they share.

pub mod budget;
pub mod claims;
pub mod config;
pub mod daemon;
pub mod demo;
pub mod evidence;
pub mod explain;
pub mod jobs;
pub mod members;
pub mod metric;
pub mod operator;
pub mod peer;
pub mod prober;
pub mod request;
pub mod scheduling;
pub mod settings_sync;
pub mod shared;
pub mod transport;
