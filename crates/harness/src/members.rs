//! Membership, pool owners, metrics and drain of daemons.

use serde_json::Value;
use waxwing_wire::platform::LoadReport;

use crate::condition;
use crate::control;
use crate::daemon::Daemon;
use crate::deployment::Deployment;
use crate::standin::Standin;

impl Deployment {
    /// Waits until each daemon counts all daemons as members and agrees with the others on the owner of each pool.
    ///
    /// # Panics
    ///
    /// Panics if that does not happen.
    pub fn wait_for_members(&self) {
        condition::wait_until("all daemons are members and agree on owners", || {
            let mut owners = Vec::new();
            for daemon in &self.daemons {
                if daemon.members().len() != self.daemons.len() {
                    return false;
                }
                owners.push(daemon.status().map(|status| status["owners"].clone()));
            }
            owners.windows(2).all(|pair| pair[0] == pair[1])
        });
    }

    /// Returns the index of the daemon that schedules a pool.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn owner_index(&self, pool: &str) -> usize {
        let status = self.daemons[0].status().expect("the daemon answers");
        let owner = status["owners"][pool].as_str();
        let owner = owner.expect("the pool has an owner");
        let number = owner.strip_prefix("vm-").and_then(|it| it.parse().ok());
        let number: usize = number.expect("daemons are named vm-1 and up");
        number - 1
    }
}

impl Daemon {
    /// Returns the names of the members, or none if the daemon does not answer.
    pub fn members(&self) -> Vec<String> {
        self.status_list("members")
    }

    /// Returns the names of the endpoints that the daemon has marked as leaving.
    pub fn leaving_endpoints(&self) -> Vec<String> {
        self.status_list("leaving")
    }

    /// Returns the value of a counter, 0 while it does not exist; `series` is the name with its labels.
    pub fn counter_value(&self, series: &str) -> f64 {
        let page = self.metrics().unwrap_or_default();
        for line in page.lines() {
            if let Some(rest) = line.strip_prefix(series)
                && let Some(value) = rest.strip_prefix(' ')
            {
                return value.trim().parse().unwrap_or(0.0);
            }
        }
        0.0
    }

    /// Returns the sum of a counter over all its labels.
    pub fn counter_sum(&self, name: &str) -> f64 {
        let page = self.metrics().unwrap_or_default();
        let mut sum = 0.0;
        for line in page.lines() {
            let Some(rest) = line.strip_prefix(name) else {
                continue;
            };
            if !rest.starts_with(['{', ' ']) {
                continue;
            }
            let value = rest.rsplit(' ').next().unwrap_or("");
            sum += value.parse::<f64>().unwrap_or(0.0);
        }
        sum
    }

    /// Starts a drain through the operator address and returns whether the daemon accepted it.
    pub fn drain(&self) -> bool {
        let url = format!("http://{}/drain", self.operator_address());
        let sent = control::new_session().post(url).send();
        sent.is_ok_and(|response| response.is_success())
    }

    fn status_list(&self, field: &str) -> Vec<String> {
        let status = self.status().unwrap_or_default();
        let items = status.get(field).and_then(Value::as_array);
        let mut list = Vec::new();
        for item in items.into_iter().flatten() {
            list.extend(item.as_str().map(str::to_owned));
        }
        list
    }
}

impl Standin {
    /// Returns the number of running requests that an engine or a plain service reports.
    ///
    /// # Panics
    ///
    /// Panics if the endpoint does not answer.
    pub fn running(&self) -> u64 {
        let url = format!("http://{}/load", self.address());
        let report: LoadReport = control::get(&url).expect("the endpoint reports its load");
        u64::from(report.running)
    }
}
