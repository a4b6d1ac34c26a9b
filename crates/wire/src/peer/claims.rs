//! Encoding and decoding of the messages in [`crate::claim`].

use waxwing_core::ExecutionStatus;
use waxwing_core::Refusal;

use crate::claim::ClaimRequest;
use crate::claim::ClaimVerdict;
use crate::claim::Grant;
use crate::claim::SettledResult;
use crate::claim::Settlement;
use crate::claim::StoredAnswer;
use crate::peer::Error;
use crate::peer::Result;
use crate::peer::read_hash;
use crate::peer::read_reason;
use crate::peer_capnp;

impl ClaimRequest {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::claim_request::Builder<'_>) {
        builder.set_organisation(self.organisation.as_str());
        builder.set_key(self.key.as_bytes());
        builder.set_body_hash(&self.body_hash);
        builder.set_class(self.class.as_str());
        builder.set_claimant(self.claimant);
        builder.set_may_use_memory(self.may_use_memory);
        builder.set_wait_ms(self.wait_ms);
    }
}

impl TryFrom<peer_capnp::claim_request::Reader<'_>> for ClaimRequest {
    type Error = Error;

    fn try_from(reader: peer_capnp::claim_request::Reader<'_>) -> Result<Self> {
        Ok(Self {
            organisation: reader.get_organisation()?.to_str()?.to_owned(),
            key: read_key(reader.get_key()?)?,
            body_hash: read_hash("bodyHash", reader.get_body_hash()?)?,
            class: reader.get_class()?.to_str()?.to_owned(),
            claimant: reader.get_claimant(),
            may_use_memory: reader.get_may_use_memory(),
            wait_ms: reader.get_wait_ms(),
        })
    }
}

impl ClaimVerdict {
    /// Writes the message.
    pub fn write(&self, builder: peer_capnp::claim_verdict::Builder<'_>) {
        match self {
            Self::Granted(grant) => write_grant(grant, builder.init_granted()),
            Self::Done(answer) => write_answer(answer, builder.init_done()),
            Self::Refused(refusal) => {
                let mut refused = builder.init_refused();
                refused.set_reason(refusal.reason.as_str());
                refused.set_may_have_run(refusal.run == ExecutionStatus::Unknown);
                refused.set_retry_after_ms(refusal.retry_after_ms);
                refused.set_message(refusal.message.as_str());
            }
        }
    }
}

impl TryFrom<peer_capnp::claim_verdict::Reader<'_>> for ClaimVerdict {
    type Error = Error;

    fn try_from(reader: peer_capnp::claim_verdict::Reader<'_>) -> Result<Self> {
        use peer_capnp::claim_verdict::Which;
        match reader.which()? {
            Which::Granted(grant) => Ok(Self::Granted(read_grant(grant?))),
            Which::Done(answer) => Ok(Self::Done(read_answer(answer?)?)),
            Which::Refused(refused) => Ok(Self::Refused(Refusal {
                reason: read_reason(refused.get_reason()?)?,
                run: if refused.get_may_have_run() {
                    ExecutionStatus::Unknown
                } else {
                    ExecutionStatus::NotRun
                },
                retry_after_ms: refused.get_retry_after_ms(),
                message: refused.get_message()?.to_str()?.to_owned(),
            })),
        }
    }
}

impl Settlement {
    /// Writes the message.
    pub fn write(&self, mut builder: peer_capnp::settlement::Builder<'_>) {
        builder.set_organisation(self.organisation.as_str());
        builder.set_key(self.key.as_bytes());
        write_grant(&self.grant, builder.reborrow().init_grant());
        match &self.result {
            SettledResult::Done(answer) => write_answer(answer, builder.init_done()),
            SettledResult::NotRun => builder.set_not_run(()),
            SettledResult::Unknown => builder.set_unknown(()),
        }
    }
}

impl TryFrom<peer_capnp::settlement::Reader<'_>> for Settlement {
    type Error = Error;

    fn try_from(reader: peer_capnp::settlement::Reader<'_>) -> Result<Self> {
        use peer_capnp::settlement::Which;
        let result = match reader.which()? {
            Which::Done(answer) => SettledResult::Done(read_answer(answer?)?),
            Which::NotRun(()) => SettledResult::NotRun,
            Which::Unknown(()) => SettledResult::Unknown,
        };
        Ok(Self {
            organisation: reader.get_organisation()?.to_str()?.to_owned(),
            key: read_key(reader.get_key()?)?,
            grant: read_grant(reader.get_grant()?),
            result,
        })
    }
}

fn write_grant(grant: &Grant, mut builder: peer_capnp::claim_grant::Builder<'_>) {
    builder.set_range(grant.range);
    builder.set_fence(grant.fence);
    builder.set_attempt(grant.attempt);
}

fn read_grant(reader: peer_capnp::claim_grant::Reader<'_>) -> Grant {
    Grant {
        range: reader.get_range(),
        fence: reader.get_fence(),
        attempt: reader.get_attempt(),
    }
}

fn write_answer(answer: &StoredAnswer, mut builder: peer_capnp::stored_answer::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_content_type(answer.content_type.as_str());
    if let Some(body) = &answer.body {
        builder.set_has_body(true);
        builder.set_body(body);
    }
}

fn read_answer(reader: peer_capnp::stored_answer::Reader<'_>) -> Result<StoredAnswer> {
    let body = match reader.get_has_body() {
        true => Some(reader.get_body()?.to_vec()),
        false => None,
    };
    Ok(StoredAnswer {
        status: reader.get_status(),
        content_type: reader.get_content_type()?.to_str()?.to_owned(),
        body,
    })
}

fn read_key(bytes: &[u8]) -> Result<uuid::Uuid> {
    uuid::Uuid::from_slice(bytes).map_err(|_| Error::Field {
        field: "key",
        expected: "the 16 bytes of a UUID",
    })
}
