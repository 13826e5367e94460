//! What the path through entry and sidecar adds to a call, every answer checked.

use crate::call::{self, Chat, Outcome};
use crate::fleet::Fleet;
use crate::plan::Deployment;
use crate::stats::{percentile, print_last, round};
use async_std::task;
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck::wire::{Call, Header};
use sorreldeck_emulator::{plain, text};
use sorreldeck_net::http::Client;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The requests through sorreldeck
    #[bpaf(long, argument("N"), fallback(2000), display_fallback)]
    pub requests: usize,
    /// The requests a second at each entry
    #[bpaf(long, argument("N"), fallback(200.0), display_fallback)]
    pub rate: f64,
    /// The streams in the measurement of tokens relayed by one entry
    #[bpaf(long, argument("N"), fallback(96), display_fallback)]
    pub streams: usize,
}

#[derive(Debug, Serialize)]
struct Result_ {
    sent: usize,
    answered: usize,
    wrong: usize,
    added_ms_p50: f64,
    added_ms_p99: f64,
    direct_ms_p50: f64,
    direct_ms_p99: f64,
    relayed_tokens_s: f64,
    relay_cores: f64,
    relay_tokens_s_per_core: f64,
    pass: bool,
}

const KINDS: usize = 4;

/// One request and the same one straight at an upstream.
#[derive(Clone)]
struct Pair {
    entry: SocketAddr,
    upstream: SocketAddr,
    number: usize,
    deployment: Deployment,
}

struct Compared {
    ours: Outcome,
    direct: Outcome,
    right: bool,
}

impl Pair {
    /// Three of four requests are chats, half of them streamed; one is plain.
    fn is_plain(&self) -> bool {
        self.number % KINDS == 3
    }

    async fn compare(self, client: Client) -> Compared {
        // Whichever goes first, over all pairs neither is favoured.
        let (ours, direct) = match self.number % 2 {
            0 => {
                let ours = self.ours(&client).await;
                (ours, self.direct(&client).await)
            }
            _ => {
                let direct = self.direct(&client).await;
                (self.ours(&client).await, direct)
            }
        };
        let right = self.is_right(&ours);
        Compared {
            ours,
            direct,
            right,
        }
    }

    fn chat(&self, side: &str) -> Chat {
        let account = self.deployment.accounts()[self.number % 2];
        let (model, version) = self.deployment.model();
        Chat {
            key: format!("key-{account}"),
            route: None,
            model: if side == "ours" { model } else { version }.to_owned(),
            prompt: format!(
                "{side} {:06} {}",
                self.number,
                "hours of the gang ".repeat(8)
            ),
            max_tokens: 8,
            stream: self.number % KINDS == 0,
            session: None,
        }
    }

    fn plain_call(&self, prefix: &str) -> Call {
        let account = self.deployment.accounts()[self.number % 2];
        Call {
            method: "PUT".into(),
            path: format!("{prefix}/shift?number={}", self.number),
            headers: vec![Header::new(
                "authorization",
                format!("Bearer key-{account}"),
            )],
            body: format!("mason {}", self.number).into_bytes(),
        }
    }

    async fn ours(&self, client: &Client) -> Outcome {
        match self.is_plain() {
            true => {
                let prefix = format!("/{}", self.deployment.plain_pool());
                call::send(client, self.entry, &self.plain_call(&prefix), false).await
            }
            false => self.chat("ours").ask(client, self.entry).await,
        }
    }

    async fn direct(&self, client: &Client) -> Outcome {
        match self.is_plain() {
            true => call::send(client, self.upstream, &self.plain_call(""), false).await,
            false => self.chat("direct").ask(client, self.upstream).await,
        }
    }

    fn is_right(&self, ours: &Outcome) -> bool {
        let expected = match self.is_plain() {
            true => {
                let path = format!("/shift?number={}", self.number);
                plain::text_of("plain", "PUT", &path, &format!("mason {}", self.number))
            }
            false => {
                let chat = self.chat("ours");
                text::answer(&ours.version, &chat.prompt, chat.max_tokens)
            }
        };
        ours.is_answered() && ours.text == expected
    }
}

/// Runs the experiment; returns whether its invariants held.
pub async fn run(options: Options) -> Result<bool> {
    let deployment = Deployment::SaaKazi;
    let mut plan = deployment.plan();
    plan.stand.engines = 6;
    // Steps are short, so that where in a step a request falls adds little
    // noise to the differences.
    plan.stand.base = 1000;
    plan.stand.each = 20;
    plan.stand.slots = 64;
    // Nor do the prompts of other requests.
    plan.stand.prefill = 400_000.0;
    let fleet = Fleet::start(&plan).await?;
    let compared = compare(&options, &fleet, deployment).await;
    let mut added: Vec<f64> = compared.iter().filter(|c| c.right).map(added).collect();
    let mut direct: Vec<f64> = compared.iter().map(|c| millis(c.direct.whole)).collect();
    let wrong = compared
        .iter()
        .filter(|c| c.ours.status == 200 && !c.right)
        .count();
    let answered = compared.iter().filter(|c| c.ours.is_answered()).count();
    report_failures(&compared);
    let relay = relay(&options, &fleet, deployment).await?;
    let mut result = Result_ {
        sent: compared.len(),
        answered,
        wrong,
        added_ms_p50: percentile(&mut added, 50.0),
        added_ms_p99: percentile(&mut added, 99.0),
        direct_ms_p50: percentile(&mut direct, 50.0),
        direct_ms_p99: percentile(&mut direct, 99.0),
        relayed_tokens_s: round(relay.tokens / relay.seconds),
        relay_cores: round(relay.cpu / relay.seconds),
        relay_tokens_s_per_core: round(relay.tokens / relay.cpu),
        pass: false,
    };
    let exact = wrong == 0 && answered == compared.len() && relay.wrong == 0;
    result.pass = exact
        && result.added_ms_p50 <= 1.0
        && result.added_ms_p99 <= 5.0
        && result.relay_tokens_s_per_core >= 20_000.0;
    print_last(&result);
    Ok(exact)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn added(c: &Compared) -> f64 {
    millis(c.ours.whole) - millis(c.direct.whole)
}

fn report_failures(compared: &[Compared]) {
    for c in compared.iter().filter(|c| !c.right).take(5) {
        println!(
            "not right: status {} {} {:?}",
            c.ours.status, c.ours.code, c.ours.text
        );
    }
}

/// Sends the pairs at a steady rate.
async fn compare(options: &Options, fleet: &Fleet, deployment: Deployment) -> Vec<Compared> {
    let client = Client::default();
    let entries = fleet.entries.len();
    let gap = Duration::from_secs_f64(1.0 / (options.rate * entries as f64));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..options.requests {
        let due = gap * number as u32;
        task::sleep(due.saturating_sub(began.elapsed())).await;
        let upstreams = match number % KINDS == 3 {
            true => &fleet.addresses.plains,
            false => &fleet.addresses.engines,
        };
        let pair = Pair {
            entry: fleet.entries[number % entries].address,
            upstream: upstreams[(number / KINDS) % upstreams.len()],
            number,
            deployment,
        };
        tasks.push(task::spawn(pair.compare(client.clone())));
    }
    let mut compared = Vec::new();
    for task in tasks {
        compared.push(task.await);
    }
    compared
}

struct Relay {
    tokens: f64,
    seconds: f64,
    cpu: f64,
    wrong: usize,
}

/// Has one entry relay many streams at once and reads off its processor time.
async fn relay(options: &Options, fleet: &Fleet, deployment: Deployment) -> Result<Relay> {
    const TOKENS: u32 = 1500;
    let (model, version) = deployment.model();
    let client = Client::default();
    let entry = &fleet.entries[0];
    let before = entry.process.usage().unwrap_or_default().cpu;
    let began = Instant::now();
    let model: Arc<str> = model.into();
    let mut tasks = Vec::new();
    for i in 0..options.streams {
        let chat = Chat {
            key: format!("key-{}", deployment.accounts()[i % 2]),
            route: None,
            model: model.to_string(),
            prompt: format!("relay {i}"),
            max_tokens: TOKENS,
            stream: true,
            session: None,
        };
        let (client, address) = (client.clone(), entry.address);
        tasks.push(task::spawn(async move {
            let outcome = chat.ask(&client, address).await;
            let right = outcome.text == text::answer(version, &chat.prompt, TOKENS);
            (outcome.is_answered() && right, outcome.tokens)
        }));
    }
    let mut wrong = 0;
    let mut tokens = 0.0;
    for task in tasks {
        let (right, n) = task.await;
        wrong += usize::from(!right);
        tokens += n as f64;
    }
    let seconds = began.elapsed().as_secs_f64();
    let cpu = entry.process.usage().unwrap_or_default().cpu - before;
    Ok(Relay {
        tokens,
        seconds,
        cpu: cpu.as_secs_f64(),
        wrong,
    })
}
