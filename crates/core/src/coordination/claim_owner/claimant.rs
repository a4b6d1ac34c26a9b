//! State of a request that asks for a claim.

use crate::state::claims::ClaimId;
use crate::state::claims::Outcome;

use super::ClaimDecision;

/// State of a request with respect to its claim; the call is sent only while the request holds the claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ClaimantState {
    /// The owner of the range has not decided yet.
    #[default]
    Waiting,
    /// The claim is granted and the call may be sent.
    Holding(ClaimId),
    /// The call may have been sent.
    Sent(ClaimId),
    /// The request has ended; nothing may be sent any more.
    Ended,
}

/// Notice that the owner of the range must receive when a request ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndNotice {
    /// The request ended before it learned the decision; its claim, if one was or will be made, is unused.
    GiveUp,
    /// The claim ended with this outcome.
    Settle(ClaimId, Outcome),
}

impl ClaimantState {
    /// Applies the decision of the owner; has no effect unless the request is waiting for it.
    pub fn apply_decision(&mut self, decision: &ClaimDecision) {
        if *self != Self::Waiting {
            return;
        }
        *self = match decision {
            ClaimDecision::Granted(id) => Self::Holding(*id),
            ClaimDecision::Done(_) | ClaimDecision::Refused(_) => Self::Ended,
        };
    }

    /// Marks the call as sent and returns its claim, or returns `None` if the call must not be sent.
    pub fn send(&mut self) -> Option<ClaimId> {
        let Self::Holding(id) = *self else {
            return None;
        };
        *self = Self::Sent(id);
        Some(id)
    }

    /// Records that the call was certainly not sent, so that it may be sent to another endpoint.
    pub fn mark_not_sent(&mut self) {
        if let Self::Sent(id) = *self {
            *self = Self::Holding(id);
        }
    }

    /// Ends the request, with the outcome of its call if known, and returns the notice for the owner.
    pub fn end(&mut self, outcome: Option<Outcome>) -> Option<EndNotice> {
        match std::mem::replace(self, Self::Ended) {
            Self::Waiting => Some(EndNotice::GiveUp),
            Self::Holding(id) => Some(EndNotice::Settle(id, Outcome::NotRun)),
            Self::Sent(id) => Some(EndNotice::Settle(id, outcome.unwrap_or(Outcome::Unknown))),
            Self::Ended => None,
        }
    }
}
