//! Calls to stand-ins and to the operator address of a daemon.

use std::time::Duration;

use attohttpc::ProxySettings;
use attohttpc::Session;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout for connecting and for reading, in seconds.
const TIMEOUT_S: u64 = 30;

/// Returns a session that ignores proxies from the environment.
pub(crate) fn new_session() -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.connect_timeout(Duration::from_secs(TIMEOUT_S));
    session.read_timeout(Duration::from_secs(TIMEOUT_S));
    session.follow_redirects(false);
    session
}

/// Sends a JSON body and returns whether it was accepted.
pub(crate) fn put<T: Serialize>(url: &str, body: &T) -> bool {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let sent = new_session().put(url).bytes(bytes).send();
    sent.is_ok_and(|response| response.is_success())
}

/// Reads a JSON body.
pub(crate) fn get<T: DeserializeOwned>(url: &str) -> Option<T> {
    let response = new_session().get(url).send().ok()?;
    if !response.is_success() {
        return None;
    }
    serde_json::from_slice(&response.bytes().ok()?).ok()
}
