//! How many answers a bad version gives before it is held back.

use crate::call::Outcome;
use crate::fleet::Fleet;
use crate::load::{self, Arrival, Mix, Target};
use crate::plan::{Deployment, Plan};
use crate::stats::{print_last, round};
use async_std::task;
use bpaf::Bpaf;
use eyre::Result;
use futures_lite::future::zip;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{json, Value};
use sorreldeck::entry::{Aggregate, Judge, Monitor};
use sorreldeck::tree::Section;
use sorreldeck::wire::Header;
use sorreldeck::{Incarnation, Tree, VersionId};
use sorreldeck_net::http::Client;
use sorreldeck_net::platform::Faults;
use std::time::{Duration, Instant};

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The seed of the load
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// The deployment
    #[bpaf(long, argument("NAME"), fallback(Deployment::Voltaris))]
    pub deployment: Deployment,
    /// The chance that an answer of the bad version is good
    #[bpaf(long, argument("X"), fallback(0.4), display_fallback)]
    pub badness: f64,
    /// The seconds after which the version turns bad
    #[bpaf(long, argument("S"), fallback(0.0), display_fallback)]
    pub onset: f64,
    /// The lag of ratings in milliseconds
    #[bpaf(long, argument("MS"), fallback(1000), display_fallback)]
    pub lag: u64,
    /// The share of answers that are rated
    #[bpaf(long, argument("SHARE"), fallback("25%".into()), display_fallback)]
    pub sample: String,
    /// The requests a second
    #[bpaf(long, argument("N"), fallback(200.0), display_fallback)]
    pub rate: f64,
    /// The longest that a measurement may take, in seconds
    #[bpaf(long, argument("S"), fallback(40.0), display_fallback)]
    pub seconds: f64,
    /// The roll-outs of good versions by which false alarms are counted
    #[bpaf(long, argument("N"), fallback(10_000), display_fallback)]
    pub good: usize,
}

#[derive(Debug, Serialize)]
struct Summary {
    ours: usize,
    baseline: usize,
    ratio: f64,
    ours_bad: usize,
    ours_store_down: usize,
    ratio_store_down: f64,
    held_after_s: Option<f64>,
    held_after_s_store_down: Option<f64>,
    held_after_s_baseline: Option<f64>,
    false_alarms: f64,
    false_alarms_baseline: f64,
    after_hold: usize,
    seed: u64,
    pass: bool,
}

struct Measured {
    /// The answers of the new version that began after it turned bad.
    answers: usize,
    /// Those among them that were bad.
    bad: usize,
    /// When the last of them was asked for, if that was well before the end.
    held: Option<f64>,
    /// Those asked for after every entry had told that it holds the version.
    after_hold: usize,
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let plan = plan(&options);
    let arrivals = mix(&options).draw();
    let mut window = plan.clone();
    window
        .entry_args
        .extend(["--judge".into(), "window".into()]);
    // Side by side: what is counted is answers, not time, and together they
    // use a small part of the machine.
    let ours = measure(&options, &plan, &arrivals, false);
    let down = measure(&options, &plan, &arrivals, true);
    let baseline = measure(&options, &window, &arrivals, false);
    let (ours, (down, baseline)) = zip(ours, zip(down, baseline)).await;
    let (ours, down, baseline) = (ours?, down?, baseline?);
    let false_alarms = false_alarms(&options, Judge::Sequential)?;
    let false_alarms_baseline = false_alarms_of_window(&options);
    let ratio = ours.answers as f64 / baseline.answers.max(1) as f64;
    let ratio_down = down.answers as f64 / baseline.answers.max(1) as f64;
    let after_hold = ours.after_hold + down.after_hold;
    let summary = Summary {
        ours: ours.answers,
        baseline: baseline.answers,
        ratio: round(ratio),
        ours_bad: ours.bad,
        ours_store_down: down.answers,
        ratio_store_down: round(ratio_down),
        held_after_s: ours.held,
        held_after_s_store_down: down.held,
        held_after_s_baseline: baseline.held,
        false_alarms,
        false_alarms_baseline,
        after_hold,
        seed: options.seed,
        pass: after_hold == 0
            && ours.held.is_some()
            && down.held.is_some()
            && ratio <= 0.25
            && ratio_down <= 0.25
            && false_alarms <= 0.01
            && false_alarms_baseline <= 0.01,
    };
    print_last(&summary);
    Ok(after_hold == 0)
}

fn plan(options: &Options) -> Plan {
    let mut plan = options.deployment.plan();
    plan.stand.base = 2000;
    plan.stand.each = 50;
    plan.entry_args
        .extend(["--sample".into(), options.sample.clone()]);
    plan
}

fn mix(options: &Options) -> Mix {
    Mix {
        seed: options.seed,
        time: Duration::from_secs_f64(options.onset + options.seconds),
        chats: options.rate,
        plains: 0.0,
        accounts: vec![1.0; 10],
        classes: [0.2, 0.6, 0.2],
        entries: vec![1.0; 3],
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
    let version = options.deployment.new_version();
    let lag = Faults {
        rating_lag: Some(sorreldeck::Span::from_millis(options.lag)),
        ..Faults::default()
    };
    fleet.set_faults(&lag).await?;
    let old = options.deployment.model().1;
    let first = if options.onset > 0.0 {
        0.95
    } else {
        options.badness
    };
    set_skills(&fleet, &[(old, 0.95), (version, first)]).await?;
    let revision = Header::new("if-match", fleet.revision(0).await?);
    let path = format!("/admin/v1/rollouts/{version}/start");
    fleet
        .admin(0, "POST", &path, &[revision], &Value::Null)
        .await?;
    wait_in_force(&fleet).await?;
    if down {
        // The roll-out has begun; from now on the store is out of reach.
        let faults = Faults { down: true, ..lag };
        fleet.set_faults(&faults).await?;
    }
    let target = Target {
        deployment: options.deployment,
        entries: fleet.entries.iter().map(|e| e.address).collect(),
        model: options.deployment.model().0.to_owned(),
        stream: false,
        client: Client::default(),
    };
    let began = Instant::now();
    let onset = options.onset;
    let watch = watch_holds(&fleet, version, began);
    let load = async {
        let outcomes = load::run(&target, arrivals).await;
        // The watcher ends with the load.
        task::sleep(Duration::from_millis(100)).await;
        outcomes
    };
    let turn = async {
        if onset > 0.0 {
            task::sleep(Duration::from_secs_f64(onset)).await;
            let _ = set_skills(&fleet, &[(version, options.badness)]).await;
        }
        futures_lite::future::pending::<()>().await;
    };
    let (outcomes, held_everywhere) = with(load, turn, watch).await;
    Ok(evaluate(options, arrivals, &outcomes, held_everywhere))
}

/// Runs the load while the others go on; returns its outcomes and what the
/// watcher has seen by then.
async fn with(
    load: impl std::future::Future<Output = Vec<Outcome>>,
    turn: impl std::future::Future<Output = ()>,
    watch: impl std::future::Future<Output = f64>,
) -> (Vec<Outcome>, Option<f64>) {
    use futures_lite::FutureExt;
    let seen = std::cell::Cell::new(None);
    let watch = async {
        seen.set(Some(watch.await));
        futures_lite::future::pending::<()>().await;
    };
    let rest = async {
        zip(turn, watch).await;
        Vec::new()
    };
    let outcomes = load.or(rest).await;
    (outcomes, seen.get())
}

/// Waits until every entry has the roll-out in force.
async fn wait_in_force(fleet: &Fleet) -> Result<()> {
    let wanted = fleet.revision(0).await?;
    for entry in 0..fleet.entries.len() {
        while fleet.revision(entry).await? < wanted {
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Returns when all entries held the version back, in seconds.
async fn watch_holds(fleet: &Fleet, version: &str, began: Instant) -> f64 {
    loop {
        let mut all = true;
        for entry in 0..fleet.entries.len() {
            all &= is_held(fleet, entry, version).await.unwrap_or(false);
        }
        if all {
            return began.elapsed().as_secs_f64();
        }
        task::sleep(Duration::from_millis(100)).await;
    }
}

async fn is_held(fleet: &Fleet, entry: usize, version: &str) -> Result<bool> {
    let reply = fleet
        .admin(entry, "GET", "/admin/v1/status", &[], &Value::Null)
        .await?;
    let status: Value = serde_json::from_slice(&reply.body)?;
    let held = |r: &Value| {
        r["to"] == version && (r["held_back_here"] == true || r["record"]["phase"] == "held")
    };
    Ok(status["rollouts"]
        .as_array()
        .is_some_and(|all| all.iter().any(held)))
}

async fn set_skills(fleet: &Fleet, skills: &[(&str, f64)]) -> Result<()> {
    let pairs = skills
        .iter()
        .map(|(v, s)| (v.to_string(), json!(s.to_string())));
    let body: serde_json::Map<String, Value> = pairs.collect();
    fleet
        .order(fleet.addresses.platform, "/skills", &Value::Object(body))
        .await
}

fn evaluate(
    options: &Options,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    held: Option<f64>,
) -> Measured {
    let version = options.deployment.new_version();
    let quality = sorreldeck_emulator::Quality::default();
    quality.set(
        version,
        sorreldeck_emulator::quality::Skill::Flat(options.badness),
    );
    let given: Vec<(&Arrival, &Outcome)> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(a, o)| o.version == version && a.at.as_secs_f64() >= options.onset)
        .collect();
    let score = |o: &Outcome| {
        let seed = sorreldeck_emulator::text::seed_of(&o.text).unwrap_or(0);
        quality.score(version, seed)
    };
    let last = given
        .last()
        .map_or(options.onset, |(a, _)| a.at.as_secs_f64());
    let end = options.onset + options.seconds;
    // Calls that cross the moment of the hold are not counted as after it.
    let after = held.map_or(f64::MAX, |t| t + 0.3);
    Measured {
        answers: given.len(),
        bad: given.iter().filter(|(_, o)| score(o) < 0.5).count(),
        held: (held.is_some() || last < end - 4.0).then(|| round(last - options.onset)),
        after_hold: given
            .iter()
            .filter(|(a, _)| a.at.as_secs_f64() > after)
            .count(),
    }
}

/// Returns the share of roll-outs of a version that is just good enough which
/// the decision code holds back: three entries, their home, all stages, and
/// ratings that arrive at the entries in turn.
fn false_alarms(options: &Options, judge: Judge) -> Result<f64> {
    let (tree, name) = running_tree(options)?;
    let version: VersionId = options.deployment.new_version().parse()?;
    let rollout = tree.rollouts()[&name].clone();
    let ratings = rollout.evidence as usize * rollout.stages.len();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut alarms = 0;
    for _ in 0..options.good {
        let mut watches = vec![Monitor::new(judge); 3];
        let mut pool = Aggregate::default();
        for watch in &mut watches {
            watch.set_entries(3);
        }
        let mut alarm = false;
        for i in 0..ratings {
            let watch = &mut watches[i % 3];
            let good = rng.random::<f64>() < rollout.floor.fraction();
            watch.record_answer(
                &tree,
                &version,
                rng.random::<f64>() < rollout.max_error.fraction(),
            );
            watch.record_rating(&tree, &version, f64::from(u8::from(good)));
            for (version, evidence) in watch.take_unsent() {
                let entry = Incarnation(i as u64 % 3);
                let (sum, bad) = pool.merge(&tree, &version, entry, evidence);
                watch.merge_pooled(&version, sum, bad);
            }
            alarm |= watch.is_suspect(&version);
        }
        alarms += usize::from(alarm);
    }
    Ok(alarms as f64 / options.good as f64)
}

/// Returns the same of the baseline: a window at the end of each stage, whose
/// mean must reach the middle between floor and bad.
fn false_alarms_of_window(options: &Options) -> f64 {
    const STAGES: usize = 4;
    const WINDOW: usize = 60;
    const FLOOR: f64 = 0.8;
    const MIDDLE: f64 = 0.65;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let window = |rng: &mut ChaCha8Rng| {
        let good = (0..WINDOW).filter(|_| rng.random::<f64>() < FLOOR).count();
        (good as f64) < MIDDLE * WINDOW as f64
    };
    let alarm = |rng: &mut ChaCha8Rng| (0..STAGES).any(|_| window(rng));
    let alarms = (0..options.good).filter(|_| alarm(&mut rng)).count();
    alarms as f64 / options.good as f64
}

fn running_tree(options: &Options) -> Result<(Tree, sorreldeck::RolloutId)> {
    let name: sorreldeck::RolloutId = options.deployment.new_version().parse()?;
    let mut entries = sorreldeck::tree::parse_toml(&options.deployment.plan().tree)?;
    let key = sorreldeck::tree::Key::new(Section::Rollouts, &name);
    if let Some(entry) = entries.get_mut(&key) {
        entry["intent"] = "running".into();
    }
    Ok((Tree::from_entries(sorreldeck::Revision(1), entries)?, name))
}
