//! Shared state: the settings tree and what is replayed from log streams.

pub mod claims;
pub mod evidence;
pub mod jobs;
pub mod settings;
