//! Publishing a change: check, append, and wait until it is read back.

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
use super::owner::Verdict;
use crate::metric;
use crate::shared::Shared;
use crate::transport::log_client;
use crate::transport::log_client::LogClient;

/// Time from the request to the answer, in milliseconds.
///
/// A change has to be in force everywhere within 17 s, so an operator is told after less.
const PUBLISH_MAX_MS: u64 = 10_000;

/// Pause before an append that the log refused for its rate is repeated, in milliseconds.
const RATE_PAUSE_MS: u64 = 200;

/// Status by which the log refuses an append beyond its rate; nothing was appended.
const STATUS_RATE: u16 = 429;

/// Reason of a VM that waits for a snapshot.
pub(crate) const NOT_READY: &str = "not_ready";

/// Reason of a VM that publishes other changes at the moment.
pub(crate) const BUSY: &str = "busy";

/// Changes that are published at once.
///
/// Each occupies a thread of the operator server until its deadline while the log is down; the rest stay free for
/// status and metrics.
const PUBLISHING_MAX: usize = 2;

/// Publishes a signed change and returns what became of it.
///
/// An append that is not confirmed is not repeated: the record is either read back or the outcome is unknown, and the
/// operator may send the same change again.
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
    let until = Instant::now() + Duration::from_millis(PUBLISH_MAX_MS);
    let record = SettingsRecord::Change((&change).into());
    let text = change.text.clone();
    // Both verdicts of one change fit, so the settings thread never waits.
    let (reply, verdicts) = flume::bounded(2);
    if let Err(error) = shared
        .settings_sync
        .send(Message::Publish { change, reply })
    {
        return unknown_answer(error);
    }
    match verdicts.recv_deadline(until) {
        Ok(Verdict::Append) => (),
        Ok(verdict) => return publish_answer(verdict, &text),
        Err(_) => return unknown_answer(super::Error::Busy),
    }
    let client = LogClient::new(&shared.config.platform.log_address);
    let appended = append(&client, &record, until);
    await_verdict(&verdicts, until, appended, &text)
}

fn append(
    client: &LogClient,
    record: &SettingsRecord,
    until: Instant,
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
                if status == STATUS_RATE && Instant::now() < until =>
            {
                thread::sleep(Duration::from_millis(RATE_PAUSE_MS));
            }
            Err(error) => return Err(error.to_string()),
        }
    }
}

fn await_verdict(
    verdicts: &Receiver<Verdict>,
    until: Instant,
    appended: std::result::Result<(), String>,
    text: &str,
) -> PublishAnswer {
    match (verdicts.recv_deadline(until), appended) {
        (Ok(verdict), _) => publish_answer(verdict, text),
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

fn publish_answer(verdict: Verdict, text: &str) -> PublishAnswer {
    match verdict {
        Verdict::Append => unknown_answer("the settings thread gave no decision"),
        Verdict::NotReady => rejected_answer(
            NOT_READY,
            "this VM waits for a snapshot of the settings; ask another VM",
        ),
        Verdict::Accepted { version } => PublishAnswer::Accepted { version },
        Verdict::Rejected {
            rejection,
            in_force,
        } => PublishAnswer::Rejected(publish_rejection(&rejection, in_force.as_deref(), text)),
    }
}

fn publish_rejection(
    rejection: &Rejection,
    in_force: Option<&ActiveSubtree>,
    text: &str,
) -> PublishRejection {
    let difference = match rejection {
        Rejection::StaleBase { .. } | Rejection::UnknownBase { .. } => {
            text_difference(in_force, text)
        }
        _ => String::new(),
    };
    PublishRejection {
        in_force: in_force.map(Into::into),
        difference,
        ..PublishRejection::from(rejection)
    }
}

/// Returns the unified difference from the text in force to the rejected text.
fn text_difference(in_force: Option<&ActiveSubtree>, text: &str) -> String {
    let old = in_force.map_or("", |in_force| in_force.change.text.as_str());
    let version = in_force.map_or(0, |in_force| in_force.version);
    let header = format!("in force, version {version}");
    TextDiff::from_lines(old, text)
        .unified_diff()
        .header(&header, "rejected change")
        .to_string()
}
