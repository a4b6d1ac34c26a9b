//! Signed changes of settings subtrees.

use std::fmt;

use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;

use crate::Name;

/// Prefix of the signed bytes; it prevents the signature from being replayed in another protocol.
const SIGNING_DOMAIN: &[u8] = b"waxwingrouter settings change 1";

/// A part of the settings tree that is replaced as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subtree {
    /// Everything but the teams; changes are signed with a root key.
    Deployment,
    /// The subtree of a team; changes are signed by an operator of the team.
    Team(Name),
}

/// A signed change of a subtree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Subtree to replace.
    pub subtree: Subtree,
    /// Version of the subtree that the change is based on; 0 if it did not exist.
    pub base_version: u64,
    /// New text of the subtree, in TOML.
    pub text: String,
    /// Name of the operator.
    pub author: Name,
    /// Ed25519 signature of [`Change::to_signed_bytes`] by the operator.
    pub signature: [u8; 64],
}

/// Hash that identifies a change; a repeated append of the same change has the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Change {
    /// Creates a change and signs it.
    pub fn sign(
        subtree: Subtree,
        base_version: u64,
        text: String,
        author: Name,
        key: &SigningKey,
    ) -> Self {
        let mut change = Self {
            subtree,
            base_version,
            text,
            author,
            signature: [0; 64],
        };
        change.signature = key.sign(&change.to_signed_bytes()).to_bytes();
        change
    }

    /// Verifies the signature with `key`.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        let signature = Signature::from_bytes(&self.signature);
        key.verify_strict(&self.to_signed_bytes(), &signature)
            .is_ok()
    }

    /// Encodes the fields for signing; each is prefixed with its length, so that the encoding is unambiguous.
    pub fn to_signed_bytes(&self) -> Vec<u8> {
        let mut bytes = SIGNING_DOMAIN.to_vec();
        let subtree = self.subtree.to_string();
        let fields = [subtree.as_str(), self.author.as_str(), self.text.as_str()];
        for field in fields {
            bytes.extend((field.len() as u64).to_le_bytes());
            bytes.extend(field.as_bytes());
        }
        bytes.extend(self.base_version.to_le_bytes());
        bytes
    }

    /// Hashes the change without its signature, since a signer may produce several valid signatures of one change.
    pub fn digest(&self) -> Digest {
        Digest(*blake3::hash(&self.to_signed_bytes()).as_bytes())
    }
}

impl fmt::Display for Subtree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment => f.write_str("deployment"),
            Self::Team(team) => write!(f, "teams.{team}"),
        }
    }
}
