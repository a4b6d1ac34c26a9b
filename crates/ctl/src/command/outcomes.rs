//! `outcomes`: counts from the log lines of many VMs how requests ended, and why.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::OptionSpec;
use crate::error::Error;
use crate::error::Result;
use crate::exit::Exit;
use crate::output;

/// Rows of the table of endpoints, those with most requests that were not answered first.
const ENDPOINTS_MAX: usize = 10;

/// Longest time to a first byte that is told apart, in milliseconds: an hour.
const FIRST_BYTE_MAX_MS: u64 = 3_600_000;

/// Longest span of a step of time, in seconds.
const STEP_MAX_S: u64 = 86_400;

const STEP: OptionSpec = OptionSpec {
    name: "step",
    value: "SECONDS",
    help: "length of a step of time, 1 if not given",
};

pub(super) const COMMAND: Command = Command {
    name: "outcomes",
    positionals: "LOG",
    summary: "count how the requests in a log ended, by route, cause, time and endpoint (- for standard input)",
    options: &[STEP, JSON],
    run,
};

/// The line of a request that got its final answer, or whose caller left.
#[derive(Debug, Deserialize)]
struct RequestEnd {
    event: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    runs: String,
    #[serde(default)]
    first_byte_ms: u64,
    #[serde(default)]
    total_ms: u64,
    #[serde(default)]
    time_ms: u64,
}

/// Requests by outcome.
type Outcomes = BTreeMap<String, u64>;

/// What a log says of its requests.
#[derive(Debug, Default, Serialize)]
struct Report {
    routes: BTreeMap<String, Route>,
    /// By route, outcome and how the last run ended.
    causes: BTreeMap<String, u64>,
    /// By the Unix time at which the requests arrived, in seconds.
    times_s: BTreeMap<u64, Outcomes>,
    /// Requests that were not answered, by the endpoint of the last run.
    endpoints: BTreeMap<String, Outcomes>,
    /// Lines that hold no request.
    other_lines: u64,
}

#[derive(Debug, Serialize)]
struct Route {
    outcomes: Outcomes,
    #[serde(skip)]
    first_bytes_ms: Histogram<u64>,
}

impl Default for Route {
    fn default() -> Self {
        let first_bytes_ms =
            Histogram::new_with_bounds(1, FIRST_BYTE_MAX_MS, 2).expect("the bounds are constant");
        Self {
            outcomes: Outcomes::new(),
            first_bytes_ms,
        }
    }
}

impl Report {
    fn add_line(&mut self, line: &str, step_s: u64) {
        // Collectors may put the time or the name of the VM before the JSON.
        let json = line.find('{').map_or("", |start| &line[start..]);
        match serde_json::from_str::<RequestEnd>(json) {
            Ok(end) if end.event == "request_end" => self.add(&end, step_s),
            _ => self.other_lines += 1,
        }
    }

    fn add(&mut self, end: &RequestEnd, step_s: u64) {
        let route = self.routes.entry(end.route.clone()).or_default();
        *route.outcomes.entry(end.outcome.clone()).or_default() += 1;
        let arrived_s = end.time_ms.saturating_sub(end.total_ms) / 1_000 / step_s * step_s;
        let time = self.times_s.entry(arrived_s).or_default();
        *time.entry(end.outcome.clone()).or_default() += 1;
        if end.outcome == "answered" {
            route.first_bytes_ms.saturating_record(end.first_byte_ms);
            return;
        }
        // A run reads `endpoint:end@from-to[load]`.
        let last = end.runs.split(' ').rfind(|run| run.contains(":"));
        let (endpoint, rest) = last.and_then(|run| run.split_once(':')).unwrap_or_default();
        let run_end = rest.split('@').next().unwrap_or("");
        let began = match (end.first_byte_ms, run_end) {
            (0, "") => "no run",
            (0, _) => run_end,
            _ => "after the first byte",
        };
        let cause = format!("{}\t{}\t{began}", end.route, end.outcome);
        *self.causes.entry(cause).or_default() += 1;
        if !endpoint.is_empty() {
            let outcomes = self.endpoints.entry(endpoint.to_owned()).or_default();
            *outcomes.entry(end.outcome.clone()).or_default() += 1;
        }
    }

    fn print(&self) -> Result<()> {
        let mut rows = vec![output::table_row([
            "ROUTE",
            "REQUESTS",
            "FIRST BYTE P50 MS",
            "P99 MS",
            "OUTCOMES",
        ])];
        for (name, route) in &self.routes {
            let requests: u64 = route.outcomes.values().sum();
            let first_byte_ms = |share| route.first_bytes_ms.value_at_quantile(share).to_string();
            rows.push(vec![
                name.clone(),
                requests.to_string(),
                first_byte_ms(0.5),
                first_byte_ms(0.99),
                format_outcomes(&route.outcomes),
            ]);
        }
        output::print_table(&rows)?;
        output::print_text("\n")?;
        let mut rows = vec![output::table_row([
            "ROUTE", "OUTCOME", "LAST RUN", "REQUESTS",
        ])];
        let mut causes: Vec<(&String, &u64)> = self.causes.iter().collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (cause, count) in causes {
            let mut row: Vec<String> = cause.split('\t').map(str::to_owned).collect();
            row.push(count.to_string());
            rows.push(row);
        }
        output::print_table(&rows)?;
        output::print_text("\n")?;
        let mut rows = vec![output::table_row(["ARRIVED", "OUTCOMES"])];
        for (time_s, outcomes) in &self.times_s {
            rows.push(vec![
                output::format_time(time_s * 1_000),
                format_outcomes(outcomes),
            ]);
        }
        output::print_table(&rows)?;
        output::print_text("\n")?;
        let mut rows = vec![output::table_row(["ENDPOINT", "NOT ANSWERED"])];
        let mut endpoints: Vec<(&String, &Outcomes)> = self.endpoints.iter().collect();
        endpoints.sort_by_key(|(_, outcomes)| std::cmp::Reverse(outcomes.values().sum::<u64>()));
        for (endpoint, outcomes) in endpoints.into_iter().take(ENDPOINTS_MAX) {
            rows.push(vec![endpoint.clone(), format_outcomes(outcomes)]);
        }
        output::print_table(&rows)
    }
}

fn format_outcomes(outcomes: &Outcomes) -> String {
    let parts: Vec<String> = outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome} {count}"))
        .collect();
    parts.join(", ")
}

fn run(arguments: &Arguments) -> Result<Exit> {
    let [path] = arguments.positionals(["LOG"])?;
    let step_s: u64 = match arguments.get("step") {
        Some(text) => text
            .parse()
            .ok()
            .filter(|step| (1..=STEP_MAX_S).contains(step))
            .ok_or_else(|| Error::Usage(format!("--step {text}: expected 1 to {STEP_MAX_S}")))?,
        None => 1,
    };
    let file_error = |source| Error::File {
        path: path.to_owned(),
        source,
    };
    let mut input: Box<dyn BufRead> = match path {
        "-" => Box::new(std::io::stdin().lock()),
        _ => Box::new(BufReader::new(File::open(path).map_err(file_error)?)),
    };
    let mut report = Report::default();
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line).map_err(file_error)? > 0 {
        report.add_line(&String::from_utf8_lossy(&line), step_s);
        line.clear();
    }
    if report.routes.is_empty() {
        eprintln!("{path} holds no line of a request that ended");
        return Ok(Exit::Failure);
    }
    if arguments.has("json") {
        output::print_json(&report)?;
        return Ok(Exit::Success);
    }
    report.print()?;
    Ok(Exit::Success)
}
