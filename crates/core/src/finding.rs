//! Findings of a settings check, each with its location and remedy.

use std::fmt;

/// One error in a settings text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the file or name of the subtree.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// All findings of a check, ordered by location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Sorts findings by file, line and column.
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort_by(|a, b| (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column)));
        Self(findings)
    }

    /// Returns the findings.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Returns the findings by value.
    pub fn into_vec(self) -> Vec<Finding> {
        self.0
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, line, column) = (&self.file, self.line, self.column);
        write!(
            f,
            "{file}:{line}:{column}: {}; {}",
            self.message, self.remedy
        )
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
