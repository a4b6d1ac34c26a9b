//! Runs a scenario under the policies `tiers` and `baseline` in turn and prints medians with minimum and maximum.
//!
//! `cargo run --release -p waxwing-harness --example experiment -- SCENARIO [--seeds 1,2,3] [--out FOLDER]`
//!
//! The example runs the programs of its own build profile: run `cargo build --workspace --release` first.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;
use waxwing_harness::scenario::Outcome;
use waxwing_harness::scenario::Scenario;
use waxwingctl::load;
use waxwingctl::load::ClassReport;

const POLICIES: [&str; 2] = ["tiers", "baseline"];

/// Name of a measure and the function that reads it from a result.
type Measure<T> = (&'static str, fn(&T) -> f64);

struct Options {
    file: String,
    seeds: Vec<u64>,
    out: Option<String>,
}

fn main() -> ExitCode {
    match parse_options().and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("experiment: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse_options() -> Result<Options, String> {
    let mut options = Options {
        file: String::new(),
        seeds: vec![1, 2, 3],
        out: None,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|error| error.to_string())? {
        match arg {
            Arg::Long("seeds") => {
                let list = parse_value(&mut parser)?;
                let seeds: Result<Vec<u64>, _> = list.split(',').map(str::parse).collect();
                options.seeds = seeds.map_err(|error| format!("--seeds {list}: {error}"))?;
            }
            Arg::Long("out") => options.out = Some(parse_value(&mut parser)?),
            Arg::Value(file) => options.file = file.string().map_err(|error| error.to_string())?,
            other => return Err(other.unexpected().to_string()),
        }
    }
    if options.file.is_empty() {
        return Err("a scenario file is missing".to_owned());
    }
    Ok(options)
}

fn parse_value(parser: &mut lexopt::Parser) -> Result<String, String> {
    let value = parser.value().and_then(|value| value.string());
    value.map_err(|error| error.to_string())
}

fn run(options: &Options) -> Result<(), String> {
    let scenario = Scenario::read(&options.file)?;
    let mut outcomes: [Vec<Outcome>; 2] = [Vec::new(), Vec::new()];
    for &seed in &options.seeds {
        for (index, policy) in POLICIES.iter().enumerate() {
            let outcome = scenario.run(policy, seed);
            eprintln!(
                "{} {policy}\n{}",
                scenario.name,
                load::format_table(&outcome.report)
            );
            if let Some(folder) = &options.out {
                write(folder, &scenario.name, policy, &outcome)?;
            }
            outcomes[index].push(outcome);
        }
    }
    print(&scenario, options, &outcomes);
    Ok(())
}

fn write(folder: &str, name: &str, policy: &str, outcome: &Outcome) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let seed = outcome.report.seed;
    let json = serde_json::to_string_pretty(&outcome.report).map_err(|error| error.to_string())?;
    std::fs::write(format!("{folder}/{name}-{policy}-{seed}.json"), json)
        .map_err(|error| error.to_string())?;
    load::write_svg(
        &outcome.report,
        &format!("{folder}/{name}-{policy}-{seed}.svg"),
    )
    .map_err(|error| error.to_string())
}

fn print(scenario: &Scenario, options: &Options, outcomes: &[Vec<Outcome>; 2]) {
    println!(
        "{}, seeds {:?}: median (lowest to highest)\n",
        scenario.name, options.seeds
    );
    println!("| Class | Measure | tiers | baseline |");
    println!("|---|---|---|---|");
    let measures: [Measure<ClassReport>; 5] = [
        ("attainment, %", |class| class.attainment * 100.0),
        ("goodput, 1/s", |class| class.goodput_per_s),
        ("first token p99, ms", |class| class.first_token.p99_ms),
        ("total p99, ms", |class| class.total.p99_ms),
        ("unanswered", |class| class.unanswered() as f64),
    ];
    let Some(first) = outcomes[0].first() else {
        return;
    };
    for class in &first.report.classes {
        for (measure, value) in measures {
            let cells = outcomes.each_ref().map(|runs| {
                let values = runs.iter().filter_map(|run| run.report.class(&class.class));
                format_spread(values.map(value).collect())
            });
            println!(
                "| {} | {measure} | {} | {} |",
                class.class, cells[0], cells[1]
            );
        }
    }
    let totals: [Measure<Outcome>; 3] = [
        ("wasted tokens", |run| run.wasted_tokens),
        ("preemptions", |run| run.preemptions),
        ("calls run twice", |run| run.duplicate_calls as f64),
    ];
    for (measure, value) in totals {
        let cells = outcomes
            .each_ref()
            .map(|runs| format_spread(runs.iter().map(value).collect()));
        println!("| all | {measure} | {} | {} |", cells[0], cells[1]);
    }
}

fn format_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "none".to_owned(),
        [only] => format!("{only:.1}"),
        [lowest, .., highest] => {
            let (low, high) = (values[(values.len() - 1) / 2], values[values.len() / 2]);
            let median = f64::midpoint(low, high);
            format!("{median:.1} ({lowest:.1} to {highest:.1})")
        }
    }
}
