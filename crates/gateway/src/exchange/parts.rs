//! Keeps requests with prompt parts that crash endpoints from being sent.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use waxwing_core::Name;
use waxwing_core::forwarding::crashing_parts::PartKey;
use waxwing_core::forwarding::crashing_parts::Scope;
use waxwing_core::forwarding::crashing_parts::Standing;
use waxwing_core::forwarding::crashing_parts::TRIAL_MS;
use waxwing_core::forwarding::prompt::Prompt;
use waxwing_core::hash::hash_name;

use crate::client::with_timeout;
use crate::exchange::Exchange;
use crate::exchange::send::RunGuard;

/// Longest wait of a request with a suspected part for its turn, in milliseconds.
const TURN_MAX_MS: u64 = 3_000;

/// Interval at which a waiting request asks for its turn, in milliseconds.
const TURN_CHECK_MS: u64 = 50;

/// Time after which a caller may retry with a suspected part that is being tried, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 1_000;

/// Longest wait of a repeat for the check whether the endpoint before has crashed, in milliseconds.
const CRASH_CHECK_MAX_MS: u64 = 150;

/// Events after which an answer goes on, if it does so for [`ESTABLISHED_MS`].
const ESTABLISHED_EVENTS: u64 = 3;

/// Time from its first byte after which an answer goes on, in milliseconds.
const ESTABLISHED_MS: u64 = 500;

/// A part for which a request was refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedPart {
    pub(crate) part: PartKey,
    /// Place of the part in the prompt, from 1.
    pub(crate) position: usize,
    /// Number of parts of the prompt.
    pub(crate) count: usize,
    /// Time after which the caller may come back, in milliseconds.
    pub(crate) retry_after_ms: u64,
}

/// Whether a request may be sent, as far as the parts of its prompt are concerned.
#[derive(Debug)]
pub(super) struct PartGate {
    scope: Scope,
    parts: Vec<PartKey>,
    /// Whether the request may be sent although one of its parts is suspected.
    has_turn: Cell<bool>,
    /// The part for which the request was refused.
    refused: Cell<Option<RefusedPart>>,
    /// Receives nothing, and ends when it is known whether the endpoint of the last run has crashed.
    crash_check: Option<flume::Receiver<()>>,
}

impl PartGate {
    pub(super) fn new(
        organisation: Option<&Name>,
        service: &Name,
        prompt: Option<&Prompt>,
    ) -> Self {
        let shared = prompt.map_or(&[][..], Prompt::shared_parts);
        Self {
            scope: Scope {
                organisation: organisation.map_or(0, |name| hash_name(name.as_str())),
                service: hash_name(service.as_str()),
            },
            parts: shared.iter().map(|part| PartKey(part.id)).collect(),
            has_turn: Cell::new(false),
            refused: Cell::new(None),
            crash_check: None,
        }
    }

    /// Returns whether the next run may crash its endpoint.
    pub(super) fn is_trial(&self) -> bool {
        self.has_turn.get()
    }

    /// Ends the turn of the last run.
    pub(super) fn end_turn(&self) {
        self.has_turn.set(false);
    }

    /// Returns the part for which the request was refused.
    pub(super) fn refused(&self) -> Option<RefusedPart> {
        self.refused.get()
    }

    /// Returns whose prompt it is, and its shared parts.
    pub(super) fn subject(&self) -> (Scope, Vec<PartKey>) {
        (self.scope, self.parts.clone())
    }
}

impl Exchange {
    fn judge_parts(&self) -> Standing {
        let gate = &self.part_gate;
        self.gateway.judge_parts(gate.scope, &gate.parts)
    }

    /// Returns whether no part of the prompt is suspected.
    pub(super) fn has_clear_parts(&self) -> bool {
        self.judge_parts() == Standing::Clear
    }

    /// Waits until the request may be sent; returns `false` if it is refused.
    pub(super) async fn admit_parts(&self) -> bool {
        let gate = &self.part_gate;
        gate.end_turn();
        let clock = self.gateway.clock;
        let limit_ms = clock.now_ms() + TURN_MAX_MS.min(self.remaining_ms() / 2);
        loop {
            let (part, hold_ms, waits) = match self.judge_parts() {
                Standing::Clear => return true,
                Standing::Refused {
                    part,
                    retry_after_ms,
                } => return self.refuse_part(part, retry_after_ms),
                Standing::Suspect(part) => (part, TRIAL_MS, true),
                Standing::TrialDue { part, hold_ms } => (part, hold_ms, false),
            };
            if self.gateway.acquire_trial(part, hold_ms).await {
                gate.has_turn.set(true);
                return true;
            }
            if !waits {
                return self.refuse_part(part, hold_ms);
            }
            if clock.now_ms() >= limit_ms {
                return self.refuse_part(part, SUSPECT_RETRY_AFTER_MS);
            }
            Timer::after(Duration::from_millis(TURN_CHECK_MS)).await;
        }
    }

    /// Records that a part is refused; returns `false`.
    fn refuse_part(&self, part: PartKey, retry_after_ms: u64) -> bool {
        let parts = &self.part_gate.parts;
        let position = parts.iter().position(|known| *known == part);
        let position = position.map_or(0, |index| index + 1);
        // The last part is not shared.
        let count = parts.len() + 1;
        let refused = RefusedPart {
            part,
            position,
            count,
            retry_after_ms,
        };
        self.part_gate.refused.set(Some(refused));
        false
    }

    /// Returns whether the request may still be sent, now that its endpoint has been chosen.
    pub(super) fn may_send_parts(&self) -> bool {
        match self.judge_parts() {
            Standing::Clear => true,
            Standing::Suspect(_) | Standing::TrialDue { .. } => self.part_gate.is_trial(),
            Standing::Refused { .. } => false,
        }
    }

    /// Waits until it is known whether the endpoint of the last run has crashed.
    pub(super) async fn await_crash_check(&mut self) {
        if let Some(check) = self.part_gate.crash_check.take() {
            // The check ends without a message.
            let _ = with_timeout(CRASH_CHECK_MAX_MS, check.recv_async()).await;
        }
    }

    /// Returns what ends the wait for a check whether an endpoint has crashed when it is dropped.
    pub(super) fn begin_crash_check(&mut self) -> flume::Sender<()> {
        let (sender, receiver) = flume::bounded(1);
        self.part_gate.crash_check = Some(receiver);
        sender
    }

    /// Records that an answer goes on, so that the parts of its prompt do not crash endpoints.
    pub(crate) async fn record_sound_parts(&self) {
        let gate = &self.part_gate;
        if !gate.parts.is_empty() {
            self.gateway
                .record_part_answer(gate.scope, &gate.parts)
                .await;
        }
    }
}

impl RunGuard {
    /// Returns whether the answer has gone on for long enough that its prompt cannot be what crashes the endpoint.
    pub(crate) fn is_established(&self, now_ms: u64) -> bool {
        let first_byte_at_ms = self.first_byte_at_ms;
        self.events >= ESTABLISHED_EVENTS
            && first_byte_at_ms.is_some_and(|at_ms| now_ms >= at_ms + ESTABLISHED_MS)
    }
}
