//! Serves the claims, give-ups and settlements that other VMs send.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use flume::Receiver;
use flume::Sender;
use futures::future::Either;
use futures::future::select;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;

use crate::peer::Question;
use crate::shared::Shared;

use super::ANSWER_GRACE_MS;
use super::RETRY_AFTER_MS;
use super::delivery::Notice;

/// Starts the threads that serve other VMs.
pub(super) fn start(shared: &Arc<Shared>) {
    let for_claims = Arc::clone(shared);
    thread::spawn(move || serve_claims(&for_claims));
    let for_settlements = Arc::clone(shared);
    thread::spawn(move || serve_settlements(&for_settlements));
}

fn serve_claims(shared: &Shared) {
    let questions = shared.peers.claims.receiver();
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        while let Ok(question) = questions.recv_async().await {
            let request = question.body;
            // Forwarded in the order of arrival, so that a give-up stays behind its claim.
            if request.wait_ms == 0 {
                give_up(shared, request, &question.answer);
                continue;
            }
            let verdict = shared.claims.claim_local(&shorten_wait(&request));
            executor
                .spawn(answer(shared, request, verdict, question.answer))
                .detach();
        }
    }));
}

/// Shortens the wait so that the requesting VM still receives this VM's answer in time.
fn shorten_wait(request: &ClaimRequest) -> ClaimRequest {
    let grace_ms = ANSWER_GRACE_MS.min(request.wait_ms / 2);
    ClaimRequest {
        wait_ms: request.wait_ms - grace_ms,
        ..request.clone()
    }
}

async fn answer(
    shared: &Shared,
    request: ClaimRequest,
    verdict: Receiver<ClaimVerdict>,
    answer: Sender<ClaimVerdict>,
) {
    let timeout = Timer::after(Duration::from_millis(request.wait_ms));
    let is_answered = match select(verdict.recv_async(), timeout).await {
        Either::Left((Ok(verdict), _)) => answer.try_send(verdict).is_ok(),
        _ => false,
    };
    if !is_answered {
        // The requesting VM does not send the call, so the key can be claimed again.
        shared.claims.give_up_local(&request);
    }
}

/// Handles a give-up, which is sent as a claim with `wait_ms` 0; it stays unanswered if the range is not open here.
fn give_up(shared: &Shared, request: ClaimRequest, answer: &Sender<ClaimVerdict>) {
    if shared.claims.apply_local(&Notice::GiveUp(request)) {
        let message = "the claim was given up";
        let refusal = Refusal::not_run(Reason::DeadlinePassed, RETRY_AFTER_MS, message);
        // The requesting VM retries if it gets no answer.
        let _ = answer.try_send(ClaimVerdict::Refused(refusal));
    }
}

fn serve_settlements(shared: &Shared) {
    let questions = shared.peers.settlements.receiver();
    for Question { body, answer, .. } in &questions {
        if shared.claims.apply_local(&Notice::Settle(body)) {
            // The requesting VM retries if it gets no answer.
            let _ = answer.try_send(());
        }
    }
}
