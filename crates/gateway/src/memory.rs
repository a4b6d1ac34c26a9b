//! Counts the memory that connections, requests and bodies hold.

use std::cell::RefCell;
use std::rc::Rc;

use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::memory_budget::MemoryBudget;

use crate::clock::Clock;

/// Memory of an open connection of a caller: its buffers for reading and writing, and its task.
pub(crate) const CALLER_CONNECTION_BYTES: u64 = 26_000;

/// Most memory of a caller's connection: one on which a body is arriving has several buffers.
pub(crate) const RECEIVING_CONNECTION_BYTES: u64 = 50_000;

/// Memory of an open connection to an endpoint: its buffers, its queue of requests and its task.
pub(crate) const ENDPOINT_CONNECTION_BYTES: u64 = 22_000;

/// Memory of a request in progress beside its body and its connections: its tasks, its headers and chunks of its answer.
pub(crate) const REQUEST_BYTES: u64 = 18_000;

/// The memory budget of a process.
pub(crate) struct Memory {
    clock: Clock,
    budget: RefCell<MemoryBudget>,
}

impl Memory {
    pub(crate) fn new(clock: Clock, memory_bytes: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            budget: RefCell::new(MemoryBudget::new(memory_bytes)),
        })
    }

    /// Returns the most that may be held, in bytes.
    pub(crate) fn limit_bytes(&self) -> u64 {
        self.budget.borrow().limit_bytes()
    }

    /// Returns what is held, in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.budget.borrow().held_bytes()
    }

    /// Counts memory that is in use already.
    pub(crate) fn hold(self: &Rc<Self>, bytes: u64) -> MemoryHold {
        self.budget.borrow_mut().hold(bytes);
        MemoryHold {
            memory: Rc::clone(self),
            bytes,
        }
    }

    /// Returns when a request that was refused for `bytes` should come back, as a delay in milliseconds.
    pub(crate) fn retry_delay_ms(&self, level: UrgencyLevel, bytes: u64) -> u64 {
        let now_ms = self.clock.now_ms();
        self.budget
            .borrow_mut()
            .retry_delay_ms(level, bytes, now_ms)
    }
}

/// Memory that is counted until this is dropped.
pub(crate) struct MemoryHold {
    memory: Rc<Memory>,
    bytes: u64,
}

impl MemoryHold {
    /// Counts `bytes` more and returns true if the limit of the level allows it.
    pub(crate) fn try_grow(&mut self, level: UrgencyLevel, bytes: u64) -> bool {
        let is_allowed = self.memory.budget.borrow_mut().try_hold(level, bytes);
        if is_allowed {
            self.bytes += bytes;
        }
        is_allowed
    }

    /// Counts `bytes` more that are in use already.
    pub(crate) fn grow(&mut self, bytes: u64) {
        self.memory.budget.borrow_mut().hold(bytes);
        self.bytes += bytes;
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.budget.borrow_mut().release(self.bytes, now_ms);
    }
}
