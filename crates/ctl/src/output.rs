//! Tables and JSON on standard output.

use std::io::Write;

use chrono::DateTime;
use chrono::SecondsFormat;
use serde::Serialize;
use tabwriter::TabWriter;

use crate::error::Error;
use crate::error::Result;

/// Prints rows in aligned columns; the first row is the heading.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn print_table(rows: &[Vec<String>]) -> Result<()> {
    let mut writer = TabWriter::new(std::io::stdout().lock()).padding(2);
    for row in rows {
        writeln!(writer, "{}", row.join("\t"))?;
    }
    writer.flush()?;
    Ok(())
}

/// Prints a value as indented JSON.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(Error::Json)?;
    writeln!(std::io::stdout().lock(), "{text}")?;
    Ok(())
}

/// Prints a text as it is.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn print_text(text: &str) -> Result<()> {
    std::io::stdout().lock().write_all(text.as_bytes())?;
    Ok(())
}

/// Returns a row of a table.
pub fn table_row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

/// Returns a time in milliseconds since the epoch as text, in UTC.
pub fn format_time(time_ms: u64) -> String {
    let time = i64::try_from(time_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || time_ms.to_string(),
        |time| time.to_rfc3339_opts(SecondsFormat::Secs, true),
    )
}
