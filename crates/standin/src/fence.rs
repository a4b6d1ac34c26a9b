//! Fencing tokens that an endpoint has accepted.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Highest fencing token of each scope.
#[derive(Debug, Default)]
pub(crate) struct FencingTokens {
    highest: BTreeMap<String, u64>,
    is_checked: bool,
}

/// Answer to an order, with status 200 if it was accepted and 412 if its fencing token is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Highest fencing token of the scope.
    pub fence: u64,
}

impl FencingTokens {
    pub(crate) fn new(is_checked: bool) -> Self {
        Self {
            is_checked,
            ..Self::default()
        }
    }

    /// Accepts a token and returns the highest token of its scope.
    ///
    /// # Errors
    ///
    /// Fails with the highest token if tokens are checked and this one is stale.
    pub(crate) fn raise(&mut self, scope: &str, fence: u64) -> Result<u64, u64> {
        let highest = self.highest.entry(scope.to_owned()).or_default();
        if self.is_checked && fence < *highest {
            return Err(*highest);
        }
        *highest = fence.max(*highest);
        Ok(*highest)
    }

    /// Returns the highest token of all scopes, or 0 if tokens are not checked.
    pub(crate) fn highest(&self) -> u64 {
        if !self.is_checked {
            return 0;
        }
        self.highest.values().copied().max().unwrap_or(0)
    }
}
