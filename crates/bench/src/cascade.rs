//! What a cascade costs against always asking the dear version.

use crate::call::Outcome;
use crate::fleet::Fleet;
use crate::load::{self, Arrival, Mix, Target};
use crate::plan::{Deployment, Plan};
use crate::stats::{print_last, round};
use async_std::task;
use bpaf::Bpaf;
use eyre::Result;
use futures_lite::FutureExt;
use serde::Serialize;
use serde_json::{json, Value};
use sorreldeck_emulator::quality::{Quality, Skill};
use sorreldeck_emulator::text;
use sorreldeck_net::http::Client;
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
    /// The mean rating that answers must reach
    #[bpaf(long, argument("X"), fallback(0.8), display_fallback)]
    pub target: f64,
    /// The price of the dear version as a multiple of the cheap one's
    #[bpaf(long, argument("X"), fallback(10), display_fallback)]
    pub price_ratio: u64,
    /// The difficulty up to which the cheap version is good
    #[bpaf(long, argument("X"), fallback(0.65), display_fallback)]
    pub skill: f64,
    /// The same after the shift midway
    #[bpaf(long, argument("X"), fallback(0.5), display_fallback)]
    pub skill_after: f64,
    /// The share of good answers of the dear version
    #[bpaf(long, argument("X"), fallback(0.95), display_fallback)]
    pub dear: f64,
    /// The requests a second
    #[bpaf(long, argument("N"), fallback(220.0), display_fallback)]
    pub rate: f64,
    /// The seconds of the measurement
    #[bpaf(long, argument("S"), fallback(44.0), display_fallback)]
    pub seconds: f64,
    /// The lag of ratings in milliseconds
    #[bpaf(long, argument("MS"), fallback(200), display_fallback)]
    pub lag: u64,
}

#[derive(Debug, Serialize)]
struct Summary {
    ours: f64,
    baseline: f64,
    ratio: f64,
    quality: f64,
    quality_lower_95: f64,
    target: f64,
    hindsight: f64,
    over_hindsight: f64,
    quality_after_shift: f64,
    over_hindsight_after_shift: f64,
    answered: usize,
    wrong: usize,
    seed: u64,
    pass: bool,
}

/// One request with what either version would have given it.
struct Case {
    confidence: f64,
    cheap: f64,
    dear: f64,
    given: f64,
    used_dear: bool,
    used_cheap: bool,
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let plan = plan(&options)?;
    let fleet = Fleet::start(&plan).await?;
    let arrivals = mix(&options).draw();
    let cheap = options.deployment.cheap_version();
    set_skill(&fleet, &options, options.skill).await?;
    let target = Target {
        deployment: options.deployment,
        entries: fleet.entries.iter().map(|e| e.address).collect(),
        model: "thrifty".into(),
        stream: false,
        client: Client::default(),
    };
    let half = options.seconds / 2.0;
    let shift = async {
        task::sleep(Duration::from_secs_f64(half)).await;
        let _ = set_skill(&fleet, &options, options.skill_after).await;
        futures_lite::future::pending::<Vec<Outcome>>().await
    };
    let outcomes = load::run(&target, &arrivals).or(shift).await;
    let bill = bill(&fleet, cheap).await?;
    let cases = cases(&options, &arrivals, &outcomes);
    let (before, after): (Vec<_>, Vec<_>) = cases
        .into_iter()
        .partition(|(at, _)| at.as_secs_f64() < half);
    let summary = summarise(&options, &outcomes, &before, &after, bill);
    print_last(&summary);
    Ok(summary.wrong == 0)
}

fn plan(options: &Options) -> Result<Plan> {
    let mut plan = options.deployment.plan();
    plan.stand.base = 1000;
    plan.stand.each = 20;
    let percent = round(options.target * 100.0);
    plan.tree = crate::plan::replace(
        &plan.tree,
        "target = \"80%\"",
        &format!("target = \"{percent}%\""),
    )?;
    let dear_in = format!("price_in = {}", 50 * options.price_ratio);
    let dear_out = format!("price_out = {}", 150 * options.price_ratio);
    plan.tree = plan.tree.replace("price_in = 500", &dear_in);
    plan.tree = plan.tree.replace("price_out = 1500", &dear_out);
    Ok(plan)
}

fn mix(options: &Options) -> Mix {
    Mix {
        seed: options.seed,
        time: Duration::from_secs_f64(options.seconds),
        chats: options.rate,
        plains: 0.0,
        accounts: vec![1.0; 10],
        classes: [0.0, 1.0, 0.0],
        // Each entry learns by itself, so the balancer keeps to one of them
        // what one entry of this size would see.
        entries: vec![1.0],
        letters: 100,
        shared: 10,
        tokens: (4, 4),
    }
}

async fn set_skill(fleet: &Fleet, options: &Options, skill: f64) -> Result<()> {
    let cheap = options.deployment.cheap_version();
    let dear = options.deployment.model().1;
    // The shift changes how good answers are, not how sure the engine is.
    let body = json!({cheap: format!("~{skill}"), dear: options.dear.to_string()});
    fleet
        .order(fleet.addresses.platform, "/skills", &body)
        .await?;
    let faults = sorreldeck_net::platform::Faults {
        rating_lag: Some(sorreldeck::Span::from_millis(options.lag)),
        ..Default::default()
    };
    fleet.set_faults(&faults).await
}

/// Returns the runs of the cheap version and of the others by the bill.
async fn bill(fleet: &Fleet, cheap: &str) -> Result<(u64, u64)> {
    // Records are written when they are five seconds old at the latest.
    task::sleep(Duration::from_millis(6500)).await;
    let reply = fleet
        .admin(0, "GET", "/admin/v1/bill", &[], &Value::Null)
        .await?;
    let bill: Value = serde_json::from_slice(&reply.body)?;
    let mut runs = (0, 0);
    for line in bill["lines"].as_array().into_iter().flatten() {
        let n = line["requests"].as_u64().unwrap_or(0);
        match line["version"] == cheap {
            true => runs.0 += n,
            false => runs.1 += n,
        }
    }
    Ok(runs)
}

type Timed = (Duration, Case);

fn cases(options: &Options, arrivals: &[Arrival], outcomes: &[Outcome]) -> Vec<Timed> {
    let cheap = options.deployment.cheap_version();
    let dear = options.deployment.model().1;
    let quality = |skill: f64| {
        let quality = Quality::default();
        quality.set(cheap, Skill::Graded(skill));
        quality.set(dear, Skill::Flat(options.dear));
        quality
    };
    let (first, then) = (quality(options.skill), quality(options.skill_after));
    let half = options.seconds / 2.0;
    let mut cases = Vec::new();
    for (arrival, outcome) in arrivals
        .iter()
        .zip(outcomes)
        .filter(|(_, o)| o.is_answered())
    {
        let quality = if arrival.at.as_secs_f64() < half {
            &first
        } else {
            &then
        };
        let seed = text::seed(&arrival.prompt);
        let (cheap_score, dear_score) = (quality.score(cheap, seed), quality.score(dear, seed));
        let used_dear = outcome.version == dear;
        let case = Case {
            confidence: first.confidence(cheap, seed),
            cheap: cheap_score,
            dear: dear_score,
            given: if used_dear { dear_score } else { cheap_score },
            used_dear,
            used_cheap: !used_dear || outcome.request_steps() > 1,
        };
        cases.push((arrival.at, case));
    }
    cases
}

/// Returns the cost of the best fixed threshold that reaches the target, with
/// the price of a cheap answer as 1.
fn hindsight(options: &Options, cases: &[Timed]) -> f64 {
    let n = cases.len() as f64;
    let ratio = options.price_ratio as f64;
    let mut best = ratio;
    for step in 0..=100 {
        let threshold = f64::from(step) / 100.0;
        let accepted = |c: &Case| c.confidence >= threshold;
        let quality: f64 = cases
            .iter()
            .map(|(_, c)| if accepted(c) { c.cheap } else { c.dear })
            .sum();
        let escalated = cases.iter().filter(|(_, c)| !accepted(c)).count() as f64;
        let cost = 1.0 + escalated / n * ratio;
        if quality / n >= options.target && cost < best {
            best = cost;
        }
    }
    best
}

fn cost(options: &Options, cases: &[Timed]) -> f64 {
    let ratio = options.price_ratio as f64;
    let of =
        |c: &Case| f64::from(u8::from(c.used_cheap)) + f64::from(u8::from(c.used_dear)) * ratio;
    cases.iter().map(|(_, c)| of(c)).sum::<f64>() / cases.len().max(1) as f64
}

fn mean_given(cases: &[Timed]) -> f64 {
    cases.iter().map(|(_, c)| c.given).sum::<f64>() / cases.len().max(1) as f64
}

fn summarise(
    options: &Options,
    outcomes: &[Outcome],
    before: &[Timed],
    after: &[Timed],
    bill: (u64, u64),
) -> Summary {
    let n = (before.len() + after.len()) as f64;
    let wrong = outcomes.iter().filter(|o| !o.is_answered()).count();
    let quality =
        (mean_given(before) * before.len() as f64 + mean_given(after) * after.len() as f64) / n;
    let lower = quality - 1.645 * (quality * (1.0 - quality) / n).sqrt();
    let ratio = options.price_ratio as f64;
    // The bill is the truth about cost; the cases only divide it in time.
    let ours = (bill.0 as f64 + bill.1 as f64 * ratio) / n;
    let best_before = hindsight(options, before);
    let best_after = hindsight(options, after);
    let best = (best_before * before.len() as f64 + best_after * after.len() as f64) / n;
    let over = ours / best;
    let over_after = cost(options, after) / best_after;
    println!(
        "runs by the bill: {} cheap, {} dear; before the shift: quality {:.4}, cost {:.3}, best {:.3}",
        bill.0,
        bill.1,
        mean_given(before),
        cost(options, before),
        best_before
    );
    Summary {
        ours: round(ours),
        baseline: ratio,
        ratio: round(ours / ratio),
        quality: round(quality),
        quality_lower_95: round(lower),
        target: options.target,
        hindsight: round(best),
        over_hindsight: round(over),
        quality_after_shift: round(mean_given(after)),
        over_hindsight_after_shift: round(over_after),
        answered: outcomes.len() - wrong,
        wrong,
        seed: options.seed,
        pass: wrong == 0
            && ours / ratio <= 0.6
            && lower >= options.target
            && over <= 1.1
            && over_after <= 1.1,
    }
}
