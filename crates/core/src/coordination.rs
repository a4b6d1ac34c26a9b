//! Coordination between VMs: membership, claim ownership, scheduling, retries and hedging.

pub mod claim_owner;
pub mod hedge;
pub mod membership;
pub mod rendezvous;
pub mod retry;
pub mod scheduler;
