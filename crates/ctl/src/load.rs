//! Open-loop load: requests are sent at their planned times, whether or not earlier ones were answered.

mod arrivals;
mod call;
mod entry;
mod plan;
mod plot;
mod report;
mod table;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub use call::Outcome;
pub use plan::Kind;
pub use plan::Phase;
pub use plan::Plan;
pub use plan::Stream;
pub use plot::write_svg;
pub use report::ClassReport;
pub use report::Percentiles;
pub use report::Report;
pub use table::format_table;

use crate::load::arrivals::Arrival;
use crate::load::call::Caller;
use crate::load::entry::Entries;

/// Result of the load command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a load run cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan cannot be read.
    #[error("{file}: the plan cannot be read: {source}")]
    Read {
        /// Path of the plan.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The plan is invalid.
    #[error("{file}: {message}")]
    Plan {
        /// Path of the plan.
        file: String,
        /// Findings with their places.
        message: String,
    },
    /// No entry address answers.
    #[error("none of the entry addresses {addresses} answers /v1/entries")]
    NoEntry {
        /// Addresses that were tried.
        addresses: String,
    },
    /// A plot cannot be written.
    #[error("{file}: the plot cannot be written: {message}")]
    Plot {
        /// Path of the plot.
        file: String,
        /// Cause.
        message: String,
    },
}

/// Most calls in flight. Each has a thread of its own, and an unanswered call holds it until its deadline.
const IN_FLIGHT_MAX: usize = 4_000;

/// Stack of a calling thread, in bytes. The default of 2 MiB would reserve 8 GiB for all of them.
const CALL_STACK_BYTES: usize = 256 * 1_024;

/// Sends the load of `plan` to the entry addresses and returns what callers saw.
///
/// # Errors
///
/// Fails if no entry address answers a discovery call.
pub fn run(plan: &Plan, addresses: &[String]) -> Result<Report> {
    Ok(send(plan, Entries::discover(addresses, plan.seed)?))
}

/// Sends the load of `plan` to the addresses themselves, for example to an engine without the router.
pub fn run_direct(plan: &Plan, addresses: &[String]) -> Report {
    send(plan, Entries::fixed(addresses, plan.seed))
}

fn send(plan: &Plan, entries: Entries) -> Report {
    let entries = Arc::new(entries);
    let arrivals = arrivals::generate_arrivals(plan);
    let (outcomes, collected) = flume::bounded(IN_FLIGHT_MAX);
    let started = Instant::now();
    let mut report = Report::new(plan);
    let mut in_flight = 0_usize;
    let plan = Arc::new(plan.clone());
    for arrival in arrivals {
        let due = started + Duration::from_micros(arrival.at_us);
        while let Some(wait) = due.checked_duration_since(Instant::now()) {
            match collected.recv_timeout(wait) {
                Ok(outcome) => {
                    in_flight -= 1;
                    report.add(&outcome);
                }
                Err(_) => break,
            }
        }
        if in_flight >= IN_FLIGHT_MAX {
            report.add_unsent(&arrival);
            continue;
        }
        let caller = Caller {
            plan: Arc::clone(&plan),
            entries: Arc::clone(&entries),
            arrival,
            due,
        };
        let outcomes = outcomes.clone();
        let worker = thread::Builder::new().stack_size(CALL_STACK_BYTES);
        let spawned = worker.spawn(move || {
            // The collector outlives every call, so the send cannot fail.
            let _ = outcomes.send(caller.call());
        });
        match spawned {
            Ok(_) => in_flight += 1,
            Err(_) => report.add_unsent(&arrival),
        }
    }
    while in_flight > 0 {
        if let Ok(outcome) = collected.recv() {
            report.add(&outcome);
        }
        in_flight -= 1;
    }
    report.finish(started.elapsed());
    report
}

impl Arrival {
    /// Returns the stream of the plan that the arrival belongs to.
    fn stream_of<'a>(&self, plan: &'a Plan) -> &'a Stream {
        &plan.streams[self.stream]
    }
}
