//! Blame of contents for crashes of endpoints.

use super::Ask;
use super::Effect;
use super::RunKey;
use super::Scheduler;
use super::endpoint::Loss;
use crate::Name;
use crate::Reason;
use crate::state::evidence::Content;

impl Scheduler {
    /// Returns whether the content was lost with an endpoint and is neither cleared nor refused.
    pub(super) fn is_suspect(&self, ask: &Ask) -> bool {
        if self.evidence.is_empty() || self.is_baseline() {
            return false;
        }
        let losses = self.evidence.to_loss_count(&ask.content_hash);
        losses > 0 && losses < self.config.poison_endpoints_max as usize
    }

    /// Notes a lost connection, which counts as a crash once a probe confirms it.
    pub(super) fn note_loss(&mut self, now_ms: u64, key: RunKey) {
        let lost = &self.running[key];
        let content = lost.ask.content_hash;
        let endpoint_key = lost.endpoint;
        let granted_ms = lost.granted_ms;
        let endpoint = &mut self.endpoints[endpoint_key];
        if endpoint.has_crashed_since(granted_ms, now_ms) {
            let name = endpoint.spec.name.clone();
            self.evidence.record(content, &name, now_ms);
            return;
        }
        if let Some(loss) = &mut endpoint.loss {
            loss.at_ms = now_ms;
            if !loss.contents.contains(&content) {
                loss.contents.push(content);
            }
            return;
        }
        let mut contents = Vec::new();
        for running in self.running.values() {
            if running.endpoint == endpoint_key {
                contents.push(running.ask.content_hash);
            }
        }
        endpoint.loss = Some(Loss {
            at_ms: now_ms,
            contents,
        });
    }

    /// Learns a probe of an endpoint.
    pub(super) fn observe_probe(
        &mut self,
        now_ms: u64,
        name: &Name,
        is_alive: bool,
        started_id: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.endpoint_keys.get(name) else {
            return;
        };
        let endpoint = &mut self.endpoints[*key];
        let contents = endpoint.observe_probe(now_ms, is_alive, started_id);
        self.readmit_surplus();
        let Some(contents) = contents else {
            return;
        };
        self.counters.crashes += 1;
        if self.is_baseline() {
            return;
        }
        for content in contents {
            self.evidence.record(content, name, now_ms);
        }
        self.refuse_contents(now_ms, effects);
    }

    /// Clears a content that finished, unless it is already refused.
    pub(super) fn clear_content(&mut self, now_ms: u64, content: &Content) {
        if !self.evidence.is_empty() && !self.is_refused(content) {
            self.evidence.clear(*content, now_ms);
        }
    }

    /// Refuses waiting requests whose content crashes endpoints.
    pub(super) fn refuse_contents(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.is_baseline() {
            return;
        }
        let mut refused = Vec::new();
        for (key, waiting) in self.queue.iter() {
            if self.is_refused(&waiting.ask.content_hash) {
                refused.push(key);
            }
        }
        for key in refused {
            self.refuse_waiting(now_ms, key, Reason::ContentRefused, effects);
        }
    }
}
