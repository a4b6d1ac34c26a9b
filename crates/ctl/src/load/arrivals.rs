//! Arrival times and lengths, drawn before the run from the seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use rand_distr::StandardNormal;

use crate::load::plan::Kind;
use crate::load::plan::Plan;
use crate::load::plan::Stream;

/// Shortest answer in tokens.
const TOKENS_MIN: f64 = 1.0;

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// Time from the start of the run, in microseconds.
    pub at_us: u64,
    /// Index of the stream in the plan.
    pub stream: usize,
    /// Number of the request within its stream.
    pub number: u64,
    /// Length of the answer in tokens; 0 for a call to a plain service.
    pub tokens: u32,
    /// Which first message a chat request has.
    pub prefix: u32,
}

/// Returns the arrivals of all streams in time order; the same plan gives the same arrivals.
pub(crate) fn generate_arrivals(plan: &Plan) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        // A stream of its own for each class, so that a change to one leaves the others as they are.
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        random.set_stream(index as u64);
        add_stream(plan, index, stream, &mut random, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.at_us, arrival.stream, arrival.number));
    arrivals
}

/// Draws a Poisson process at the highest rate and thins it to the rate of the moment.
fn add_stream(
    plan: &Plan,
    index: usize,
    stream: &Stream,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let highest = stream
        .phases
        .iter()
        .map(|phase| phase.factor)
        .fold(1.0, f64::max);
    let rate_per_s = stream.rate_per_s * highest;
    if rate_per_s <= 0.0 {
        return;
    }
    let mut at_s = 0.0;
    let mut number = 0;
    loop {
        at_s += random.sample::<f64, _>(Exp1) / rate_per_s;
        if at_s >= plan.duration_s {
            return;
        }
        if random.random::<f64>() * highest > rate_factor(stream, at_s) {
            continue;
        }
        let (tokens, prefix) = draw_length(stream, random);
        arrivals.push(Arrival {
            at_us: (at_s * 1e6) as u64,
            stream: index,
            number,
            tokens,
            prefix,
        });
        number += 1;
    }
}

fn rate_factor(stream: &Stream, at_s: f64) -> f64 {
    for phase in &stream.phases {
        if at_s >= phase.from_s && at_s < phase.to_s {
            return phase.factor;
        }
    }
    1.0
}

fn draw_length(stream: &Stream, random: &mut ChaCha8Rng) -> (u32, u32) {
    let Kind::Chat {
        tokens,
        tokens_sigma,
        straggler_share,
        straggler_factor,
        prefixes,
        ..
    } = &stream.call
    else {
        return (0, 0);
    };
    let mut length =
        f64::from(*tokens) * (tokens_sigma * random.sample::<f64, _>(StandardNormal)).exp();
    if random.random::<f64>() < *straggler_share {
        length *= f64::from(*straggler_factor);
    }
    let prefix = random.random_range(0..(*prefixes).max(1));
    (length.max(TOKENS_MIN) as u32, prefix)
}
