//! Decisions that the processes make together.

pub mod rendezvous;
pub mod scheduler;
