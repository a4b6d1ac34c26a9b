//! Wire types of waxwingrouter: HTTP bodies, platform messages, log records and peer messages.

pub mod caller;
pub mod chat;
pub mod claim;
pub mod claim_record;
pub mod platform;
