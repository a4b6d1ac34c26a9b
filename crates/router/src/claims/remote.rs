//! Claims of ranges that another VM owns.

use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;

use crate::peer::Error;
use crate::shared::Member;
use crate::shared::Shared;

use super::RETRY_AFTER_MS;
use super::delivery::Notice;

/// Asks `member` for a claim.
///
/// Without an answer the call is never sent, but this VM cannot tell whether the key has run before, so the refusal is
/// `unknown`. The owner may have granted the claim all the same; it is told to give it up.
pub(super) fn claim(shared: &Shared, member: &Member, request: &ClaimRequest) -> ClaimVerdict {
    if request.wait_ms == 0 {
        let message = "no time is left to claim the key";
        let refusal = Refusal::may_have_run(Reason::DeadlinePassed, RETRY_AFTER_MS, message);
        return ClaimVerdict::Refused(refusal);
    }
    let error = match shared.peers.claim(&member.name, request.clone()) {
        Ok(verdict) => return verdict,
        Err(error) => error,
    };
    let reason = match error {
        Error::Timeout => Reason::LogUnavailable,
        _ => Reason::RangeHandover,
    };
    if may_be_received(&error) {
        shared.claims.deliver(Notice::GiveUp(request.clone()));
    }
    let message = format!("{} did not decide about the key: {error}", member.name);
    ClaimVerdict::Refused(Refusal::may_have_run(reason, RETRY_AFTER_MS, message))
}

fn may_be_received(error: &Error) -> bool {
    match error {
        Error::Busy | Error::UnknownPeer | Error::Unreachable => false,
        Error::Broken | Error::Timeout | Error::Refused(_) => true,
    }
}
