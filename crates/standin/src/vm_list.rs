//! Stand-in for the platform's list of VMs, which may be stale.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde::Deserialize;
use serde::Serialize;
use waxwing_wire::platform::VmList;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::http;
use crate::http::Call;
use crate::http::ListenAddresses;

/// Maximum number of past lists; of the lists older than the lag, only the newest is read.
const HISTORY_MAX: usize = 1_000;

/// Faults of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that all HTTP stand-ins support.
    pub common: CommonFaults,
    /// Staleness of the list, in milliseconds.
    pub lag_ms: u64,
}

impl AsRef<CommonFaults> for Faults {
    fn as_ref(&self) -> &CommonFaults {
        &self.common
    }
}

struct ListHistory {
    faults: Arc<FaultCell<Faults>>,
    history: Mutex<VecDeque<(Instant, VmList)>>,
}

/// Starts the VM list on `address`; `PUT /vms` sets it and `GET /vms` reads it.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str) -> std::io::Result<ListenAddresses> {
    let faults = Arc::new(FaultCell::new());
    let list_history = ListHistory {
        faults: Arc::clone(&faults),
        history: Mutex::default(),
    };
    http::serve(address, faults, move |call| list_history.handle(call))
}

impl ListHistory {
    fn handle(&self, call: Call) {
        match (&call.method, call.path.as_str()) {
            (&Method::PUT, "/vms") => match call.decode_body::<VmList>() {
                Ok(list) => {
                    self.set(list);
                    call.answer(200, &"set");
                }
                Err(error) => call.answer(400, &error),
            },
            (&Method::GET, "/vms") => call.answer(200, &self.get()),
            _ => call.answer(404, &"unknown path"),
        }
    }

    fn set(&self, list: VmList) {
        let mut history = self.lock();
        history.push_back((Instant::now(), list));
        if history.len() > HISTORY_MAX {
            history.pop_front();
        }
    }

    /// Returns the list as it was `lag_ms` ago, or the first list if it is younger than that.
    fn get(&self) -> VmList {
        let lag = Duration::from_millis(self.faults.get().lag_ms);
        let history = self.lock();
        let old = history.iter().rev().find(|(set, _)| set.elapsed() >= lag);
        let shown = old.or(history.front());
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(Instant, VmList)>> {
        let guard = self.history.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
