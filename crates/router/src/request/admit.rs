//! Authentication and validation of a request before it waits for a slot.

use std::time::Duration;
use std::time::Instant;

use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::state::settings::Class;
use waxwing_core::state::settings::Organisation;
use waxwing_wire::caller::CLASS_HEADER;
use waxwing_wire::caller::DEADLINE_HEADER;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;
use waxwing_wire::caller::REQUEST_ID_HEADER;
use waxwing_wire::chat::ChatRequest;

use crate::request::incoming::IncomingRequest;
use crate::shared::Shared;

/// Result of a check.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Time after which a caller may retry when the VM has no settings yet, in milliseconds.
const NO_SETTINGS_RETRY_AFTER_MS: u64 = 1_000;

/// Longest request id that a caller may choose, in bytes.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// Destination of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestTarget {
    /// The model pool of the class.
    Chat,
    /// A call to a plain service.
    Service {
        /// Pool.
        pool: Name,
        /// Path of the call.
        path: String,
    },
}

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Id for logs and the caller.
    pub request_id: String,
    /// Organisation.
    pub organisation: Name,
    /// Settings of the organisation.
    pub organisation_settings: Organisation,
    /// Class, with the team as prefix.
    pub class: Name,
    /// Settings of the class.
    pub class_settings: Class,
    /// Time of receipt.
    pub received: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Idempotency key.
    pub idempotency_key: Option<uuid::Uuid>,
    /// Destination.
    pub target: RequestTarget,
    /// Body as received.
    pub body: Vec<u8>,
    /// Parsed body of a chat request.
    pub chat: Option<ChatRequest>,
}

/// Authenticates a call that names no class and returns its organisation.
///
/// # Errors
///
/// Fails with the refusal to send to the caller.
pub fn authenticate(shared: &Shared, incoming: &IncomingRequest) -> Result<Name> {
    let view = shared.view();
    if view.settings_version == 0 {
        return Err(no_settings_refusal());
    }
    let found = view.settings.organisation_by_key(parse_api_key(incoming)?);
    let (organisation, _) =
        found.ok_or_else(|| refuse(Reason::Unauthorised, "the API key is unknown"))?;
    Ok(organisation.clone())
}

impl AdmittedRequest {
    /// Returns a hash of the first message, or 0 for a plain call.
    ///
    /// Conversations with the same instructions share this hash.
    pub fn prefix_hash(&self) -> u64 {
        let Some(first) = self.chat.as_ref().and_then(|chat| chat.messages.first()) else {
            return 0;
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(first.to_string().as_bytes());
        let mut head = [0; 8];
        hasher.finalize_xof().fill(&mut head);
        u64::from_le_bytes(head)
    }

    /// Returns a hash that is the same for every repeat of a request, streamed or not.
    pub fn content_hash(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        let path = match &self.target {
            RequestTarget::Chat => "",
            RequestTarget::Service { path, .. } => path.as_str(),
        };
        for part in [
            self.organisation.as_str(),
            self.class_settings.pool.as_str(),
            path,
        ] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        match &self.chat {
            Some(chat) => {
                let mut chat = chat.clone();
                chat.stream = false;
                hasher.update(&serde_json::to_vec(&chat).unwrap_or_default());
            }
            None => {
                hasher.update(&self.body);
            }
        }
        *hasher.finalize().as_bytes()
    }
}

/// Checks a request against the settings.
///
/// # Errors
///
/// Fails with the refusal to send to the caller; the request was not run.
pub fn admit_request(
    shared: &Shared,
    incoming: &IncomingRequest,
    target: RequestTarget,
) -> Result<AdmittedRequest> {
    let view = shared.view();
    if view.settings_version == 0 {
        return Err(no_settings_refusal());
    }
    let key = parse_api_key(incoming)?;
    let Some((organisation, organisation_settings)) = view.settings.organisation_by_key(key) else {
        return Err(refuse(Reason::Unauthorised, "the API key is unknown"));
    };
    let team = &organisation_settings.team;
    let wanted = incoming
        .header(CLASS_HEADER)
        .ok_or_else(|| refuse(Reason::UnknownClass, "the header Waxwing-Class is missing"))?;
    let Some((class, class_settings)) = view.settings.class(team, wanted) else {
        let message = format!("team {team} has no class `{wanted}`");
        return Err(refuse(Reason::UnknownClass, message));
    };
    let chat = parse_chat(incoming, &target)?;
    if let RequestTarget::Service { pool, .. } = &target
        && *pool != class_settings.pool
    {
        let message = format!(
            "class {class} is served by pool {}, not {pool}",
            class_settings.pool
        );
        return Err(refuse(Reason::ClassNotAllowed, message));
    }
    Ok(AdmittedRequest {
        request_id: parse_request_id(incoming)?,
        organisation: organisation.clone(),
        organisation_settings: organisation_settings.clone(),
        class: Name::from(format!("{team}/{class}")),
        class_settings: class_settings.clone(),
        received: incoming.received(),
        deadline: parse_deadline(incoming, class_settings)?,
        idempotency_key: parse_idempotency_key(incoming, class_settings)?,
        target,
        body: incoming.body().to_vec(),
        chat,
    })
}

/// Returns the refusal of a VM without settings.
fn no_settings_refusal() -> Refusal {
    let message = "this VM has no settings yet";
    Refusal::not_run(Reason::NoSettings, NO_SETTINGS_RETRY_AFTER_MS, message)
}

fn refuse(reason: Reason, message: impl Into<String>) -> Refusal {
    Refusal::not_run(reason, 0, message)
}

fn parse_api_key(incoming: &IncomingRequest) -> Result<&str> {
    let header = incoming.header("authorization").unwrap_or("");
    header.strip_prefix("Bearer ").ok_or_else(|| {
        refuse(
            Reason::Unauthorised,
            "the header Authorization: Bearer KEY is missing",
        )
    })
}

fn parse_request_id(incoming: &IncomingRequest) -> Result<String> {
    let Some(id) = incoming.header(REQUEST_ID_HEADER) else {
        return Ok(uuid::Uuid::new_v4().to_string());
    };
    let is_plain = id
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if id.is_empty() || id.len() > REQUEST_ID_MAX_BYTES || !is_plain {
        let message =
            "Waxwing-Request-Id must be 1 to 128 letters, digits, dots, hyphens or underscores";
        return Err(refuse(Reason::BadRequest, message));
    }
    Ok(id.to_owned())
}

fn parse_chat(incoming: &IncomingRequest, target: &RequestTarget) -> Result<Option<ChatRequest>> {
    if *target != RequestTarget::Chat {
        return Ok(None);
    }
    match serde_json::from_slice(incoming.body()) {
        Ok(chat) => Ok(Some(chat)),
        Err(error) => {
            let message = format!("the body is not a chat-completions request: {error}");
            Err(refuse(Reason::BadRequest, message))
        }
    }
}

fn parse_deadline(incoming: &IncomingRequest, class: &Class) -> Result<Instant> {
    let Some(text) = incoming.header(DEADLINE_HEADER) else {
        return Ok(incoming.received() + Duration::from_millis(class.deadline_ms));
    };
    let left_ms: i64 = text.parse().map_err(|_| {
        let message = format!("Waxwing-Deadline-Ms `{text}` is not a whole number of milliseconds");
        refuse(Reason::BadRequest, message)
    })?;
    if left_ms <= 0 {
        return Err(refuse(
            Reason::DeadlinePassed,
            "the deadline had passed on receipt",
        ));
    }
    // A later deadline would let the request hold a slot longer than its class permits.
    let left_ms = left_ms.unsigned_abs().min(class.deadline_ms);
    Ok(incoming.received() + Duration::from_millis(left_ms))
}

fn parse_idempotency_key(incoming: &IncomingRequest, class: &Class) -> Result<Option<uuid::Uuid>> {
    let Some(text) = incoming.header(IDEMPOTENCY_KEY_HEADER) else {
        if class.idempotent {
            return Ok(None);
        }
        let message = "the class is not idempotent; send an Idempotency-Key (UUID version 7)";
        return Err(refuse(Reason::KeyRequired, message));
    };
    let malformed = || {
        refuse(
            Reason::KeyMalformed,
            "Idempotency-Key must be a UUID of version 7",
        )
    };
    let key = uuid::Uuid::parse_str(text).map_err(|_| malformed())?;
    if key.get_version() != Some(uuid::Version::SortRand) {
        return Err(malformed());
    }
    Ok(Some(key))
}
