//! HTTP towards operators: metrics, status and orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use metrics_exporter_prometheus::PrometheusHandle;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;
use waxwing_core::Name;

use crate::scheduling;
use crate::shared::Shared;

/// Threads that serve operators.
const THREADS: usize = 4;

/// Status of a daemon.
#[derive(Clone, Debug, Serialize)]
struct Status {
    vm: String,
    data_centre: String,
    incarnation: u64,
    settings_version: u64,
    is_draining: bool,
    in_progress: usize,
    members: Vec<String>,
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
        ("GET", "/status") => Response::json(&to_status(shared)),
        ("POST", "/drain") => {
            shared.drain();
            Response::json(&to_status(shared))
        }
        _ => Response::text("unknown path\n").with_status_code(404),
    }
}

fn to_status(shared: &Shared) -> Status {
    let view = shared.view();
    Status {
        vm: shared.config.vm.name.to_string(),
        data_centre: shared.config.vm.data_centre.to_string(),
        incarnation: shared.incarnation,
        settings_version: view.settings_version,
        is_draining: shared.is_draining.load(Ordering::SeqCst),
        in_progress: shared.in_progress.load(Ordering::SeqCst),
        members: view
            .members
            .iter()
            .map(|member| member.name.to_string())
            .collect(),
        owners: scheduling::to_owners(&view, &shared.config.vm),
        leaving: view.leaving.iter().map(Name::to_string).collect(),
    }
}
