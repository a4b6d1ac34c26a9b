//! Attribution of endpoint crashes to request contents.

use super::Effect;
use super::Endpoint;
use super::RunKey;
use super::Scheduler;
use super::SlotRequest;
use super::endpoint::SuspectedCrash;
use crate::Name;
use crate::Reason;
use crate::state::evidence::ContentHash;
use crate::state::evidence::UNKNOWN_CONTENT;

impl Scheduler {
    /// Returns whether the content was running on a lost endpoint and is neither cleared nor refused.
    ///
    /// A lost connection makes its content a suspect before a probe confirms the crash. Retries arrive sooner than the
    /// probe, and other contents placed with the crashing one on its next endpoint would be blamed for that crash too.
    pub(super) fn is_suspect(&self, request: &SlotRequest) -> bool {
        if self.is_baseline() {
            return false;
        }
        if self.unconfirmed_contents.contains(&request.content_hash) {
            return true;
        }
        let crashes = self.evidence.crash_count(&request.content_hash);
        crashes > 0 && crashes < self.config.poison_endpoints_max as usize
    }

    /// Returns whether the endpoint crashed, or is suspected of it, while it ran the content.
    pub(super) fn has_crashed(&self, content: &ContentHash, endpoint: &Endpoint) -> bool {
        let is_suspected = endpoint
            .suspected_crash
            .as_ref()
            .is_some_and(|crash| crash.contents.contains(content));
        is_suspected || self.evidence.has_crashed(content, &endpoint.spec.name)
    }

    fn update_unconfirmed_contents(&mut self) {
        self.unconfirmed_contents.clear();
        for endpoint in self.endpoints.values() {
            if let Some(crash) = &endpoint.suspected_crash {
                self.unconfirmed_contents.extend(&crash.contents);
            }
        }
        self.unconfirmed_contents.remove(&UNKNOWN_CONTENT);
    }

    /// Records a lost connection, which counts as a crash once a probe confirms it.
    pub(super) fn record_connection_loss(&mut self, now_ms: u64, key: RunKey) {
        self.add_suspected_crash(now_ms, key);
        self.update_unconfirmed_contents();
    }

    fn add_suspected_crash(&mut self, now_ms: u64, key: RunKey) {
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
        if let Some(crash) = &mut endpoint.suspected_crash {
            crash.at_ms = now_ms;
            if !crash.contents.contains(&content) {
                crash.contents.push(content);
            }
            return;
        }
        let mut contents = Vec::new();
        for running in self.running.values() {
            if running.endpoint == endpoint_key {
                contents.push(running.request.content_hash);
            }
        }
        endpoint.suspected_crash = Some(SuspectedCrash {
            at_ms: now_ms,
            contents,
        });
    }

    /// Handles the result of a health probe.
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
        self.update_unconfirmed_contents();
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

    /// Clears a content of suspicion after it finished, unless it is already refused.
    pub(super) fn clear_content(&mut self, now_ms: u64, content: &ContentHash) {
        if self.is_refused(content) {
            return;
        }
        self.evidence.clear(*content, now_ms);
        if !self.unconfirmed_contents.remove(content) {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if let Some(crash) = &mut endpoint.suspected_crash {
                crash.contents.retain(|lost| lost != content);
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
