//! Runs the jobs that are assigned to this VM.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::state::jobs::JobAction;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::Submission;
use waxwing_gateway::clock::unix_now_ms;
use waxwing_wire::caller::ErrorBody;

use crate::jobs;
use crate::jobs::appender::Message;
use crate::request::admit::AdmittedRequest;
use crate::request::admit::RequestTarget;
use crate::request::response::BodyPart;
use crate::request::response::Responder;
use crate::request::response::ResponseHead;
use crate::request::run;
use crate::shared::Shared;

/// Maximum delay before a membership change or a due retry is noticed, in milliseconds.
const POLL_MS: u64 = 100;

/// Maximum number of jobs that a VM runs at once, including those whose result is not yet in the log.
const RUNNING_MAX: usize = 64;

pub(crate) fn run(shared: &Arc<Shared>) {
    loop {
        for action in due_actions(shared) {
            match action {
                JobAction::Run(id) => start(shared, id),
                JobAction::Append(id) => renew(shared, id),
            }
        }
        let state = shared.jobs.lock();
        let wait = Duration::from_millis(POLL_MS);
        let _ = shared.jobs.changed.wait_timeout(state, wait);
    }
}

fn due_actions(shared: &Shared) -> Vec<JobAction> {
    let view = shared.view();
    if view.settings_version == 0 {
        return Vec::new();
    }
    let mut members: Vec<Name> = Vec::new();
    for member in &view.members {
        if !member.is_draining {
            members.push(member.name.clone());
        }
    }
    let local_vm = &shared.config.vm.name;
    let now_ms = unix_now_ms();
    let mut state = shared.jobs.lock();
    let retention_ms = state.retention_ms;
    state
        .jobs
        .next_actions(now_ms, local_vm, &members, retention_ms, RUNNING_MAX)
}

fn renew(shared: &Shared, id: Uuid) {
    let state = shared.jobs.lock();
    let Some((submission, metadata)) = state.jobs.pending_job(id) else {
        return;
    };
    let message = Message::Renew {
        id,
        submission: submission.clone(),
        known_offset: metadata.offset,
    };
    // If the inbox is full, the next pass retries, since the job stays due.
    let _ = shared.jobs.messages.try_send(message);
}

fn start(shared: &Arc<Shared>, id: Uuid) {
    let pending = {
        let state = shared.jobs.lock();
        state.jobs.pending_job(id).map(|(job, _)| job.clone())
    };
    let Some(submission) = pending else {
        return;
    };
    let worker = thread::Builder::new().name("job".to_owned());
    let run_shared = Arc::clone(shared);
    let spawned = worker.spawn(move || run_job(&run_shared, id, &submission));
    if let Err(error) = spawned {
        log::error!("a job thread cannot be started: {error}");
        fail(shared, id, 0);
    }
}

fn run_job(shared: &Arc<Shared>, id: Uuid, submission: &Submission) {
    let answered = build_job(shared, id, submission).and_then(|job| run_request(shared, job));
    let result = match answered {
        Ok(result) => result,
        Err(refusal) if is_final(refusal.reason) => refusal_result(&refusal),
        Err(refusal) => {
            log::info!("job {id} runs again later: {}", refusal.message);
            jobs::count("run_failed");
            return fail(shared, id, refusal.retry_after_ms);
        }
    };
    jobs::count("run");
    let message = Message::Finish {
        id,
        organisation: submission.organisation.clone(),
        result,
    };
    // The appender keeps receiving during a log outage, so this blocks only briefly.
    let _ = shared.jobs.messages.send(message);
}

fn fail(shared: &Shared, id: Uuid, wait_ms: u64) {
    let now_ms = unix_now_ms();
    shared.jobs.lock().jobs.fail(now_ms, id, wait_ms);
    shared.jobs.changed.notify_all();
}

/// Returns whether the refusal is permanent, so that running the job again would not help.
fn is_final(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::BadRequest | Reason::UnknownClass | Reason::ContentRefused
    )
}

fn refusal_result(refusal: &Refusal) -> JobResult {
    JobResult {
        status: refusal.status_code(),
        content_type: "application/json".to_owned(),
        body: serde_json::to_string(&ErrorBody::from(refusal)).unwrap_or_default(),
    }
}

/// Builds the request of a job from the active settings.
fn build_job(
    shared: &Shared,
    id: Uuid,
    submission: &Submission,
) -> Result<AdmittedRequest, Refusal> {
    let view = shared.view();
    let unknown = || {
        let message = format!("class {} no longer exists", submission.class);
        Refusal::not_run(Reason::UnknownClass, 0, message)
    };
    let organisations = &view.settings.organisations;
    let organisation = organisations
        .get(&submission.organisation)
        .ok_or_else(unknown)?;
    let (team, class) = submission
        .class
        .as_str()
        .split_once('/')
        .ok_or_else(unknown)?;
    let (_, class) = view
        .settings
        .class(&team.into(), class)
        .ok_or_else(unknown)?;
    let mut chat: waxwing_wire::chat::ChatRequest = serde_json::from_str(&submission.body)
        .map_err(|error| Refusal::not_run(Reason::BadRequest, 0, error.to_string()))?;
    chat.stream = false;
    let received = Instant::now();
    Ok(AdmittedRequest {
        request_id: id.to_string(),
        organisation: submission.organisation.clone(),
        organisation_settings: organisation.clone(),
        class: submission.class.clone(),
        class_settings: class.clone(),
        received,
        deadline: received + Duration::from_millis(class.deadline_ms),
        idempotency_key: None,
        target: RequestTarget::Chat,
        body: submission.body.clone().into_bytes(),
        chat: Some(chat),
    })
}

/// Runs a request as if a caller had sent it, and collects its response.
fn run_request(shared: &Arc<Shared>, job: AdmittedRequest) -> Result<JobResult, Refusal> {
    let (responder, head, body) = Responder::new();
    let runner = Arc::clone(shared);
    let worker = thread::Builder::new().name("job-request".to_owned());
    let spawned = worker.spawn(move || run::run(&runner, job, responder));
    if let Err(error) = spawned {
        let message = format!("a request thread cannot be started: {error}");
        return Err(Refusal::not_run(Reason::QueueFull, 1_000, message));
    }
    let lost = || Refusal::may_have_run(Reason::EndpointFailed, 1_000, "the answer was lost");
    let head = head.recv().map_err(|_| lost())?;
    let bytes = read_body(&body).ok_or_else(lost)?;
    if head.status != 200 {
        return Err(parse_refusal(&bytes).unwrap_or_else(lost));
    }
    Ok(JobResult {
        status: head.status,
        content_type: content_type(&head),
        body: String::from_utf8(bytes).map_err(|_| lost())?,
    })
}

/// Returns the body, or `None` if it was aborted.
fn read_body(pieces: &Receiver<BodyPart>) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        match pieces.recv() {
            Ok(BodyPart::Chunk(piece)) => bytes.extend_from_slice(&piece),
            Ok(BodyPart::End) => return Some(bytes),
            Err(_) => return None,
        }
    }
}

fn content_type(head: &ResponseHead) -> String {
    let found = head.headers.iter().find(|(name, _)| name == "content-type");
    found.map(|(_, value)| value.clone()).unwrap_or_default()
}

fn parse_refusal(body: &[u8]) -> Option<Refusal> {
    let body: ErrorBody = serde_json::from_slice(body).ok()?;
    Some(Refusal {
        reason: body.error.code,
        run: body.error.run,
        retry_after_ms: body.error.retry_after_s * 1_000,
        message: body.error.message,
    })
}
