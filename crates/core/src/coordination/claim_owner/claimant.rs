//! Duties of the one request that asks for a claim.

use crate::state::claims::ClaimId;
use crate::state::claims::Outcome;

use super::ClaimDecision;

/// State of a request with respect to its claim; it ends once, and sends only while it holds the claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ClaimantState {
    /// The owner has not answered.
    #[default]
    Waiting,
    /// The call may be sent.
    Holding(ClaimId),
    /// The call may have been sent.
    Sent(ClaimId),
    /// Nothing may be sent any more.
    Ended,
}

/// What the owner must be told when a request ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EndNotice {
    /// The claim, if there is or will be one, was not used.
    GiveUp,
    /// What became of the claim.
    Settle(ClaimId, Outcome),
}

impl ClaimantState {
    /// Takes the owner's answer; a late one changes nothing.
    pub fn apply_decision(&mut self, decision: &ClaimDecision) {
        if *self != Self::Waiting {
            return;
        }
        *self = match decision {
            ClaimDecision::Granted(id) => Self::Holding(*id),
            ClaimDecision::Done(_) | ClaimDecision::Refused(_) => Self::Ended,
        };
    }

    /// Returns the claim under which the call is sent now, or `None` if it must not be sent.
    pub fn send(&mut self) -> Option<ClaimId> {
        let Self::Holding(id) = *self else {
            return None;
        };
        *self = Self::Sent(id);
        Some(id)
    }

    /// Notes that the call certainly did not leave, so that it may be sent elsewhere.
    pub fn mark_not_sent(&mut self) {
        if let Self::Sent(id) = *self {
            *self = Self::Holding(id);
        }
    }

    /// Ends the request with an answer to its call, if there is one.
    pub fn end(&mut self, outcome: Option<Outcome>) -> Option<EndNotice> {
        match std::mem::replace(self, Self::Ended) {
            Self::Waiting => Some(EndNotice::GiveUp),
            Self::Holding(id) => Some(EndNotice::Settle(id, Outcome::NotRun)),
            Self::Sent(id) => Some(EndNotice::Settle(id, outcome.unwrap_or(Outcome::Unknown))),
            Self::Ended => None,
        }
    }
}
