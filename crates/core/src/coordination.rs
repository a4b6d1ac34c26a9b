//! Decisions that the processes make together.

pub mod membership;
pub mod rendezvous;
pub mod scheduler;
