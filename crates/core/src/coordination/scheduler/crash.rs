//! Blame of contents for crashes of endpoints.

use super::Effect;
use super::Endpoint;
use super::RunKey;
use super::Scheduler;
use super::SlotRequest;
use super::endpoint::Loss;
use crate::Name;
use crate::Reason;
use crate::state::evidence::ContentHash;
use crate::state::evidence::UNKNOWN_CONTENT;

impl Scheduler {
    /// Returns whether the content was lost with an endpoint and is neither cleared nor refused.
    ///
    /// A lost connection makes a suspect before the probe confirms the crash: retries come sooner than the probe, and
    /// innocent contents that follow the guilty one to its next endpoint would be lost twice as well.
    pub(super) fn is_suspect(&self, request: &SlotRequest) -> bool {
        if self.is_baseline() {
            return false;
        }
        if self.unconfirmed.contains(&request.content_hash) {
            return true;
        }
        let losses = self.evidence.crash_count(&request.content_hash);
        losses > 0 && losses < self.config.poison_endpoints_max as usize
    }

    /// Returns whether the endpoint was lost while it ran the content.
    pub(super) fn has_lost(&self, content: &ContentHash, endpoint: &Endpoint) -> bool {
        let is_unconfirmed = endpoint
            .loss
            .as_ref()
            .is_some_and(|loss| loss.contents.contains(content));
        is_unconfirmed || self.evidence.has_crashed(content, &endpoint.spec.name)
    }

    fn collect_unconfirmed(&mut self) {
        self.unconfirmed.clear();
        for endpoint in self.endpoints.values() {
            if let Some(loss) = &endpoint.loss {
                self.unconfirmed.extend(&loss.contents);
            }
        }
        self.unconfirmed.remove(&UNKNOWN_CONTENT);
    }

    /// Notes a lost connection, which counts as a crash once a probe confirms it.
    pub(super) fn note_loss(&mut self, now_ms: u64, key: RunKey) {
        self.add_loss(now_ms, key);
        self.collect_unconfirmed();
    }

    fn add_loss(&mut self, now_ms: u64, key: RunKey) {
        let lost = &self.running[key];
        let content = lost.request.content_hash;
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
                contents.push(running.request.content_hash);
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
        self.collect_unconfirmed();
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
    pub(super) fn clear_content(&mut self, now_ms: u64, content: &ContentHash) {
        if self.is_refused(content) {
            return;
        }
        self.evidence.clear(*content, now_ms);
        if !self.unconfirmed.remove(content) {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if let Some(loss) = &mut endpoint.loss {
                loss.contents.retain(|lost| lost != content);
            }
        }
    }

    /// Refuses waiting requests whose content crashes endpoints.
    pub(super) fn refuse_contents(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.is_baseline() {
            return;
        }
        let mut refused = Vec::new();
        for (key, waiting) in self.queue.iter() {
            if self.is_refused(&waiting.request.content_hash) {
                refused.push(key);
            }
        }
        for key in refused {
            self.refuse_waiting(now_ms, key, Reason::ContentRefused, effects);
        }
    }
}
