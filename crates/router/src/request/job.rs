//! Calls that submit and collect jobs.

use std::time::Duration;

use uuid::Uuid;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::Submission;
use waxwing_core::state::settings::Delivery;
use waxwing_wire::caller::JobAccepted;
use waxwing_wire::caller::JobPhase;
use waxwing_wire::caller::JobView;
use waxwing_wire::job_record::JobRecord;
use waxwing_wire::job_record::STREAM;

use crate::jobs::JobStatus;
use crate::jobs::SubmitOutcome;
use crate::metric;
use crate::request::admit;
use crate::request::admit::AdmittedRequest;
use crate::request::admit::RequestTarget;
use crate::request::incoming::IncomingRequest;
use crate::request::response::Responder;
use crate::shared::Shared;
use crate::transport::log_client::LogClient;

/// Path of a job without its id.
pub const PATH_PREFIX: &str = "/v1/jobs/";

/// Time after which a caller may retry when the log cannot be reached, in milliseconds.
const LOG_RETRY_AFTER_MS: u64 = 5_000;

/// Time after which a caller may retry when too many jobs are pending, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 30_000;

/// Longest wait for this VM to read the records that were in the log when a call began, in milliseconds.
const CATCH_UP_MS: u64 = 2_000;

type Result<T> = std::result::Result<T, Refusal>;

/// Accepts a job once it is in the log.
pub fn submit(shared: &Shared, incoming: &IncomingRequest, responder: &Responder) {
    match accept_job(shared, incoming) {
        Ok(accepted) => responder.send_json(202, &accepted),
        Err(refusal) => refuse(responder, &refusal),
    }
}

/// Sends the state of a job and its result.
pub fn get(shared: &Shared, incoming: &IncomingRequest, responder: &Responder) {
    match find_job(shared, incoming) {
        Ok(view) => responder.send_json(200, &view),
        Err(refusal) => refuse(responder, &refusal),
    }
}

fn refuse(responder: &Responder, refusal: &Refusal) {
    metric::count_refusal("", refusal);
    responder.refuse(refusal);
}

fn accept_job(shared: &Shared, incoming: &IncomingRequest) -> Result<JobAccepted> {
    let job = admit::admit_request(shared, incoming, RequestTarget::Chat)?;
    if job.class_settings.delivery != Delivery::Job || !job.class_settings.idempotent {
        let message = format!(
            "class {} is not delivered as a job; send it to /v1/chat/completions",
            job.class
        );
        return Err(Refusal::not_run(Reason::ClassNotAllowed, 0, message));
    }
    let id = job_id(&job);
    let submission = new_submission(job)?;
    if let Some(found) = shared.jobs.find(&submission.organisation, id) {
        check_same(&found, &submission)?;
        return Ok(JobAccepted { id });
    }
    match shared.jobs.submit(id, submission.clone()) {
        SubmitOutcome::Recorded => {
            // Another submission with the same key may have come first.
            if let Some(found) = shared.jobs.find(&submission.organisation, id) {
                check_same(&found, &submission)?;
            }
            Ok(JobAccepted { id })
        }
        SubmitOutcome::LogDown => Err(Refusal::not_run(
            Reason::LogUnavailable,
            LOG_RETRY_AFTER_MS,
            "the log cannot be reached, so the job was not accepted",
        )),
        SubmitOutcome::Unknown => Err(Refusal::may_have_run(
            Reason::LogUnavailable,
            LOG_RETRY_AFTER_MS,
            "the log did not confirm the job, which may run; submit it again with the same Idempotency-Key",
        )),
        SubmitOutcome::Full => Err(Refusal::not_run(
            Reason::QueueFull,
            FULL_RETRY_AFTER_MS,
            "too many jobs are pending",
        )),
    }
}

/// Returns the id of a job, which is derived from the organisation and the idempotency key if there is one.
fn job_id(job: &AdmittedRequest) -> Uuid {
    let Some(key) = job.idempotency_key else {
        return Uuid::now_v7();
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.organisation.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    uuid::Builder::from_random_bytes(bytes).into_uuid()
}

fn new_submission(job: AdmittedRequest) -> Result<Submission> {
    let body = String::from_utf8(job.body).map_err(|error| {
        Refusal::not_run(
            Reason::BadRequest,
            0,
            format!("the body is not UTF-8: {error}"),
        )
    })?;
    Ok(Submission {
        organisation: job.organisation,
        class: job.class,
        body,
    })
}

/// Checks that a repeated submission equals the first one with its key.
///
/// A finished job no longer has its body, so it is not compared.
fn check_same(found: &JobStatus, submission: &Submission) -> Result<()> {
    match found {
        JobStatus::Pending(known) if known != submission => Err(Refusal::not_run(
            Reason::KeyReused,
            0,
            "the Idempotency-Key was used for another job",
        )),
        _ => Ok(()),
    }
}

fn find_job(shared: &Shared, incoming: &IncomingRequest) -> Result<JobView> {
    let organisation = admit::authenticate(shared, incoming)?;
    let text = incoming.path().strip_prefix(PATH_PREFIX).unwrap_or("");
    let id = Uuid::parse_str(text).map_err(|_| unknown_job(text))?;
    let client = LogClient::new(&shared.config.platform.log_address);
    let mut found = shared.jobs.find(&organisation, id);
    if found.is_none() {
        catch_up(shared, &client)?;
        found = shared.jobs.find(&organisation, id);
    }
    let result = match found {
        None => return Err(unknown_job(text)),
        Some(JobStatus::Pending(_)) => None,
        Some(JobStatus::Finished(result)) => Some(result),
        Some(JobStatus::Stored(offset)) => Some(read_result(&client, offset)?),
    };
    Ok(job_view(id, result))
}

fn job_view(id: Uuid, result: Option<JobResult>) -> JobView {
    let Some(result) = result else {
        return JobView {
            id,
            state: JobPhase::Pending,
            status: None,
            answer: None,
        };
    };
    JobView {
        id,
        state: JobPhase::Finished,
        status: Some(result.status),
        answer: serde_json::from_str(&result.body).ok(),
    }
}

/// Waits until this VM has read the log up to its current end, which includes jobs just accepted by other VMs.
fn catch_up(shared: &Shared, client: &LogClient) -> Result<()> {
    let unavailable = || {
        let message = "the log cannot be reached, and this VM does not know the job";
        Refusal::may_have_run(Reason::LogUnavailable, LOG_RETRY_AFTER_MS, message)
    };
    let page = client
        .read(STREAM, shared.jobs.next_offset(), 0)
        .map_err(|_| unavailable())?;
    let wait = Duration::from_millis(CATCH_UP_MS);
    if !shared.jobs.wait_for_offset(page.next_offset, wait) {
        return Err(unavailable());
    }
    Ok(())
}

/// Reads a result that is no longer in memory.
fn read_result(client: &LogClient, offset: u64) -> Result<JobResult> {
    let unavailable = || {
        let message = "the job is finished, but the log that holds its answer cannot be reached";
        Refusal::may_have_run(Reason::LogUnavailable, LOG_RETRY_AFTER_MS, message)
    };
    let page = client.read(STREAM, offset, 0).map_err(|_| unavailable())?;
    let record = page.records.first().ok_or_else(unavailable)?;
    match JobRecord::decode(record) {
        Ok(JobRecord::Finished {
            status,
            content_type,
            body,
            ..
        }) => Ok(JobResult {
            status,
            content_type,
            body,
        }),
        _ => Err(unavailable()),
    }
}

fn unknown_job(id: &str) -> Refusal {
    let message = format!("no job `{id}` of this organisation is kept");
    Refusal::may_have_run(Reason::UnknownJob, 0, message)
}
