//! Decisions that the processes make together.

pub mod claim_owner;
pub mod rendezvous;
pub mod scheduler;
