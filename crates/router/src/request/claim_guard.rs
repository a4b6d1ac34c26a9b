//! The claim of a non-idempotent request, from before it waits for a slot to its settlement.
//!
//! The claim is made before the request waits for a slot, so that no slot is idle while the log confirms the claim. A
//! request that then gets no slot settles its claim as `not_run`, which costs one outcome in a group commit.

use std::time::Instant;

use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::coordination::claim_owner::ClaimDecision;
use waxwing_core::coordination::claim_owner::ClaimantState;
use waxwing_core::coordination::claim_owner::EndNotice;
use waxwing_core::state::claims::Answer;
use waxwing_core::state::claims::Outcome;
use waxwing_wire::caller::FENCE_HEADER;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;
use waxwing_wire::caller::RANGE_HEADER;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Grant;
use waxwing_wire::claim::Settlement;
use waxwing_wire::claim::StoredAnswer;

use crate::claims;
use crate::metric;
use crate::request::admit::AdmittedRequest;
use crate::request::admit::RequestTarget;
use crate::request::response::Responder;
use crate::request::trace::Step;
use crate::shared::Shared;

/// Longest answer stored for repeats, in bytes; longer ones would fill the memory of the range's owner.
const ANSWER_KEPT_MAX_BYTES: usize = 16 * 1_024;

/// Longest wait for a claim, in milliseconds, so that a caller learns early that the log does not respond.
const CLAIM_WAIT_MAX_MS: u64 = 2_000;

/// The claim of one request, settled on drop if still open; an idempotent request has none.
#[derive(Debug)]
pub struct ClaimGuard<'a> {
    shared: &'a Shared,
    claim: Option<Claim>,
}

#[derive(Debug)]
struct Claim {
    organisation: String,
    key: uuid::Uuid,
    grant: Grant,
    state: ClaimantState,
}

/// Claims the key of a non-idempotent request.
///
/// Returns `None` if the caller was sent a response: the stored answer of the first run, or a refusal.
pub fn open<'a>(
    shared: &'a Shared,
    job: &AdmittedRequest,
    responder: &Responder,
) -> Option<ClaimGuard<'a>> {
    if job.class_settings.idempotent {
        return Some(ClaimGuard {
            shared,
            claim: None,
        });
    }
    let opened = open_claim(shared, job);
    let verdict = match &opened {
        Ok(OpenedClaim::Granted(_)) => "granted",
        Ok(OpenedClaim::Done(_)) => "done",
        Err(refusal) => refusal.reason.as_str(),
    };
    let step = Step::Claimed {
        verdict: verdict.to_owned(),
    };
    shared.traces.add(&job.request_id, job.received, step);
    match opened {
        Ok(OpenedClaim::Granted(claim)) => Some(ClaimGuard {
            shared,
            claim: Some(claim),
        }),
        Ok(OpenedClaim::Done(answer)) => {
            let body = answer.body.unwrap_or_default();
            // The caller may be gone; the answer stays with the owner of the range.
            let _ = responder.send_response(answer.status, &answer.content_type, body);
            None
        }
        Err(refusal) => {
            metric::count_refusal(job.class.as_str(), &refusal);
            responder.refuse(&refusal);
            None
        }
    }
}

enum OpenedClaim {
    Granted(Claim),
    Done(StoredAnswer),
}

fn open_claim(shared: &Shared, job: &AdmittedRequest) -> Result<OpenedClaim, Refusal> {
    let Some(key) = job.idempotency_key else {
        let message = "the class is not idempotent; send an Idempotency-Key (UUID version 7)";
        return Err(Refusal::not_run(Reason::KeyRequired, 0, message));
    };
    let left = job.deadline.saturating_duration_since(Instant::now());
    let settings = &shared.view().settings;
    let request = ClaimRequest {
        organisation: job.organisation.to_string(),
        key,
        body_hash: body_hash(job),
        class: job.class.to_string(),
        claimant: rand::random(),
        may_use_memory: claims::may_use_memory(settings, &job.class_settings),
        wait_ms: CLAIM_WAIT_MAX_MS.min(left.as_millis() as u64),
    };
    match shared.claims.claim(shared, &request) {
        ClaimVerdict::Granted(grant) => {
            let mut state = ClaimantState::default();
            state.apply_decision(&ClaimDecision::Granted(grant.into()));
            Ok(OpenedClaim::Granted(Claim {
                organisation: request.organisation,
                key,
                grant,
                state,
            }))
        }
        ClaimVerdict::Done(answer) if answer.body.is_some() => Ok(OpenedClaim::Done(answer)),
        ClaimVerdict::Done(answer) => {
            let status = answer.status;
            let message =
                format!("the request ran with status {status}; its answer was too long to be kept");
            Err(Refusal::may_have_run(Reason::OutcomeUnknown, 0, message))
        }
        ClaimVerdict::Refused(refusal) => Err(refusal),
    }
}

/// Returns a hash of target and body, which detects the reuse of a key for a different request.
fn body_hash(job: &AdmittedRequest) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.class.as_str().as_bytes());
    hasher.update(&[0]);
    if let RequestTarget::Service { pool, path } = &job.target {
        hasher.update(pool.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(path.as_bytes());
    }
    hasher.update(&[0]);
    hasher.update(&job.body);
    *hasher.finalize().as_bytes()
}

impl ClaimGuard<'_> {
    /// Marks the call as possibly sent and returns its claim headers; must be called directly before each attempt.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call under this claim may have been sent, so that the request must not be sent again.
    pub fn begin_send(&mut self) -> Result<Vec<(String, String)>, Refusal> {
        let Some(claim) = &mut self.claim else {
            return Ok(Vec::new());
        };
        if claim.state.send().is_none() {
            let message = "the call may have run and is not repeated";
            return Err(Refusal::may_have_run(Reason::OutcomeUnknown, 0, message));
        }
        Ok(vec![
            (RANGE_HEADER.to_owned(), claim.grant.range.to_string()),
            (FENCE_HEADER.to_owned(), claim.grant.fence.to_string()),
            (IDEMPOTENCY_KEY_HEADER.to_owned(), claim.key.to_string()),
        ])
    }

    /// Marks the attempt as certainly not sent, so that another endpoint may be tried under the same claim.
    pub fn mark_not_sent(&mut self) {
        if let Some(claim) = &mut self.claim {
            claim.state.mark_not_sent();
        }
    }

    /// Settles the claim with the answer that repeats of the request receive.
    pub fn settle_done(&mut self, status: u16, content_type: &str, body: &[u8]) {
        let is_kept = body.len() <= ANSWER_KEPT_MAX_BYTES;
        self.settle(Some(Outcome::Done(Answer {
            status,
            content_type: content_type.to_owned(),
            body: is_kept.then(|| body.to_vec()),
        })));
    }

    fn settle(&mut self, outcome: Option<Outcome>) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        let Some(EndNotice::Settle(_, result)) = claim.state.end(outcome) else {
            return;
        };
        let settlement = Settlement {
            organisation: claim.organisation.clone(),
            key: claim.key,
            grant: claim.grant,
            result: result.into(),
        };
        self.shared.claims.settle(self.shared, settlement);
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        self.settle(None);
    }
}
