//! Carries the tasks of a process in two queues on one thread.

use std::convert::Infallible;
use std::future::poll_fn;
use std::mem;
use std::task::Poll;

use async_executor::LocalExecutor;
use futures::future::Either;
use futures::future::select;
use futures::pin_mut;

/// Turns of request tasks after which the sockets are checked again, so that a task of the control queue whose socket has
/// become ready waits for no more of them.
const REQUEST_TURNS: usize = 128;

/// Turns of control tasks in a row after which a request task gets a turn.
const CONTROL_TURNS: usize = 64;

/// The tasks of a process.
///
/// What a VM has to know to serve requests arrives in the control queue: the configuration, the endpoints, what other VMs
/// tell. Its tasks are few, take little time and go before those of requests, of which there may be any number.
#[derive(Debug, Default)]
pub struct Executor {
    control: LocalExecutor<'static>,
    requests: LocalExecutor<'static>,
}

impl Executor {
    /// Creates an executor without tasks, which lives as long as the process.
    pub fn leak() -> &'static Self {
        Box::leak(Box::default())
    }

    /// Returns the queue of what the VM has to know and to tell: calls to the log service, messages between VMs, readiness.
    pub fn control(&self) -> &LocalExecutor<'static> {
        &self.control
    }

    /// Returns the queue of callers' requests.
    pub fn requests(&self) -> &LocalExecutor<'static> {
        &self.requests
    }

    /// Carries the tasks until `main` is complete.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let tasks = self.run_tasks();
        pin_mut!(main, tasks);
        match select(main, tasks).await {
            Either::Left((output, _)) => output,
            Either::Right((never, _)) => match never {},
        }
    }

    async fn run_tasks(&self) -> Infallible {
        loop {
            if self.run_turns() {
                // Lets the sockets be checked.
                yield_now().await;
                continue;
            }
            let control = self.control.tick();
            let requests = self.requests.tick();
            pin_mut!(control, requests);
            select(control, requests).await;
        }
    }

    /// Gives turns to the tasks that are ready; returns whether some may be left.
    fn run_turns(&self) -> bool {
        for _ in 0..REQUEST_TURNS {
            let has_control_left = self.run_control_turns();
            if !self.requests.try_tick() && !has_control_left {
                return false;
            }
        }
        true
    }

    fn run_control_turns(&self) -> bool {
        for _ in 0..CONTROL_TURNS {
            if !self.control.try_tick() {
                return false;
            }
        }
        true
    }
}

/// Lets the caller of the executor run once.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
