//! Shared state: settings, jobs and claims, which are replayed from log streams, and evidence of crashes.

pub mod claims;
pub mod evidence;
pub mod jobs;
pub mod settings;
