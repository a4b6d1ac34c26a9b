//! Helpers around `tiny_http` that all stand-ins share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Starts a server that handles each request on its own thread, and returns its address.
pub(crate) fn serve<H>(address: &str, handle: H) -> std::io::Result<SocketAddr>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let server = Server::http(address).map_err(std::io::Error::other)?;
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| std::io::Error::other("no IP address"))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(request));
        }
    });
    Ok(bound)
}

/// Answers with a JSON body.
pub(crate) fn answer<T: Serialize>(request: Request, status: u16, body: &T) {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // The client may be gone; a stand-in has nobody to tell.
    let _ = request.respond(response);
}

/// Reads a JSON body.
pub(crate) fn to_body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let mut bytes = Vec::new();
    request.as_reader().read_to_end(&mut bytes).ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Splits a URL into its path and the value of each query parameter.
pub(crate) fn to_path(url: &str) -> (&str, Vec<(&str, &str)>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let mut pairs = Vec::new();
    for part in query.split('&') {
        if let Some(pair) = part.split_once('=') {
            pairs.push(pair);
        }
    }
    (path, pairs)
}
