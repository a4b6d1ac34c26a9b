//! Wire types of waxwingrouter: HTTP bodies, platform messages, log records and peer messages.

pub mod caller;
pub mod chat;
pub mod claim;
pub mod platform;
pub mod settings_api;
pub mod settings_record;
