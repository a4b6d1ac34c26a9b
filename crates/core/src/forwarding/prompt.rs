//! Prompts as sequences of parts, and an estimate of the parts in an engine's prefix cache.

use std::collections::HashMap;

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part; equal ids mean equal content.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// A prompt and the expected length of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<Part>,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u64,
}

impl Prompt {
    /// Returns the last part that other requests may share: the one before the last.
    pub fn shared_part(&self) -> Option<Part> {
        let count = self.parts.len();
        if count < 2 {
            return None;
        }
        self.parts.get(count - 2).copied()
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens of all parts but the last.
    pub fn shared_tokens(&self) -> u64 {
        let mut tokens = 0;
        for part in self.shared_parts() {
            tokens += u64::from(part.tokens);
        }
        tokens
    }
}

/// Last use and length of a cached part.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    at_ms: u64,
    tokens: u32,
}

/// Estimate of an engine's prefix cache from the prompts that were sent to it, with LRU eviction.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    cached: HashMap<u64, CachedPart>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns the number of leading tokens of a prompt that are probably cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let mut tokens = 0;
        for part in &prompt.parts {
            if !self.cached.contains_key(&part.id) {
                break;
            }
            tokens += u64::from(part.tokens);
        }
        tokens
    }

    /// Adds the parts of a prompt, then evicts the least recently used parts beyond `capacity_tokens`.
    pub fn record(&mut self, prompt: &Prompt, now_ms: u64, capacity_tokens: u64) {
        for part in &prompt.parts {
            let last = CachedPart {
                at_ms: now_ms,
                tokens: part.tokens,
            };
            if self.cached.insert(part.id, last).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        while self.tokens > capacity_tokens {
            let oldest = self.cached.iter().min_by_key(|(_, last)| last.at_ms);
            let Some((id, tokens)) = oldest.map(|(id, last)| (*id, last.tokens)) else {
                break;
            };
            self.cached.remove(&id);
            self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        }
    }
}
