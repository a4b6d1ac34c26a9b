//! The life of one request, on its own thread.

pub mod admit;
pub mod answer;
pub mod claimed;
pub mod exchange;
pub mod run;

use std::sync::Arc;

use hyper::Method;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::caller::Entries;
use waxwing_wire::caller::Entry;

use crate::request::admit::Target;
use crate::request::answer::Answerer;
use crate::request::exchange::Exchange;
use crate::shared::Shared;

/// Serves one request to its end.
pub fn handle(shared: &Arc<Shared>, exchange: Exchange, answerer: Answerer) {
    let path = exchange.path().to_owned();
    let is_post = exchange.method() == Method::POST;
    match path.as_str() {
        "/v1/chat/completions" if is_post => route(shared, &exchange, answerer, Target::Chat),
        "/v1/entries" if !is_post => entries(shared, &exchange, answerer),
        "/healthz" if !is_post => answerer.json(200, &"serving"),
        _ => match to_service(&path) {
            Some(target) if is_post => route(shared, &exchange, answerer, target),
            _ => {
                let message = format!("{} {path} is not a path of this API", exchange.method());
                answerer.refuse(&Refusal::not_run(Reason::BadRequest, 0, message));
            }
        },
    }
}

fn to_service(path: &str) -> Option<Target> {
    let rest = path.strip_prefix("/v1/services/")?;
    let (pool, path) = rest.split_once('/')?;
    Some(Target::Service {
        pool: pool.into(),
        path: path.to_owned(),
    })
}

fn route(shared: &Arc<Shared>, exchange: &Exchange, answerer: Answerer, target: Target) {
    match admit::to_job(shared, exchange, target) {
        Ok(job) => run::run(shared, job, answerer),
        Err(refusal) => {
            crate::metric::count_refusal("", &refusal);
            answerer.refuse(&refusal);
        }
    }
}

/// Answers which entry addresses to use, those of the caller's data centre first.
fn entries(shared: &Shared, exchange: &Exchange, answerer: Answerer) {
    let view = shared.view();
    let near = exchange.query("data_centre");
    let mut entries = Vec::new();
    for member in &view.members {
        if member.is_draining {
            continue;
        }
        entries.push(Entry {
            address: member.caller_address.clone(),
            data_centre: member.data_centre.to_string(),
            weight: 1,
        });
    }
    entries.sort_by_key(|entry| Some(&entry.data_centre) != near.as_ref());
    let body = Entries {
        entries,
        lifetime_s: shared.config.limits.entries_lifetime_s,
    };
    answerer.json(200, &body);
}
