//! Traces of requests, looked up on this VM and on its peers.

use std::sync::Arc;
use std::thread;

use serde_json::Value;

use crate::shared::Shared;

/// Starts the thread that answers the trace queries of other VMs.
pub fn start(shared: Arc<Shared>) {
    thread::spawn(move || {
        for question in shared.peers.explain.receiver() {
            let trace = shared.traces.trace(&question.body);
            let line = trace.and_then(|trace| serde_json::to_string(&trace).ok());
            // The other VM may have stopped waiting.
            let _ = question.answer.try_send(line.into_iter().collect());
        }
    });
}

/// Returns the trace of a request from this VM, or else from the first peer that has one.
pub fn find(shared: &Shared, request_id: &str) -> Option<Value> {
    if let Some(trace) = shared.traces.trace(request_id) {
        return serde_json::to_value(trace).ok();
    }
    let local = &shared.config.vm.name;
    for member in &shared.view().members {
        if member.name == *local || !member.is_reachable {
            continue;
        }
        match shared.peers.explain(&member.name, request_id) {
            Ok(lines) => {
                if let Some(trace) = lines
                    .first()
                    .and_then(|line| serde_json::from_str(line).ok())
                {
                    return Some(trace);
                }
            }
            Err(error) => log::warn!("{} did not answer a trace query: {error}", member.name),
        }
    }
    None
}
