//! Rendezvous hashing, which ranks owners in the same order on every VM.

use crate::Name;

/// Returns the candidates in descending order of their rendezvous hash for `subject`.
///
/// Callers with the same candidates get the same order. Removing a candidate reassigns only the subjects that it owned.
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
