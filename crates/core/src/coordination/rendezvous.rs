//! Rendezvous hashing, which gives every process the same order of owners.

use crate::Name;

/// Returns the candidates in descending rendezvous order for `subject`.
///
/// Processes that know the same candidates agree on the order. Removing a candidate moves only what it owned.
pub fn rank_candidates<'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = &'a Name>,
) -> Vec<&'a Name> {
    let mut scored: Vec<(u64, &Name)> = Vec::new();
    for candidate in candidates {
        scored.push((score(subject, candidate), candidate));
    }
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}

fn score(subject: &str, candidate: &Name) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_str().as_bytes());
    let mut head = [0; 8];
    hasher.finalize_xof().fill(&mut head);
    u64::from_le_bytes(head)
}
