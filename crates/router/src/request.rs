//! Handling of one caller request, on its own thread.

pub mod admit;
pub mod claim_guard;
pub mod incoming;
pub mod job;
pub mod relay;
pub mod response;
pub mod run;
pub mod trace;

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::Method;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::caller::Entries;
use waxwing_wire::caller::Entry;

use crate::request::admit::RequestTarget;
use crate::request::incoming::IncomingRequest;
use crate::request::response::Responder;
use crate::shared::Shared;

/// Time after which a caller refused by a stopping VM may retry, in milliseconds.
///
/// Other VMs can serve the request at once.
const STOPPING_RETRY_AFTER_MS: u64 = 1_000;

/// Weight of the least loaded VM.
const WEIGHT_MAX: u32 = 100;

/// Requests added to each load before the comparison, so that a difference of a few requests matters little.
const WEIGHT_LOAD_OFFSET: u32 = 16;

/// Serves one request.
pub fn handle(shared: &Arc<Shared>, incoming: IncomingRequest, responder: Responder) {
    let path = incoming.path().to_owned();
    let is_post = incoming.method() == Method::POST;
    match path.as_str() {
        "/v1/chat/completions" if is_post => {
            route(shared, &incoming, responder, RequestTarget::Chat)
        }
        "/v1/jobs" if is_post => job::submit(shared, &incoming, &responder),
        "/v1/entries" if !is_post => entries(shared, &incoming, responder),
        "/healthz" if !is_post => health(shared, responder),
        _ if !is_post && path.starts_with(job::PATH_PREFIX) => {
            job::get(shared, &incoming, &responder);
        }
        _ => match parse_service(&path, incoming.query_text()) {
            Some(target) if is_post => route(shared, &incoming, responder, target),
            _ => {
                let message = format!("{} {path} is not a path of this API", incoming.method());
                responder.refuse(&Refusal::not_run(Reason::BadRequest, 0, message));
            }
        },
    }
}

fn parse_service(path: &str, query: Option<&str>) -> Option<RequestTarget> {
    let rest = path.strip_prefix("/v1/services/")?;
    let (pool, path) = rest.split_once('/')?;
    Some(RequestTarget::Service {
        pool: pool.into(),
        path: match query {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        },
    })
}

fn route(
    shared: &Arc<Shared>,
    incoming: &IncomingRequest,
    responder: Responder,
    target: RequestTarget,
) {
    if shared.is_stopping.load(Ordering::SeqCst) {
        let message = "this VM is stopping; use another entry address";
        let refusal = Refusal::not_run(Reason::Stopping, STOPPING_RETRY_AFTER_MS, message);
        let refusal = incoming.qualify(refusal);
        crate::metric::count_refusal("", &refusal);
        responder.refuse(&refusal);
        return;
    }
    match admit::admit_request(shared, incoming, target) {
        Ok(job) => run::run(shared, job, responder),
        Err(refusal) => {
            let refusal = incoming.qualify(refusal);
            crate::metric::count_refusal("", &refusal);
            responder.refuse(&refusal);
        }
    }
}

fn health(shared: &Shared, responder: Responder) {
    match shared.is_stopping.load(Ordering::SeqCst) {
        true => responder.send_json(503, &"stopping"),
        false => responder.send_json(200, &"serving"),
    }
}

/// Sends the entry addresses that a caller should use, those of its data centre first.
fn entries(shared: &Shared, incoming: &IncomingRequest, responder: Responder) {
    let view = shared.view();
    let near = incoming.query("data_centre");
    let mut loads = Vec::new();
    for member in &view.members {
        let is_this_vm = member.name == shared.config.vm.name;
        let is_draining = match is_this_vm {
            true => shared.is_draining.load(Ordering::SeqCst),
            false => member.is_draining,
        };
        if is_draining || !member.is_reachable {
            continue;
        }
        let load = match is_this_vm {
            true => shared.in_progress.load(Ordering::SeqCst) as u32,
            false => member.load,
        };
        loads.push((member, load));
    }
    let least = loads.iter().map(|(_, load)| *load).min().unwrap_or(0);
    let mut entries = Vec::new();
    for (member, load) in loads {
        entries.push(Entry {
            address: member.caller_address.clone(),
            data_centre: member.data_centre.to_string(),
            weight: weight(load, least),
        });
    }
    entries.sort_by_key(|entry| {
        let is_far = Some(&entry.data_centre) != near.as_ref();
        (is_far, Reverse(entry.weight))
    });
    let body = Entries {
        entries,
        lifetime_s: shared.config.limits.entries_lifetime_s,
    };
    responder.send_json(200, &body);
}

/// Returns the weight of a VM with `load` requests in progress if the least loaded VM has `least`.
fn weight(load: u32, least: u32) -> u32 {
    let full = u64::from(WEIGHT_MAX) * u64::from(least + WEIGHT_LOAD_OFFSET);
    let weight = full / (u64::from(load) + u64::from(WEIGHT_LOAD_OFFSET));
    u32::try_from(weight).unwrap_or(WEIGHT_MAX).max(1)
}
