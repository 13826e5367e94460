//! Real processes under load, hit by a seeded schedule of faults; at the end
//! the promises are checked from outside too, against what the upstreams ran.

mod judge;

use crate::call::{self, Chat, Outcome};
use crate::fleet::{Fleet, Process};
use crate::plan::{Deployment, Plan};
use crate::stats::print_last;
use async_std::sync::Mutex;
use async_std::task;
use bpaf::Bpaf;
use eyre::Result;
use judge::{Judge, Sent};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{json, Value};
use sorreldeck::wire::{Call, Header};
use sorreldeck::Invariant;
use sorreldeck_emulator::plain;
use sorreldeck_net::http::Client;
use sorreldeck_net::platform::Faults;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The seed of load and faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// How long faults and load go on
    #[bpaf(long, argument("S"), fallback(25.0), display_fallback)]
    pub seconds: f64,
    /// The requests a second
    #[bpaf(long, argument("N"), fallback(60.0), display_fallback)]
    pub rate: f64,
}

/// The time between two faults.
const FAULT_EVERY: Duration = Duration::from_millis(1400);
/// The time between two kills: records are in the store after 5 s, and what is
/// held at two processes is not to lose both copies.
const KILL_EVERY: Duration = Duration::from_secs(8);
/// What a change is given to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// What is counted of one promise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Count {
    checked: u64,
    violated: u64,
}

#[derive(Debug, Serialize)]
struct Summary {
    promises: BTreeMap<&'static str, Count>,
    faults: BTreeMap<&'static str, u32>,
    sent: usize,
    answered: usize,
    refused_not_run: usize,
    unsure: usize,
    seed: u64,
    pass: bool,
}

/// Runs the experiment; returns whether every promise held.
pub async fn run(options: Options) -> Result<bool> {
    let deployment = Deployment::Voltaris;
    let fleet = Fleet::start(&plan(deployment)).await?;
    let entries: Entries = Arc::new(Mutex::new(
        fleet.entries.iter().map(|e| e.address).collect(),
    ));
    let judge = Arc::new(Mutex::new(Judge::default()));
    let load = Load {
        deployment,
        entries: entries.clone(),
        client: Client::default(),
        sessions: Arc::default(),
    };
    let sending = task::spawn(load.run(options.clone()));
    let mut storm = Storm::new(fleet, deployment, entries, judge.clone(), options.seed);
    storm.rage(Duration::from_secs_f64(options.seconds)).await?;
    let sent = sending.await;
    storm.calm().await?;
    let promises = storm.conclude(&sent).await?;
    let violated: u64 = promises.values().map(|c| c.violated).sum();
    let unchecked = promises.values().filter(|c| c.checked == 0).count();
    let of = |f: fn(&Outcome) -> bool| sent.iter().filter(|s| f(&s.outcome)).count();
    let summary = Summary {
        faults: storm.counts.clone(),
        sent: sent.len(),
        answered: of(Outcome::is_answered),
        refused_not_run: of(|o| o.verdict == Some(sorreldeck::Verdict::NotRun)),
        unsure: of(|o| !o.is_answered() && o.verdict != Some(sorreldeck::Verdict::NotRun)),
        seed: options.seed,
        pass: violated == 0 && unchecked == 0,
        promises,
    };
    print_last(&summary);
    Ok(violated == 0)
}

fn plan(deployment: Deployment) -> Plan {
    let mut plan = deployment.plan();
    plan.stand.engines = 4;
    plan.stand.plains = 2;
    plan.stand.base = 4000;
    plan
}

type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// The callers: chats, some in sessions, and calls that may not be repeated.
#[derive(Clone)]
struct Load {
    deployment: Deployment,
    entries: Entries,
    client: Client,
    sessions: Arc<Mutex<Vec<(String, String)>>>,
}

impl Load {
    async fn run(self, options: Options) -> Vec<Sent> {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 0x10ad);
        let began = Instant::now();
        let end = Duration::from_secs_f64(options.seconds);
        let gap = Duration::from_secs_f64(1.0 / options.rate);
        let mut tasks = Vec::new();
        let mut number = 0;
        while began.elapsed() < end {
            number += 1;
            let (kind, pick) = (rng.random_range(0..10), rng.random::<u64>());
            let load = self.clone();
            tasks.push(task::spawn(async move {
                match kind {
                    0..=2 => load.plain(number, pick).await,
                    3..=5 => load.chat(number, pick, true).await,
                    _ => load.chat(number, pick, false).await,
                }
            }));
            task::sleep((gap * number as u32).saturating_sub(began.elapsed())).await;
        }
        let mut sent = Vec::new();
        for task in tasks {
            sent.push(task.await);
        }
        sent
    }

    async fn entry(&self, pick: u64) -> SocketAddr {
        let entries = self.entries.lock().await;
        entries[pick as usize % entries.len()]
    }

    async fn plain(&self, number: usize, pick: u64) -> Sent {
        let key = format!("entry-{number}");
        let account = self.deployment.accounts()[number % 10];
        let call = Call {
            method: "POST".into(),
            path: format!("/{}/session", self.deployment.plain_pool()),
            headers: vec![
                Header::new("authorization", format!("Bearer key-{account}")),
                Header::new(plain::KEY_HEADER, &key),
            ],
            body: key.clone().into_bytes(),
        };
        let at = Instant::now();
        let outcome = call::send(&self.client, self.entry(pick).await, &call, false).await;
        Sent {
            at,
            key: Some(key),
            prompt: String::new(),
            tokens: 0,
            session: None,
            outcome,
        }
    }

    async fn chat(&self, number: usize, pick: u64, stream: bool) -> Sent {
        let session = match pick % 3 {
            0 => {
                let sessions = self.sessions.lock().await;
                let n = sessions.len().max(1);
                sessions.get((pick >> 8) as usize % n).cloned()
            }
            _ => None,
        };
        let chat = Chat {
            key: format!("key-{}", self.deployment.accounts()[0]),
            route: None,
            model: self.deployment.model().0.to_owned(),
            prompt: format!("fault {number}"),
            max_tokens: 12,
            stream,
            session: session.as_ref().map(|(token, _)| token.clone()),
        };
        let at = Instant::now();
        let outcome = chat.ask(&self.client, self.entry(pick).await).await;
        if let (true, Some(token)) = (outcome.is_answered(), &outcome.session) {
            let mut sessions = self.sessions.lock().await;
            sessions.push((token.clone(), outcome.version.clone()));
        }
        Sent {
            at,
            key: None,
            prompt: chat.prompt,
            tokens: chat.max_tokens,
            session: session.map(|(_, version)| version),
            outcome,
        }
    }
}

/// The faults.
struct Storm {
    fleet: Fleet,
    deployment: Deployment,
    entries: Entries,
    judge: Arc<Mutex<Judge>>,
    rng: ChaCha8Rng,
    counts: BTreeMap<&'static str, u32>,
    faults: Faults,
    killed: Option<Instant>,
    paused: Vec<(Instant, usize, bool)>,
    knobs_until: Option<Instant>,
    store_until: Option<Instant>,
    last_revision: u64,
}

impl Storm {
    fn new(
        fleet: Fleet,
        deployment: Deployment,
        entries: Entries,
        judge: Arc<Mutex<Judge>>,
        seed: u64,
    ) -> Storm {
        Storm {
            fleet,
            deployment,
            entries,
            judge,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: BTreeMap::new(),
            faults: Faults::default(),
            killed: None,
            paused: Vec::new(),
            knobs_until: None,
            store_until: None,
            last_revision: 1,
        }
    }

    async fn rage(&mut self, time: Duration) -> Result<()> {
        let began = Instant::now();
        let mut next = Duration::from_millis(800);
        while began.elapsed() < time {
            task::sleep(Duration::from_millis(200)).await;
            self.mend().await?;
            self.scrape().await;
            if began.elapsed() >= next && began.elapsed() + Duration::from_secs(3) < time {
                next += FAULT_EVERY;
                self.strike().await?;
            }
        }
        Ok(())
    }

    /// Ends the faults whose time is over.
    async fn mend(&mut self) -> Result<()> {
        let now = Instant::now();
        let (over, still): (Vec<_>, Vec<_>) =
            self.paused.drain(..).partition(|(until, ..)| *until <= now);
        self.paused = still;
        for (_, i, entry) in over {
            self.process(i, entry).signal(libc::SIGCONT);
        }
        if self.store_until.is_some_and(|t| t <= now) {
            self.store_until = None;
            self.faults = Faults::default();
            self.fleet.set_faults(&self.faults).await?;
        }
        if self.knobs_until.is_some_and(|t| t <= now) {
            self.knobs_until = None;
            self.set_knobs(&json!({})).await?;
        }
        Ok(())
    }

    fn process(&self, i: usize, entry: bool) -> &Process {
        match entry {
            true => &self.fleet.entries[i].process,
            false => &self.fleet.sidecars[i].process,
        }
    }

    fn count(&mut self, fault: &'static str) {
        *self.counts.entry(fault).or_default() += 1;
    }

    async fn strike(&mut self) -> Result<()> {
        match self.rng.random_range(0..12) {
            0 => {
                self.store(
                    "store_down",
                    Faults {
                        down: true,
                        ..Faults::default()
                    },
                )
                .await
            }
            1 => self.store("store_slow", slow()).await,
            2 => self.store("answers_lost", lossy()).await,
            3 => self.store("list_lags", lagging()).await,
            4 => self.kill_sidecar().await,
            5 => self.kill_entry().await,
            6 => self.pause(),
            7 => self.stop_sidecar().await,
            8 => {
                self.knob("closes_in_mid_answer", json!({"close_after": 5}))
                    .await
            }
            9 => self.knob("foreign_answers", json!({"foreign": true})).await,
            10 => self.race().await,
            _ => self.toggle().await,
        }
    }

    async fn store(&mut self, name: &'static str, faults: Faults) -> Result<()> {
        self.count(name);
        let millis = self.rng.random_range(1500..4000);
        self.store_until = Some(Instant::now() + Duration::from_millis(millis));
        self.faults = faults;
        self.fleet.set_faults(&self.faults).await
    }

    fn may_kill(&mut self) -> bool {
        let now = Instant::now();
        let may = self.killed.is_none_or(|t| now - t >= KILL_EVERY) && self.paused.is_empty();
        if may {
            self.killed = Some(now);
        }
        may
    }

    async fn kill_sidecar(&mut self) -> Result<()> {
        if !self.may_kill() {
            return Ok(());
        }
        self.count("sidecar_killed");
        let i = self.rng.random_range(0..self.fleet.sidecars.len());
        self.fleet.sidecars[i].process.signal(libc::SIGKILL);
        self.restart_sidecar(i).await
    }

    /// Starts a sidecar again in the place of one that has ended or soon will.
    async fn restart_sidecar(&mut self, i: usize) -> Result<()> {
        let (name, args, upstream) = {
            let old = &self.fleet.sidecars[i];
            (old.name.clone(), old.args.clone(), old.upstream)
        };
        self.fleet.start_sidecar(name, args, upstream)?;
        let new = self.fleet.sidecars.pop();
        if let Some(new) = new {
            let old = std::mem::replace(&mut self.fleet.sidecars[i], new);
            // One that was told to stop has to end by itself.
            task::spawn(async move {
                let mut old = old;
                for _ in 0..300 {
                    if old.process.has_ended() {
                        return;
                    }
                    task::sleep(Duration::from_millis(100)).await;
                }
            });
        }
        self.fleet.register().await
    }

    async fn kill_entry(&mut self) -> Result<()> {
        if !self.may_kill() {
            return Ok(());
        }
        self.count("entry_killed");
        let i = self.rng.random_range(0..self.fleet.entries.len());
        self.fleet.entries[i].process.signal(libc::SIGKILL);
        let name = self.fleet.entries[i].name.clone();
        self.fleet.start_entry(&name, &[])?;
        if let Some(new) = self.fleet.entries.pop() {
            self.fleet.entries[i] = new;
        }
        self.fleet.register().await?;
        // The balancer sends callers there once it is ready.
        let address = self.fleet.entries[i].address;
        let mut others: Vec<SocketAddr> = self.fleet.entries.iter().map(|e| e.address).collect();
        others.remove(i);
        *self.entries.lock().await = others;
        let (entries, client) = (self.entries.clone(), self.fleet.client.clone());
        task::spawn(async move {
            loop {
                let ready = client.get(address, "/ready").await;
                if ready.is_ok_and(|r| r.status == 200) {
                    entries.lock().await.push(address);
                    return;
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        });
        Ok(())
    }

    fn pause(&mut self) -> Result<()> {
        if !self.paused.is_empty() {
            return Ok(());
        }
        let entry = self.rng.random::<bool>();
        let n = if entry {
            self.fleet.entries.len()
        } else {
            self.fleet.sidecars.len()
        };
        let i = self.rng.random_range(0..n);
        let millis = self.rng.random_range(500..9000);
        self.count(if entry {
            "entry_paused"
        } else {
            "sidecar_paused"
        });
        self.process(i, entry).signal(libc::SIGSTOP);
        let until = Instant::now() + Duration::from_millis(millis);
        self.paused.push((until, i, entry));
        Ok(())
    }

    async fn stop_sidecar(&mut self) -> Result<()> {
        if !self.paused.is_empty() {
            return Ok(());
        }
        self.count("planned_stop");
        let i = self.rng.random_range(0..self.fleet.sidecars.len());
        self.fleet.sidecars[i].process.signal(libc::SIGTERM);
        self.restart_sidecar(i).await
    }

    async fn knob(&mut self, name: &'static str, knobs: Value) -> Result<()> {
        self.count(name);
        self.knobs_until = Some(Instant::now() + Duration::from_millis(600));
        self.set_knobs(&knobs).await
    }

    async fn set_knobs(&self, knobs: &Value) -> Result<()> {
        for engine in &self.fleet.addresses.engines {
            self.fleet.order(*engine, "/knobs", knobs).await?;
        }
        Ok(())
    }

    /// Two operators change the same entry through two entries at once.
    async fn race(&mut self) -> Result<()> {
        if !self.paused.is_empty() {
            return Ok(());
        }
        self.count("operators_race");
        let Ok(base) = self.fleet.revision(0).await else {
            return Ok(());
        };
        let one = self.submit(0, base, "[nodes.\"/\"]\ndeadline = \"10s\"\nweight = 2");
        let two = self.submit(1, base, "[nodes.\"/\"]\ndeadline = \"10s\"\nweight = 3");
        let (one, two) = futures_lite::future::zip(one, two).await;
        let accepted = [one, two].into_iter().flatten().collect::<Vec<_>>();
        // At most one may win; the same revision twice would be both.
        let mut judge = self.judge.lock().await;
        judge.check(
            Invariant::Configuration,
            accepted.len() < 2 || accepted[0] != accepted[1],
        );
        drop(judge);
        self.last_revision = self
            .last_revision
            .max(accepted.into_iter().max().unwrap_or(0));
        Ok(())
    }

    /// Returns the revision if the change was accepted.
    async fn submit(&self, entry: usize, base: u64, document: &str) -> Option<u64> {
        let headers = [Header::new("if-match", base)];
        let body = json!({"document": document});
        let reply = self
            .fleet
            .admin(entry, "POST", "/admin/v1/changes", &headers, &body);
        let reply = async_std::future::timeout(Duration::from_secs(3), reply).await;
        let reply = reply.ok()?.ok()?;
        let answer: Value = serde_json::from_slice(&reply.body).ok()?;
        let revision = answer["revision"].as_u64()?;
        (reply.status == 200 && !answer["edits"].as_array()?.is_empty()).then_some(revision)
    }

    /// Withdraws the new version, or puts it in service again.
    async fn toggle(&mut self) -> Result<()> {
        if !self.paused.is_empty() || self.store_until.is_some() {
            return Ok(());
        }
        let version = self.deployment.new_version();
        let old = self.deployment.model().1;
        let serving = !self.judge.lock().await.is_withdrawn();
        let state = if serving { "withdrawn" } else { "serving" };
        let document = format!(
            "[versions.{version}]\nmodel = \"review\"\npool = \"assistant\"\nprice_in = 500\nprice_out = 1500\nsuccessor = \"{old}\"\nstate = \"{state}\"\n[models.review]\nsplit = {{ {old} = \"50%\", {version} = \"50%\" }}"
        );
        let entry = self.rng.random_range(0..self.fleet.entries.len());
        let Ok(base) = self.fleet.revision(entry).await else {
            return Ok(());
        };
        self.judge.lock().await.toggling();
        let accepted = self.submit(entry, base, &document).await;
        let mut judge = self.judge.lock().await;
        judge.toggled(accepted.is_some(), serving);
        drop(judge);
        if let Some(revision) = accepted {
            self.count(if serving {
                "version_withdrawn"
            } else {
                "version_back"
            });
            self.last_revision = self.last_revision.max(revision);
        }
        Ok(())
    }

    /// Reads what the programs themselves counted, and that revisions rise.
    async fn scrape(&mut self) {
        let paused: Vec<(usize, bool)> = self.paused.iter().map(|(_, i, e)| (*i, *e)).collect();
        let mut read = Vec::new();
        for (i, entry) in self.fleet.entries.iter().enumerate() {
            if !paused.contains(&(i, true)) {
                read.push(entry.address);
            }
        }
        for (i, sidecar) in self.fleet.sidecars.iter().enumerate() {
            if !paused.contains(&(i, false)) {
                read.push(sidecar.health);
            }
        }
        for address in read {
            let text = self.fleet.client.get(address, "/metrics");
            let text = async_std::future::timeout(Duration::from_millis(500), text).await;
            if let Ok(Ok(reply)) = text {
                self.judge.lock().await.read(address, &reply.text());
            }
        }
    }

    /// Ends all faults and waits until everything is at rest.
    async fn calm(&mut self) -> Result<()> {
        for (until, ..) in &mut self.paused {
            *until = Instant::now();
        }
        self.store_until = self.store_until.map(|_| Instant::now());
        self.knobs_until = self.knobs_until.map(|_| Instant::now());
        self.mend().await?;
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(12) {
            task::sleep(Duration::from_millis(300)).await;
            self.scrape().await;
            if began.elapsed() > Duration::from_secs(7) && self.judge.lock().await.unbilled() == 0.0
            {
                break;
            }
        }
        Ok(())
    }

    /// Stops an entry and a sidecar as planned while streams run through both;
    /// every stream must come to its end.
    async fn stop_as_planned(&mut self) -> Result<()> {
        const STREAMS: usize = 12;
        self.count("planned_stop_under_streams");
        let address = self.fleet.entries[0].address;
        let mut streams = Vec::new();
        for i in 0..STREAMS {
            let chat = Chat {
                key: format!("key-{}", self.deployment.accounts()[0]),
                route: None,
                model: self.deployment.model().0.to_owned(),
                prompt: format!("stop {i}"),
                max_tokens: 200,
                stream: true,
                session: None,
            };
            let client = self.fleet.client.clone();
            streams.push(task::spawn(async move { chat.ask(&client, address).await }));
        }
        task::sleep(Duration::from_millis(300)).await;
        self.fleet.entries[0].process.signal(libc::SIGTERM);
        self.fleet.sidecars[0].process.signal(libc::SIGTERM);
        for stream in streams {
            let outcome = stream.await;
            let whole = outcome.is_answered();
            if !whole {
                println!("cut by a planned stop: {} {}", outcome.status, outcome.code);
            }
            self.judge.lock().await.check(Invariant::PlannedStop, whole);
        }
        Ok(())
    }

    async fn conclude(&mut self, sent: &[Sent]) -> Result<BTreeMap<&'static str, Count>> {
        self.scrape().await;
        self.stop_as_planned().await?;
        let mut judge = self.judge.lock().await;
        judge.revisions(self.last_revision);
        judge
            .answers(&self.fleet, self.deployment, sent, IN_FORCE)
            .await?;
        judge.bill(&self.fleet, sent).await?;
        Ok(judge.counts())
    }
}

fn slow() -> Faults {
    Faults {
        slow: Some(sorreldeck::Span::from_millis(800)),
        ..Faults::default()
    }
}

fn lossy() -> Faults {
    Faults {
        lose_answers: 5,
        ..Faults::default()
    }
}

fn lagging() -> Faults {
    Faults {
        list_lag: Some(sorreldeck::Span::from_millis(60_000)),
        ..Faults::default()
    }
}
