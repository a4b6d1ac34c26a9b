//! Names of VMs, data centres, organisations, endpoints, pools and classes.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A cheaply cloned, immutable name.
///
/// # Examples
///
/// ```
/// use waxwing_core::Name;
///
/// let name = Name::from("engine-1");
/// assert_eq!(name.as_str(), "engine-1");
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Longest well-formed name, in bytes.
pub(crate) const NAME_MAX_BYTES: usize = 64;

impl Name {
    /// Returns whether a text is a well-formed name: 1 to 64 ASCII letters, digits, `-`, `_` or `.`.
    ///
    /// The constructors don't check this; external names are checked where they are read. The length limit also bounds
    /// the size of log records.
    pub fn is_well_formed(text: &str) -> bool {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(is_allowed)
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.to_string()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
