//! A load report as a table.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::load::report::Report;

/// Returns the report as a table for people.
pub fn format_table(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_table(&mut text, report);
    text
}

fn write_table(text: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(text, "seed {}, {:.1} s", report.seed, report.elapsed_s)?;
    writeln!(
        text,
        "{:<16} {:>9} {:>7} {:>8} {:>10} {:>9} {:>9} {:>28} {:>28}",
        "class",
        "target ms",
        "sent",
        "answered",
        "attainment",
        "good/s",
        "tokens/s",
        "first token p50/95/99 ms",
        "total p50/95/99 ms"
    )?;
    for class in &report.classes {
        let format_times = |times: &super::Percentiles| {
            format!(
                "{:.0}/{:.0}/{:.0}",
                times.p50_ms, times.p95_ms, times.p99_ms
            )
        };
        writeln!(
            text,
            "{:<16} {:>9} {:>7} {:>8} {:>9.1}% {:>9.2} {:>9.1} {:>28} {:>28}",
            class.class,
            class.target_ms,
            class.sent,
            class.answered,
            class.attainment * 100.0,
            class.goodput_per_s,
            class.tokens_per_s,
            format_times(&class.first_token),
            format_times(&class.total),
        )?;
    }
    for class in &report.classes {
        write_counts(text, &class.class, "refused", &class.refusals)?;
        write_counts(text, &class.class, "retried", &class.retries)?;
        write_counts(text, &class.class, "broken", &class.broken)?;
    }
    Ok(())
}

fn write_counts(
    text: &mut String,
    class: &str,
    kind: &str,
    counts: &BTreeMap<String, u64>,
) -> std::fmt::Result {
    for (reason, count) in counts {
        writeln!(text, "{class}: {kind} {count} x {reason}")?;
    }
    Ok(())
}
