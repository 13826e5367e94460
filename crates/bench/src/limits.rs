//! How closely a client account is held to its rate over several entries.

use crate::call::Outcome;
use crate::fleet::Fleet;
use crate::load::{self, Arrival, Mix, Target};
use crate::plan::{replace, Deployment, Plan};
use crate::stats::{print_last, round};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck_net::http::Client;
use sorreldeck_net::platform::Faults;
use std::time::Duration;

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The seed of the load
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// The deployment
    #[bpaf(long, argument("NAME"), fallback(Deployment::SaaKazi))]
    pub deployment: Deployment,
    /// The limit in requests a second
    #[bpaf(long, argument("N"), fallback(60.0), display_fallback)]
    pub rate: f64,
    /// The load as a multiple of the limit
    #[bpaf(long, argument("X"), fallback(3.0), display_fallback)]
    pub load: f64,
    /// The share of the first entry; the second gets more than half of the rest
    #[bpaf(long, argument("X"), fallback(0.75), display_fallback)]
    pub uneven: f64,
    /// The seconds of each measurement
    #[bpaf(long, argument("S"), fallback(13.0), display_fallback)]
    pub seconds: f64,
}

const WARM_UP: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct Summary {
    ours: f64,
    baseline: f64,
    ratio: f64,
    rate: f64,
    got: f64,
    got_store_down: f64,
    got_baseline: f64,
    error: f64,
    error_store_down: f64,
    worst_window: f64,
    worst_window_store_down: f64,
    wrong: usize,
    seed: u64,
    pass: bool,
}

struct Measured {
    got: f64,
    error: f64,
    worst_window: f64,
    wrong: usize,
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let plan = plan(&options)?;
    let arrivals = mix(&options).draw();
    let healthy = measure(&options, &plan, &arrivals, false).await?;
    let down = measure(&options, &plan, &arrivals, true).await?;
    let mut even = plan.clone();
    even.entry_args.push("--even-limits".into());
    let baseline = measure(&options, &even, &arrivals, false).await?;
    let ours = healthy.error.max(down.error);
    let wrong = healthy.wrong + down.wrong;
    let summary = Summary {
        ours: round(ours),
        baseline: round(baseline.error),
        ratio: round(ours / baseline.error.max(1e-6)),
        rate: options.rate,
        got: round(healthy.got),
        got_store_down: round(down.got),
        got_baseline: round(baseline.got),
        error: round(healthy.error),
        error_store_down: round(down.error),
        worst_window: round(healthy.worst_window),
        worst_window_store_down: round(down.worst_window),
        wrong,
        seed: options.seed,
        pass: wrong == 0 && healthy.error <= 0.05 && down.error <= 0.15,
    };
    print_last(&summary);
    Ok(wrong == 0)
}

fn plan(options: &Options) -> Result<Plan> {
    let mut plan = options.deployment.plan();
    plan.stand.base = 2000;
    plan.stand.each = 50;
    let account = options.deployment.accounts()[0];
    let declared = format!("account = \"{account}\"");
    let limited = format!("{declared}\nrequests = \"{}/s\"", options.rate);
    plan.tree = replace(&plan.tree, &declared, &limited)?;
    Ok(plan)
}

fn mix(options: &Options) -> Mix {
    let rest = 1.0 - options.uneven;
    Mix {
        seed: options.seed,
        time: Duration::from_secs_f64(options.seconds),
        chats: options.rate * options.load,
        plains: 0.0,
        accounts: vec![1.0],
        classes: [0.0, 1.0, 0.0],
        entries: vec![options.uneven, rest * 0.7, rest * 0.3],
        letters: 100,
        shared: 10,
        tokens: (4, 4),
    }
}

async fn measure(
    options: &Options,
    plan: &Plan,
    arrivals: &[Arrival],
    down: bool,
) -> Result<Measured> {
    let fleet = Fleet::start(plan).await?;
    if down {
        let faults = Faults {
            down: true,
            ..Faults::default()
        };
        fleet.set_faults(&faults).await?;
    }
    let target = Target {
        deployment: options.deployment,
        entries: fleet.entries.iter().map(|e| e.address).collect(),
        model: options.deployment.model().0.to_owned(),
        stream: false,
        client: Client::default(),
    };
    let outcomes = load::run(&target, arrivals).await;
    Ok(evaluate(options, arrivals, &outcomes))
}

fn evaluate(options: &Options, arrivals: &[Arrival], outcomes: &[Outcome]) -> Measured {
    let rate_in = |from: Duration, to: Duration| {
        let within = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(a, o)| a.at >= from && a.at < to && o.is_answered());
        within.count() as f64 / (to - from).as_secs_f64()
    };
    let error_of = |got: f64| (got - options.rate).abs() / options.rate;
    let end = Duration::from_secs_f64(options.seconds);
    let got = rate_in(WARM_UP, end);
    let mut worst: f64 = 0.0;
    let mut from = WARM_UP;
    while from + WINDOW <= end {
        worst = worst.max(error_of(rate_in(from, from + WINDOW)));
        from += Duration::from_millis(500);
    }
    // Whoever is not answered must be told that it is the limit, and not run.
    let refused = |o: &&Outcome| !o.is_answered();
    let untrue =
        |o: &&Outcome| o.code != "limit_reached" || o.verdict != Some(sorreldeck::Verdict::NotRun);
    Measured {
        got,
        error: error_of(got),
        worst_window: worst,
        wrong: outcomes.iter().filter(refused).filter(untrue).count(),
    }
}
