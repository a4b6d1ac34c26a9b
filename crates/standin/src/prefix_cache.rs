//! Prefix cache of an engine: an LRU cache of prompt prefixes, limited by its number of tokens.

use std::collections::VecDeque;

use serde_json::Value;

/// Bytes of text per prompt token.
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct Entry {
    prefix: blake3::Hash,
    message_tokens: u64,
}

/// LRU cache with one entry for each message and the messages before it; the least recently used entry comes first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    tokens_max: u64,
    tokens: u64,
    entries: VecDeque<Entry>,
}

impl PrefixCache {
    pub(crate) fn new(tokens_max: u64) -> Self {
        Self {
            tokens_max,
            tokens: 0,
            entries: VecDeque::new(),
        }
    }

    /// Stores the prompt and returns how many of its tokens were not in the cache.
    pub(crate) fn insert(&mut self, messages: &[Value]) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let mut missing_tokens = 0;
        for message in messages {
            let text = message.to_string();
            hasher.update(text.as_bytes());
            let entry = Entry {
                prefix: hasher.finalize(),
                message_tokens: (text.len() as u64).div_ceil(BYTES_PER_TOKEN),
            };
            let known = self.entries.iter().position(|e| e.prefix == entry.prefix);
            match known.and_then(|index| self.entries.remove(index)) {
                Some(_) => {}
                None => {
                    missing_tokens += entry.message_tokens;
                    self.tokens += entry.message_tokens;
                }
            }
            self.entries.push_back(entry);
        }
        while self.tokens > self.tokens_max
            && let Some(oldest) = self.entries.pop_front()
        {
            self.tokens -= oldest.message_tokens;
        }
        missing_tokens
    }
}
