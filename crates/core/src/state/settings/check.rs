//! Validation of subtree texts that collects all findings.

mod deployment;
mod team;

pub use deployment::PUBLIC_KEY_REMEDY;
pub use deployment::parse_public_key;

use super::Settings;
use super::Team;
use crate::document::Document;
use crate::finding::Finding;
use crate::finding::Findings;

/// Longest text of a subtree, in bytes.
///
/// A snapshot stores all subtrees in one log record, so each must be well below the size limit of a record.
pub const TEXT_MAX_BYTES: usize = 1_024 * 1_024;

/// Largest tier number; there are four tiers and 0 is the most urgent.
pub const TIER_MAX: u8 = 3;

/// Checks the text of the deployment subtree and returns a tree without teams.
///
/// # Errors
///
/// Fails with all findings if there are any.
///
/// # Examples
///
/// ```
/// use waxwing_core::state::settings::check;
///
/// let findings = check::check_deployment("deployment", "[pools.chat]\nkind = 7\n").unwrap_err();
/// assert_eq!(findings.as_slice()[0].line, 2);
/// ```
pub fn check_deployment(file: &str, text: &str) -> Result<Settings, Findings> {
    check_length(file, text)?;
    let (document, root) = Document::parse(file, text);
    let mut table = document.root(&root);
    let settings = deployment::read(&document, &mut table);
    table.finish();
    document.finish().map(|()| settings)
}

/// Checks the text of a team's subtree against the deployment subtree.
///
/// # Errors
///
/// Fails with all findings if there are any.
pub fn check_team(file: &str, text: &str, deployment: &Settings) -> Result<Team, Findings> {
    check_team_text(file, text, Some(deployment))
}

/// Checks the text of a team's subtree without references to the deployment subtree.
///
/// # Errors
///
/// Fails with all findings if there are any.
pub fn check_team_alone(file: &str, text: &str) -> Result<Team, Findings> {
    check_team_text(file, text, None)
}

/// Checks the text of a whole tree: the deployment subtree at the root and each team in `[teams.NAME]`.
///
/// # Errors
///
/// Fails with all findings if there are any.
pub fn check_tree(file: &str, text: &str) -> Result<Settings, Findings> {
    let (document, root) = Document::parse(file, text);
    let mut table = document.root(&root);
    let mut settings = deployment::read(&document, &mut table);
    for (name, mut team) in table.tables("teams") {
        let read = team::read(&mut team, Some(&settings));
        team.finish();
        settings.teams.insert(name, read);
    }
    table.finish();
    document.finish().map(|()| settings)
}

fn check_team_text(
    file: &str,
    text: &str,
    deployment: Option<&Settings>,
) -> Result<Team, Findings> {
    check_length(file, text)?;
    let (document, root) = Document::parse(file, text);
    let mut table = document.root(&root);
    let team = team::read(&mut table, deployment);
    table.finish();
    document.finish().map(|()| team)
}

/// Rejects an overlong text before it is parsed.
fn check_length(file: &str, text: &str) -> Result<(), Findings> {
    if text.len() <= TEXT_MAX_BYTES {
        return Ok(());
    }
    Err(Findings::new(vec![Finding {
        file: file.to_owned(),
        line: 1,
        column: 1,
        message: format!("the text has {} bytes", text.len()),
        remedy: format!("shorten it to at most {TEXT_MAX_BYTES} bytes"),
    }]))
}
