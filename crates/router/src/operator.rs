//! HTTP server for operators: metrics, status, settings, traces and draining.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use metrics_exporter_prometheus::PrometheusHandle;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;
use waxwing_core::Name;
use waxwing_core::state::settings::change::Change;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_record::SettingsChange;

use crate::explain;
use crate::scheduling;
use crate::settings_sync;
use crate::shared::Shared;

/// Threads that serve operators.
const THREADS: usize = 4;

/// Longest body of a published change, in bytes: the longest text with every character escaped, and the signature.
const CHANGE_MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// Status of a daemon.
#[derive(Clone, Debug, Serialize)]
struct Status {
    vm: String,
    data_centre: String,
    incarnation: u64,
    settings_version: u64,
    settings: BTreeMap<String, u64>,
    is_draining: bool,
    in_progress: usize,
    members: Vec<String>,
    /// Contents that crashed so many endpoints that they are refused.
    refused_contents: usize,
    /// Member that schedules the requests of this VM, by pool.
    owners: BTreeMap<Name, Name>,
    /// Endpoints that the VM list or a peer marks as leaving.
    leaving: Vec<String>,
}

/// Starts the operator server.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(shared: Arc<Shared>, metrics: Option<PrometheusHandle>) -> std::io::Result<()> {
    let address = shared.config.vm.operator_address.clone();
    let server = Server::new(address, move |request| {
        handle(&shared, metrics.as_ref(), request)
    })
    .map_err(std::io::Error::other)?
    .pool_size(THREADS);
    thread::Builder::new()
        .name("operator".to_owned())
        .spawn(move || server.run())?;
    Ok(())
}

fn handle(shared: &Arc<Shared>, metrics: Option<&PrometheusHandle>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/metrics") => {
            let text = metrics.map(PrometheusHandle::render).unwrap_or_default();
            Response::text(text)
        }
        ("GET", "/status") => Response::json(&status(shared)),
        ("GET", "/settings") => json_response(shared.settings_sync.tree()),
        ("GET", "/settings/history") => json_response(shared.settings_sync.history()),
        ("POST", "/settings") => publish(shared, request),
        ("POST", "/drain") => {
            shared.drain();
            Response::json(&status(shared))
        }
        ("GET", url) if url.starts_with("/explain/") => explain(shared, &url["/explain/".len()..]),
        _ => Response::text("unknown path\n").with_status_code(404),
    }
}

fn explain(shared: &Shared, request_id: &str) -> Response {
    match explain::find(shared, request_id) {
        Some(trace) => Response::json(&trace),
        None => Response::text("no reachable VM knows the request\n").with_status_code(404),
    }
}

fn json_response<T: Serialize>(result: settings_sync::Result<T>) -> Response {
    match result {
        Ok(body) => Response::json(&body),
        Err(error) => Response::text(format!("{error}\n")).with_status_code(503),
    }
}

fn publish(shared: &Shared, request: &Request) -> Response {
    let change = match read_change(request) {
        Ok(change) => change,
        Err(message) => return Response::text(format!("{message}\n")).with_status_code(400),
    };
    let answer = settings_sync::publish(shared, change);
    Response::json(&answer).with_status_code(status_code(&answer))
}

fn read_change(request: &Request) -> Result<Change, String> {
    let body = request.data().ok_or("the body was read before")?;
    let mut bytes = Vec::new();
    body.take(CHANGE_MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| format!("the body cannot be read: {error}"))?;
    if bytes.len() as u64 > CHANGE_MAX_BYTES {
        return Err(format!("the body is longer than {CHANGE_MAX_BYTES} bytes"));
    }
    let change: SettingsChange = serde_json::from_slice(&bytes)
        .map_err(|error| format!("the body is not a settings change: {error}"))?;
    Change::try_from(change).map_err(|error| error.to_string())
}

fn status_code(answer: &PublishAnswer) -> u16 {
    match answer {
        PublishAnswer::Accepted { .. } => 200,
        PublishAnswer::Rejected(rejection) => match rejection.reason.as_str() {
            "stale_base" | "unknown_base" => 409,
            "invalid" => 422,
            settings_sync::NOT_READY | settings_sync::BUSY => 503,
            _ => 403,
        },
        PublishAnswer::Unknown { .. } => 504,
    }
}

fn status(shared: &Shared) -> Status {
    let view = shared.view();
    Status {
        vm: shared.config.vm.name.to_string(),
        data_centre: shared.config.vm.data_centre.to_string(),
        incarnation: shared.incarnation,
        settings_version: view.settings_version,
        settings: view.subtree_versions.clone(),
        is_draining: shared.is_draining.load(Ordering::SeqCst),
        in_progress: shared.in_progress.load(Ordering::SeqCst),
        refused_contents: shared.refused_contents.load(Ordering::SeqCst),
        members: view
            .members
            .iter()
            .map(|member| member.name.to_string())
            .collect(),
        owners: scheduling::pool_owners(&view, &shared.config.vm),
        leaving: view.leaving.iter().map(Name::to_string).collect(),
    }
}
