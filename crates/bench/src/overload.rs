//! What happens when more comes than there is capacity for.

use crate::call::Outcome;
use crate::fleet::Fleet;
use crate::load::{self, Arrival, Mix, Target};
use crate::plan::{Deployment, Plan};
use crate::stats::{print_last, round, Times};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck::Class;
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
    /// The load as a multiple of the capacity
    #[bpaf(long, argument("X"), fallback(1.5), display_fallback)]
    pub load: f64,
    /// The share of the largest client account
    #[bpaf(long, argument("X"), fallback(0.5), display_fallback)]
    pub large: f64,
    /// The seconds of each measurement
    #[bpaf(long, argument("S"), fallback(12.0), display_fallback)]
    pub seconds: f64,
    /// How the baseline chooses an upstream
    #[bpaf(long, argument("POLICY"), fallback("round-robin".into()), display_fallback)]
    pub baseline: String,
    /// Give ours the baseline's plain queue, to see what choosing alone brings
    #[bpaf(long, switch)]
    pub fifo: bool,
    /// Take the sidecars' ledgers out of ours: entries choose, and what they send starts at once
    #[bpaf(long, switch)]
    pub coarse: bool,
}

/// The time within which an answer must begin: what comes later is worth nothing.
const DEADLINE: Duration = Duration::from_secs(2);
/// The beginning of a run is left out: queues are still filling.
const WARM_UP: Duration = Duration::from_secs(3);
const PROMPT_LETTERS: usize = 3200;
const SHARED_LETTERS: usize = 1024;
const TOKENS: (u32, u32) = (20, 60);
const PLAINS: f64 = 100.0;
const CLASSES: [f64; 3] = [0.2, 0.6, 0.2];
/// The weights of the classes in a sidecar's queue, the lowest first.
const WEIGHTS: [f64; 3] = [64.0, 8.0, 1.0];

#[derive(Debug, Serialize)]
struct Summary {
    ours: f64,
    baseline: f64,
    ratio: f64,
    capacity: f64,
    goodput_of_capacity: f64,
    priority_ttft_ms_p99: f64,
    priority_ttft_ms_p99_unloaded: f64,
    priority_ratio: f64,
    plain_ms_p99: f64,
    plain_ms_p99_unloaded: f64,
    plain_ratio: f64,
    smallest_of_fair_share: f64,
    refused_not_run: usize,
    lost: usize,
    seed: u64,
    pass: bool,
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let plan = plan(options.deployment)?;
    let fleet = Fleet::start(&plan).await?;
    let capacity = capacity(&options, &fleet).await;
    let mut quiet_mix = mix(&options, capacity * 0.15, 10.0);
    // All of them urgent: a fifth of so few would not do for a percentile.
    quiet_mix.classes = [1.0, 0.0, 0.0];
    let quiet_load = quiet_mix.draw();
    let quiet = load::run(&target(&options, &fleet), &quiet_load).await;
    drop(fleet);
    let busy_load = mix(&options, capacity * options.load, options.seconds).draw();
    let ours = measure(&options, &plan_of_ours(&plan, &options), &busy_load).await?;
    let baseline = measure(&options, &plan_of_baseline(&plan, &options), &busy_load).await?;
    let summary = summarise(
        &options,
        capacity,
        (&quiet_load, &quiet),
        (&busy_load, &ours, &baseline),
    );
    print_last(&summary);
    Ok(summary.lost == 0)
}

/// Slow engines with few slots: the load that fills them fits this machine.
fn plan(deployment: Deployment) -> Result<Plan> {
    let mut plan = deployment.plan();
    plan.stand.slots = 8;
    plan.stand.prefill = 4000.0;
    plan.stand.chunk = 128.0;
    plan.tree = crate::plan::replace(&plan.tree, "deadline = \"10s\"", "deadline = \"2s\"")?;
    Ok(plan)
}

fn plan_of_ours(plan: &Plan, options: &Options) -> Plan {
    let mut plan = plan.clone();
    if options.fifo {
        plan.reserve = 0;
        plan.sidecar_args.push("--fifo".into());
    }
    if options.coarse {
        // No engine ever has so many requests.
        plan.ledger = 100_000;
    }
    plan
}

fn plan_of_baseline(plan: &Plan, options: &Options) -> Plan {
    let mut plan = plan.clone();
    plan.reserve = 0;
    plan.sidecar_args.push("--fifo".into());
    plan.entry_args
        .extend(["--policy".into(), options.baseline.clone()]);
    plan
}

fn mix(options: &Options, chats: f64, seconds: f64) -> Mix {
    let others = options.deployment.accounts().len() - 1;
    let small = (1.0 - options.large) / others as f64;
    let mut accounts = vec![small; others + 1];
    accounts[0] = options.large;
    Mix {
        seed: options.seed,
        time: Duration::from_secs_f64(seconds),
        chats,
        plains: PLAINS,
        accounts,
        classes: CLASSES,
        entries: vec![1.0; 3],
        letters: PROMPT_LETTERS,
        shared: SHARED_LETTERS,
        tokens: TOKENS,
    }
}

fn target(options: &Options, fleet: &Fleet) -> Target {
    Target {
        deployment: options.deployment,
        entries: fleet.entries.iter().map(|e| e.address).collect(),
        model: options.deployment.model().0.to_owned(),
        stream: true,
        client: Client::default(),
    }
}

async fn measure(options: &Options, plan: &Plan, arrivals: &[Arrival]) -> Result<Vec<Outcome>> {
    let fleet = Fleet::start(plan).await?;
    Ok(load::run(&target(options, &fleet), arrivals).await)
}

/// Returns the chats a second that the engines can do, found by keeping all of
/// their slots busy with calls made straight at them.
async fn capacity(options: &Options, fleet: &Fleet) -> f64 {
    const SECONDS: f64 = 5.0;
    let arrivals = mix(options, 400.0, SECONDS).draw();
    let chats: Vec<Arrival> = arrivals.into_iter().filter(|a| a.class.is_some()).collect();
    let engines = &fleet.addresses.engines;
    let per_engine = 8;
    let began = std::time::Instant::now();
    let mut tasks = Vec::new();
    for worker in 0..engines.len() * per_engine {
        let mut target = target(options, fleet);
        target.entries = vec![engines[worker % engines.len()]];
        target.model = options.deployment.model().1.to_owned();
        let own: Vec<Arrival> = chats
            .iter()
            .skip(worker)
            .step_by(engines.len() * per_engine)
            .cloned()
            .collect();
        tasks.push(async_std::task::spawn(async move {
            let mut done = 0.0;
            for arrival in own.iter().cycle() {
                let left = SECONDS - began.elapsed().as_secs_f64();
                if left <= 0.0 {
                    break;
                }
                let one = load::one(target.clone(), arrival.clone()).await;
                // Of the call that runs over the end, only the part counts.
                done += (left / one.whole.as_secs_f64()).min(1.0);
            }
            done
        }));
    }
    let mut done = 0.0;
    for task in tasks {
        done += task.await;
    }
    done / SECONDS
}

/// Returns the answers a second that began inside the deadline.
fn goodput(options: &Options, load: &[Arrival], outcomes: &[Outcome]) -> f64 {
    let good = counted(load, outcomes)
        .filter(|(a, o)| a.class.is_some() && o.is_answered() && o.first <= DEADLINE)
        .count();
    good as f64 / (options.seconds - WARM_UP.as_secs_f64())
}

fn counted<'a>(
    load: &'a [Arrival],
    outcomes: &'a [Outcome],
) -> impl Iterator<Item = (&'a Arrival, &'a Outcome)> {
    load.iter().zip(outcomes).filter(|(a, _)| a.at >= WARM_UP)
}

fn first_tokens(load: &[Arrival], outcomes: &[Outcome], class: Option<Class>) -> Times {
    let mut times = Times::default();
    for (_, outcome) in counted(load, outcomes).filter(|(a, o)| a.class == class && o.is_answered())
    {
        times.add(outcome.first);
    }
    times
}

type Busy<'a> = (&'a [Arrival], &'a [Outcome], &'a [Outcome]);

fn summarise(
    options: &Options,
    capacity: f64,
    quiet: (&[Arrival], &[Outcome]),
    busy: Busy,
) -> Summary {
    let (load, ours, baseline) = busy;
    let good = goodput(options, load, ours);
    let base = goodput(options, load, baseline);
    let priority = first_tokens(load, ours, Some(Class::Priority)).percentile(99.0);
    let priority_quiet = first_tokens(quiet.0, quiet.1, Some(Class::Priority)).percentile(99.0);
    let plain = first_tokens(load, ours, None).percentile(99.0);
    let plain_quiet = first_tokens(quiet.0, quiet.1, None).percentile(99.0);
    let refused = ours
        .iter()
        .filter(|o| o.verdict == Some(sorreldeck::Verdict::NotRun))
        .count();
    let lost = ours
        .iter()
        .filter(|o| o.status == 0 || (o.status == 200 && !o.complete))
        .count();
    for class in Class::ALL {
        let times = first_tokens(load, ours, Some(class));
        let offered = counted(load, ours)
            .filter(|(a, _)| a.class == Some(class))
            .count();
        println!(
            "{class}: offered {offered}, answered {}, ttft p50 {} ms p99 {} ms",
            times.len(),
            times.percentile(50.0),
            times.percentile(99.0)
        );
    }
    for class in Class::ALL {
        let small =
            || counted(load, ours).filter(|(a, _)| a.class == Some(class) && a.account >= 4);
        let answered = small().filter(|(_, o)| o.is_answered()).count();
        println!(
            "{class}, small accounts: offered {}, answered {answered}",
            small().count()
        );
    }
    let fair = smallest_of_fair(options, capacity, load, ours);
    let mut summary = Summary {
        ours: round(good),
        baseline: round(base),
        ratio: round(good / base.max(0.001)),
        capacity: round(capacity),
        goodput_of_capacity: round(good / capacity),
        priority_ttft_ms_p99: priority,
        priority_ttft_ms_p99_unloaded: priority_quiet,
        priority_ratio: round(priority / priority_quiet),
        plain_ms_p99: plain,
        plain_ms_p99_unloaded: plain_quiet,
        plain_ratio: round(plain / plain_quiet),
        smallest_of_fair_share: round(fair),
        refused_not_run: refused,
        lost,
        seed: options.seed,
        pass: false,
    };
    summary.pass = lost == 0
        && summary.priority_ratio <= 1.3
        && summary.plain_ratio <= 1.5
        && summary.goodput_of_capacity >= 0.9
        && summary.ratio >= 1.3
        && summary.smallest_of_fair_share >= 0.9;
    summary
}

/// Returns the least part of its fair share that a small account got.
///
/// The fair share is that of a queue which divides the capacity by weight first
/// between the classes and then, within a class, between the accounts, and
/// gives nobody more than it asks for.
fn smallest_of_fair(options: &Options, capacity: f64, load: &[Arrival], ours: &[Outcome]) -> f64 {
    let seconds = options.seconds - WARM_UP.as_secs_f64();
    let accounts = options.deployment.accounts().len();
    let offered = |class: Class, account: usize| {
        let n = counted(load, ours).filter(|(a, _)| a.class == Some(class) && a.account == account);
        n.count() as f64 / seconds
    };
    let weights = [4.0, 4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let demand: Vec<f64> = Class::ALL
        .iter()
        .map(|c| (0..accounts).map(|a| offered(*c, a)).sum())
        .collect();
    let by_class = fill(capacity, &demand, &WEIGHTS);
    let mut fair = vec![0.0; accounts];
    for (class, part) in Class::ALL.iter().zip(by_class) {
        let demand: Vec<f64> = (0..accounts).map(|a| offered(*class, a)).collect();
        for (sum, share) in fair.iter_mut().zip(fill(part, &demand, &weights)) {
            *sum += share;
        }
    }
    let got = |account: usize| {
        let n = counted(load, ours)
            .filter(|(a, o)| a.class.is_some() && a.account == account && o.is_answered());
        n.count() as f64 / seconds
    };
    // All small accounts are alike; their mean is less a matter of chance.
    let small = 4..accounts;
    let got: f64 = small.clone().map(got).sum();
    let fair: f64 = small.map(|a| fair[a]).sum();
    got / fair
}

/// Divides an amount by weight, nobody getting more than its demand.
fn fill(amount: f64, demand: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut given = vec![0.0; demand.len()];
    let mut left = amount;
    for _ in 0..demand.len() {
        let open: Vec<usize> = (0..demand.len())
            .filter(|i| given[*i] < demand[*i] - 1e-9)
            .collect();
        let sum: f64 = open.iter().map(|i| weights[*i]).sum();
        if open.is_empty() || left < 1e-9 {
            break;
        }
        let part = left / sum;
        for i in open {
            let more = (part * weights[i]).min(demand[i] - given[i]);
            given[i] += more;
            left -= more;
        }
    }
    given
}
