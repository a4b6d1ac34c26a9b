//! Prompts as series of parts, and an estimate of the parts that an engine keeps.

use std::collections::HashMap;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// A prompt and the size of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<Part>,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u64,
}

impl Prompt {
    /// Returns the deepest part that other requests share.
    pub fn shared_part(&self) -> Option<Part> {
        let count = self.parts.len();
        if count < 2 {
            return None;
        }
        self.parts.get(count - 2).copied()
    }

    /// Returns the tokens of all parts but the last.
    pub fn shared_tokens(&self) -> u64 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }
}

/// When a part was last used, and its length.
#[derive(Clone, Copy, Debug)]
struct Use {
    at_ms: u64,
    tokens: u32,
}

/// The parts that an engine probably keeps, judged by what was sent to it.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    uses: HashMap<u64, Use>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns how many leading tokens of a prompt the engine need not read again.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        let mut tokens = 0;
        for part in &prompt.parts {
            if !self.uses.contains_key(&part.id) {
                break;
            }
            tokens += u64::from(part.tokens);
        }
        tokens
    }

    /// Records that the engine has read a prompt; the least recently used parts beyond `capacity_tokens` yield.
    pub fn record(&mut self, prompt: &Prompt, now_ms: u64, capacity_tokens: u64) {
        for part in &prompt.parts {
            let last = Use {
                at_ms: now_ms,
                tokens: part.tokens,
            };
            if self.uses.insert(part.id, last).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        while self.tokens > capacity_tokens {
            let oldest = self.uses.iter().min_by_key(|(_, last)| last.at_ms);
            let Some((id, tokens)) = oldest.map(|(id, last)| (*id, last.tokens)) else {
                break;
            };
            self.uses.remove(&id);
            self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        }
    }
}
