//! Duties of the one request that asks for a claim.

use crate::state::claims::ClaimId;
use crate::state::claims::Outcome;

use super::Verdict;

/// State of a request with respect to its claim; it ends once, and sends only while it holds the claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Claimant {
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
pub enum Farewell {
    /// The claim, if there is or will be one, was not used.
    GiveUp,
    /// What became of the claim.
    Settle(ClaimId, Outcome),
}

impl Claimant {
    /// Takes the owner's answer; a late one changes nothing.
    pub fn answer(&mut self, verdict: &Verdict) {
        if *self != Self::Waiting {
            return;
        }
        *self = match verdict {
            Verdict::Granted(id) => Self::Holding(*id),
            Verdict::Done(_) | Verdict::Refused(_) => Self::Ended,
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
    pub fn not_sent(&mut self) {
        if let Self::Sent(id) = *self {
            *self = Self::Holding(id);
        }
    }

    /// Ends the request with an answer to its call, if there is one.
    pub fn end(&mut self, outcome: Option<Outcome>) -> Option<Farewell> {
        match std::mem::replace(self, Self::Ended) {
            Self::Waiting => Some(Farewell::GiveUp),
            Self::Holding(id) => Some(Farewell::Settle(id, Outcome::NotRun)),
            Self::Sent(id) => Some(Farewell::Settle(id, outcome.unwrap_or(Outcome::Unknown))),
            Self::Ended => None,
        }
    }
}
