//! The subtree that a command is about.

use waxwing_core::Name;
use waxwing_core::state::settings::change::Subtree;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::error::Result;

/// Returns the subtree of `--team` or `--deployment`, if one is given.
///
/// # Errors
///
/// Fails if both are given.
pub fn parse_subtree(arguments: &Arguments) -> Result<Option<Subtree>> {
    match (arguments.get("team"), arguments.has("deployment")) {
        (Some(_), true) => Err(Error::Usage(
            "--team and --deployment exclude each other".to_owned(),
        )),
        (Some(team), false) => Ok(Some(Subtree::Team(Name::from(team)))),
        (None, true) => Ok(Some(Subtree::Deployment)),
        (None, false) => Ok(None),
    }
}

/// Returns the subtree of `--team` or `--deployment`.
///
/// # Errors
///
/// Fails if none or both are given.
pub fn require_subtree(arguments: &Arguments) -> Result<Subtree> {
    parse_subtree(arguments)?
        .ok_or_else(|| Error::Usage("--team T or --deployment is missing".to_owned()))
}
