//! Client of a daemon's operator address.

use std::collections::BTreeMap;
use std::time::Duration;

use attohttpc::ProxySettings;
use attohttpc::Session;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::SettingsTree;
use waxwing_wire::settings_record::SettingsChange;

use crate::error::Error;
use crate::error::Result;

/// Time to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Time for an answer, in milliseconds; a daemon answers a published change within 10 s.
const ANSWER_TIMEOUT_MS: u64 = 15_000;

/// Status of a daemon; a field that it does not report has its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VmStatus {
    /// Name.
    pub vm: String,
    /// Data centre.
    pub data_centre: String,
    /// Highest version of a subtree.
    pub settings_version: u64,
    /// Version in force of each subtree.
    pub settings: BTreeMap<String, u64>,
    /// Whether a planned stop has begun.
    pub is_draining: bool,
    /// Requests in progress.
    pub in_progress: u64,
    /// Live entry VMs that it knows.
    pub members: Vec<String>,
}

/// Client of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Client<'a> {
    address: &'a str,
}

impl<'a> Client<'a> {
    /// Creates a client of the daemon with this operator address.
    pub fn new(address: &'a str) -> Self {
        Self { address }
    }

    /// Returns the answer to a read.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer with status 200 and a body of this type.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = new_session().get(self.url(path)).send();
        self.read_body(response, |status| status == 200)
    }

    /// Returns the status of the daemon.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn status(&self) -> Result<VmStatus> {
        self.get("/status")
    }

    /// Returns the settings in force on the daemon.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn tree(&self) -> Result<SettingsTree> {
        self.get("/settings")
    }

    /// Tells the daemon to stop after the requests in progress.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn drain(&self) -> Result<VmStatus> {
        let response = new_session().post(self.url("/drain")).send();
        self.read_body(response, |status| status == 200)
    }

    /// Publishes a change.
    ///
    /// # Errors
    ///
    /// Fails if the daemon gives no answer about the change.
    pub fn publish(&self, change: &SettingsChange) -> Result<PublishAnswer> {
        let body = serde_json::to_vec(change).map_err(Error::Json)?;
        let request = new_session().post(self.url("/settings"));
        let response = request
            .header("Content-Type", "application/json")
            .bytes(body)
            .send();
        let has_answer = |status| matches!(status, 200 | 403 | 409 | 422 | 503 | 504);
        self.read_body(response, has_answer)
    }

    fn url(self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn read_body<T: DeserializeOwned>(
        self,
        response: attohttpc::Result<attohttpc::Response>,
        has_answer: impl Fn(u16) -> bool,
    ) -> Result<T> {
        let response = response.map_err(|source| self.transport_error(source))?;
        let status = response.status().as_u16();
        let bytes = response
            .bytes()
            .map_err(|source| self.transport_error(source))?;
        let body = serde_json::from_slice(&bytes);
        match body {
            Ok(body) if has_answer(status) => Ok(body),
            Err(source) if status == 200 => Err(Error::Decode {
                address: self.address.to_owned(),
                source,
            }),
            _ => Err(Error::Status {
                address: self.address.to_owned(),
                status,
                message: String::from_utf8_lossy(&bytes).trim().to_owned(),
            }),
        }
    }

    fn transport_error(self, source: attohttpc::Error) -> Error {
        Error::Transport {
            address: self.address.to_owned(),
            source,
        }
    }
}

/// Returns a session that ignores proxies from the environment.
fn new_session() -> Session {
    let mut session = Session::new();
    session.proxy_settings(ProxySettings::builder().build());
    session.connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS));
    session.read_timeout(Duration::from_millis(ANSWER_TIMEOUT_MS));
    session.follow_redirects(false);
    session
}
