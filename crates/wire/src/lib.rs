//! Wire formats of waxwingrouter: HTTP bodies, platform messages, log records and peer messages.

pub mod advert;
pub mod caller;
pub mod chat;
pub mod claim;
pub mod claim_record;
pub mod job_record;
pub mod peer;
pub mod platform;
pub mod settings_api;
pub mod settings_record;
pub mod view;

/// Code generated from `peer.capnp`.
#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::ptr_as_ptr, clippy::needless_bitwise_bool)]
pub mod peer_capnp;
