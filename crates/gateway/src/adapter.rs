//! What an adapter tells the gateway about the headers of callers and endpoints.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use waxwing_core::Name;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::endpoints::Load;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::prompt::Prompt;

/// What a request says about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Id of the attempt, unique for each try of the caller.
    pub request_id: Option<String>,
    /// Time that the caller will wait, in milliseconds.
    pub time_limit_ms: Option<u64>,
    /// API key.
    pub key: Option<String>,
    /// Prompt, for services with a model.
    pub prompt: Option<Prompt>,
    /// Id of the event after which a stream goes on.
    pub last_event_id: Option<String>,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Instructions<'a> {
    /// Id of the only endpoint that may run the request.
    pub endpoint_id: &'a Name,
    /// Time left for the request, in milliseconds.
    pub time_limit_ms: u64,
    /// Organisation of the caller.
    pub organisation: Option<&'a Name>,
    /// How urgent the request is, for endpoints that order what waits there.
    pub level: Option<UrgencyLevel>,
    /// Id of the event after which a stream goes on.
    pub last_event_id: Option<&'a str>,
    /// Engine to fetch what it keeps of the prompt from.
    pub fetch_from: Option<SocketAddr>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Another endpoint answered.
    pub is_misdirected: bool,
    /// The answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Id of the request that is answered, if stated.
    pub request_id: Option<String>,
    /// Load of the endpoint, if stated.
    pub load: Option<Load>,
    /// The endpoint states that it is about to leave.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no request from this VM, in milliseconds.
    pub pause_ms: Option<u64>,
}

/// Headers of an outside system.
pub trait Adapter {
    /// Reads the headers of a caller.
    ///
    /// # Errors
    ///
    /// Fails with a sentence for the caller if a header cannot be understood.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, String>;

    /// Removes the headers that only the router may set, and sets them.
    fn set_instructions(&self, headers: &mut HeaderMap, instructions: &Instructions<'_>);

    /// Reads the head of an endpoint's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Decodes the document of a configuration.
    ///
    /// # Errors
    ///
    /// Fails with a sentence for the log if it is not a configuration.
    fn parse_configuration(&self, document: &[u8]) -> Result<Configuration, String>;

    /// Sets the id of the request on an answer of the router's own.
    fn set_request_id(&self, headers: &mut HeaderMap, request_id: &str);
}
