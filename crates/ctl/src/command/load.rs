//! `load`: sends an open-loop load and prints what callers saw.

use super::Command;
use crate::arguments::Arguments;
use crate::arguments::JSON;
use crate::arguments::OptionSpec;
use crate::error::Error;
use crate::error::Result;
use crate::exit::Exit;
use crate::load;
use crate::load::Plan;
use crate::output;

const ENTRIES: OptionSpec = OptionSpec {
    name: "entries",
    value: "A,B,C",
    help: "caller addresses that are asked which entry addresses to use",
};

const DIRECT: OptionSpec = OptionSpec {
    name: "direct",
    value: "A,B,C",
    help: "addresses to call without discovery, for example engines",
};

const SEED: OptionSpec = OptionSpec {
    name: "seed",
    value: "N",
    help: "seed in place of that of the plan",
};

const SVG: OptionSpec = OptionSpec {
    name: "svg",
    value: "FILE",
    help: "also write a plot of attainment over time",
};

pub(super) const COMMAND: Command = Command {
    name: "load",
    positionals: "PLAN",
    summary: "send requests at planned times and print attainment, goodput, percentiles and refusals by class",
    options: &[ENTRIES, DIRECT, SEED, SVG, JSON],
    run,
};

fn run(arguments: &Arguments) -> Result<Exit> {
    let [file] = arguments.positionals(["PLAN"])?;
    let mut plan = Plan::read(file)?;
    if let Some(seed) = arguments.get("seed") {
        let wrong = |_| Error::Usage(format!("--seed `{seed}` is not a whole number"));
        plan.seed = seed.parse().map_err(wrong)?;
    }
    let report = match (arguments.get("entries"), arguments.get("direct")) {
        (Some(entries), None) => load::run(&plan, &parse_addresses(entries))?,
        (None, Some(direct)) => load::run_direct(&plan, &parse_addresses(direct)),
        _ => return Err(Error::Usage("give either --entries or --direct".to_owned())),
    };
    if let Some(svg) = arguments.get("svg") {
        load::write_svg(&report, svg)?;
    }
    if arguments.has("json") {
        output::print_json(&report)?;
    } else {
        output::print_text(&load::format_table(&report))?;
    }
    Ok(Exit::Success)
}

fn parse_addresses(list: &str) -> Vec<String> {
    let parts = list.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}
