//! Interface between the gateway and the header and configuration formats of an outside system.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use waxwing_core::Name;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::endpoints::Load;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::prompt::Prompt;

/// Metadata that a caller states in the headers of a request.
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
    /// Id of the last event that the caller received; the stream resumes after it.
    pub last_event_id: Option<String>,
    /// Id of the caller's attempt that brought the first event of the stream that is taken up.
    pub begun_by: Option<String>,
}

/// Values that are sent to an endpoint in addition to the caller's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Instructions<'a> {
    /// Id of the only endpoint that may run the request.
    pub endpoint_id: &'a Name,
    /// Time left for the request, in milliseconds.
    pub time_limit_ms: u64,
    /// Organisation of the caller.
    pub organisation: Option<&'a Name>,
    /// Urgency of the request, for endpoints that order their queue by it.
    pub level: Option<UrgencyLevel>,
    /// Id of the last event that the caller received; the stream resumes after it.
    pub last_event_id: Option<&'a str>,
    /// Address of the engine to fetch the cached prefix of the prompt from.
    pub fetch_from: Option<SocketAddr>,
}

/// Metadata that an endpoint states in the head of its response.
#[derive(Clone, Debug, Default, PartialEq)]
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
    /// Time for which this VM must send the endpoint no requests, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Rate of requests that the endpoint takes from all VMs together; `None` if it is unknown.
    pub limit: Option<RateLimit>,
}

/// Translates the headers and the configuration format of an outside system.
pub trait Adapter {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails with a message for the caller if a header is malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, String>;

    /// Replaces the headers that only the router may set.
    fn set_instructions(&self, headers: &mut HeaderMap, instructions: &Instructions<'_>);

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Decodes a configuration document.
    ///
    /// # Errors
    ///
    /// Fails with a message for the log if the document is not a valid configuration.
    fn parse_configuration(&self, document: &[u8]) -> Result<Configuration, String>;

    /// Sets the request id on a response that the router itself generates.
    fn set_request_id(&self, headers: &mut HeaderMap, request_id: &str);
}
