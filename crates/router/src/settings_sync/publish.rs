//! Publishes a change: checks it, appends it, and waits until it is read back.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use similar::TextDiff;
use waxwing_core::state::settings::change::Change;
use waxwing_core::state::settings::replay::ActiveSubtree;
use waxwing_core::state::settings::replay::Rejection;
use waxwing_wire::platform::Append;
use waxwing_wire::settings_api::PublishAnswer;
use waxwing_wire::settings_api::PublishRejection;
use waxwing_wire::settings_record;
use waxwing_wire::settings_record::SettingsRecord;

use super::STREAM;
use super::owner::Message;
use super::owner::PublishReply;
use crate::metric;
use crate::shared::Shared;
use crate::transport::log_client;
use crate::transport::log_client::LogClient;

/// Maximum time from the request to the answer, in milliseconds.
///
/// A change must be active on every VM within 17 s, so the operator gets the answer earlier than that.
const PUBLISH_MAX_MS: u64 = 10_000;

/// Pause before a rate-limited append is retried, in milliseconds.
const RATE_PAUSE_MS: u64 = 200;

/// Status of a rate-limited append; nothing was appended.
const STATUS_RATE: u16 = 429;

/// Rejection reason: the VM waits for a snapshot.
pub(crate) const NOT_READY: &str = "not_ready";

/// Rejection reason: the VM is publishing other changes.
pub(crate) const BUSY: &str = "busy";

/// Maximum number of changes that are published concurrently.
///
/// While the log is down, each occupies a thread of the operator server until its deadline; the other threads stay free
/// for status and metrics.
const PUBLISHING_MAX: usize = 2;

/// Publishes a signed change and returns the outcome.
///
/// An unconfirmed append is not retried: either the record is read back, or the outcome is unknown and the operator may
/// send the same change again.
pub fn publish(shared: &Shared, change: Change) -> PublishAnswer {
    let publishing = &shared.settings_sync.publishing;
    let answer = match publishing.fetch_add(1, Ordering::SeqCst) < PUBLISHING_MAX {
        true => publish_now(shared, change),
        false => rejected_answer(BUSY, "this VM publishes other changes; send it again"),
    };
    publishing.fetch_sub(1, Ordering::SeqCst);
    metrics::counter!(metric::SETTINGS_PUBLISHED, "outcome" => outcome_label(&answer)).increment(1);
    answer
}

fn publish_now(shared: &Shared, change: Change) -> PublishAnswer {
    let deadline = Instant::now() + Duration::from_millis(PUBLISH_MAX_MS);
    let record = SettingsRecord::Change((&change).into());
    let text = change.text.clone();
    // The channel holds both replies to a change, so the settings thread never blocks.
    let (reply, replies) = flume::bounded(2);
    if let Err(error) = shared
        .settings_sync
        .send(Message::Publish { change, reply })
    {
        return unknown_answer(error);
    }
    match replies.recv_deadline(deadline) {
        Ok(PublishReply::Append) => (),
        Ok(publish_reply) => return publish_answer(publish_reply, &text),
        Err(_) => return unknown_answer(super::Error::Busy),
    }
    let client = LogClient::new(&shared.config.platform.log_address);
    let appended = append(&client, &record, deadline);
    await_reply(&replies, deadline, appended, &text)
}

fn append(
    client: &LogClient,
    record: &SettingsRecord,
    deadline: Instant,
) -> std::result::Result<(), String> {
    let data = record
        .encode()
        .map_err(|error: settings_record::Error| error.to_string())?;
    let append = Append {
        records: vec![data],
    };
    loop {
        match client.append(STREAM, &append) {
            Ok(()) => return Ok(()),
            Err(log_client::Error::Status { status, .. })
                if status == STATUS_RATE && Instant::now() < deadline =>
            {
                thread::sleep(Duration::from_millis(RATE_PAUSE_MS));
            }
            Err(error) => return Err(error.to_string()),
        }
    }
}

fn await_reply(
    replies: &Receiver<PublishReply>,
    deadline: Instant,
    appended: std::result::Result<(), String>,
    text: &str,
) -> PublishAnswer {
    match (replies.recv_deadline(deadline), appended) {
        (Ok(publish_reply), _) => publish_answer(publish_reply, text),
        (Err(_), Ok(())) => unknown_answer(
            "the log confirmed the change, but it was not read back in time; send it again",
        ),
        (Err(_), Err(error)) => unknown_answer(format!(
            "the append is not confirmed and was not read back in time ({error}); send it again"
        )),
    }
}

fn unknown_answer(message: impl ToString) -> PublishAnswer {
    PublishAnswer::Unknown {
        message: message.to_string(),
    }
}

fn rejected_answer(reason: &str, message: &str) -> PublishAnswer {
    PublishAnswer::Rejected(PublishRejection {
        reason: reason.to_owned(),
        message: message.to_owned(),
        ..PublishRejection::default()
    })
}

fn outcome_label(answer: &PublishAnswer) -> String {
    match answer {
        PublishAnswer::Accepted { .. } => "accepted".to_owned(),
        PublishAnswer::Rejected(rejection) => rejection.reason.clone(),
        PublishAnswer::Unknown { .. } => "unknown".to_owned(),
    }
}

fn publish_answer(publish_reply: PublishReply, text: &str) -> PublishAnswer {
    match publish_reply {
        PublishReply::Append => unknown_answer("the settings thread gave no decision"),
        PublishReply::NotReady => rejected_answer(
            NOT_READY,
            "this VM waits for a snapshot of the settings; ask another VM",
        ),
        PublishReply::Accepted { version } => PublishAnswer::Accepted { version },
        PublishReply::Rejected { rejection, active } => {
            PublishAnswer::Rejected(publish_rejection(&rejection, active.as_deref(), text))
        }
    }
}

fn publish_rejection(
    rejection: &Rejection,
    active: Option<&ActiveSubtree>,
    text: &str,
) -> PublishRejection {
    let difference = match rejection {
        Rejection::StaleBase { .. } | Rejection::UnknownBase { .. } => {
            text_difference(active, text)
        }
        _ => String::new(),
    };
    PublishRejection {
        in_force: active.map(Into::into),
        difference,
        ..PublishRejection::from(rejection)
    }
}

/// Returns a unified diff from the active text to the rejected text.
fn text_difference(active: Option<&ActiveSubtree>, text: &str) -> String {
    let old = active.map_or("", |active| active.change.text.as_str());
    let version = active.map_or(0, |active| active.version);
    let header = format!("in force, version {version}");
    TextDiff::from_lines(old, text)
        .unified_diff()
        .header(&header, "rejected change")
        .to_string()
}
