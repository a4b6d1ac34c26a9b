//! Decisions that the processes make together.

pub mod claim_owner;
pub mod hedge;
pub mod membership;
pub mod rendezvous;
pub mod retry;
pub mod scheduler;
