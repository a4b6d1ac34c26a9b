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

/// Requests a claim from `member`.
///
/// Without an answer the call is not sent, but an earlier request with the key may have run, so the refusal says that the
/// call may have run. If the owner may have received the request, it gets a give-up, since it may have granted the claim.
pub(super) fn claim(shared: &Shared, member: &Member, request: &ClaimRequest) -> ClaimVerdict {
    if request.wait_ms == 0 {
        let message = "no time is left to claim the key";
        let refusal = Refusal::may_have_run(Reason::DeadlinePassed, RETRY_AFTER_MS, message);
        return ClaimVerdict::Refused(refusal);
    }
    let error = match shared.peers.claim(&member.name, request.clone()) {
        Ok(decision) => return decision,
        Err(error) => error,
    };
    let reason = match error {
        Error::Timeout => Reason::LogUnavailable,
        _ => Reason::RangeHandover,
    };
    if may_have_received(&error) {
        shared.claims.deliver(Notice::GiveUp(request.clone()));
    }
    let message = format!("{} did not decide about the key: {error}", member.name);
    ClaimVerdict::Refused(Refusal::may_have_run(reason, RETRY_AFTER_MS, message))
}

fn may_have_received(error: &Error) -> bool {
    match error {
        Error::Busy | Error::UnknownPeer | Error::Unreachable => false,
        Error::Broken | Error::Timeout | Error::Refused(_) => true,
    }
}
