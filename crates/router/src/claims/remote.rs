//! Claims of ranges that another VM owns.

use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Settlement;

use crate::shared::Member;
use crate::shared::Shared;

use super::RETRY_AFTER_MS;
use super::counters;

/// Asks `member` for a claim; there is no peer connection yet, so that every request is refused.
pub(super) fn claim(_: &Shared, member: &Member, _: &ClaimRequest) -> ClaimVerdict {
    let message = format!("the range of the key is owned by {}", member.name);
    let refusal = Refusal::not_run(Reason::RangeHandover, RETRY_AFTER_MS, message);
    ClaimVerdict::Refused(refusal)
}

/// Tells `member` what became of a claim; without a peer connection the claim stays without outcome.
pub(super) fn settle(_: &Shared, member: &Member, settlement: Settlement) {
    counters::count_lost_settlement();
    log::warn!(
        "the outcome of a claim in range {} did not reach {}",
        settlement.grant.range,
        member.name
    );
}
