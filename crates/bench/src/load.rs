//! Load: a schedule of arrivals drawn from a seed, and its running.
//!
//! The same schedule drives ours and the baseline. Arrivals do not wait for
//! answers, so that a slow system gets no less work.

use crate::call::{self, Chat, Outcome};
use crate::plan::Deployment;
use async_std::task;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::wire::{Call, Header};
use sorreldeck::Class;
use sorreldeck_net::http::Client;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes, from the beginning.
    pub at: Duration,
    /// The entry that the balancer gives it to.
    pub entry: usize,
    /// The client account.
    pub account: usize,
    /// The class, or `None` for a call of a plain service.
    pub class: Option<Class>,
    /// The prompt.
    pub prompt: String,
    /// The tokens to generate.
    pub max_tokens: u32,
}

/// What a schedule is drawn from.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The seed.
    pub seed: u64,
    /// How long arrivals come.
    pub time: Duration,
    /// The chats a second.
    pub chats: f64,
    /// The calls of plain services a second.
    pub plains: f64,
    /// The share of each account among the chats.
    pub accounts: Vec<f64>,
    /// The share of each class: priority, standard, bulk.
    pub classes: [f64; 3],
    /// The share of each entry.
    pub entries: Vec<f64>,
    /// The letters of a prompt, and how many of these an account's prompts share.
    pub letters: usize,
    /// The letters at the start that an account's prompts share.
    pub shared: usize,
    /// The least and the most tokens to generate.
    pub tokens: (u32, u32),
}

impl Mix {
    /// Draws the schedule.
    pub fn draw(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        self.draw_kind(&mut rng, self.chats, true, &mut arrivals);
        self.draw_kind(&mut rng, self.plains, false, &mut arrivals);
        arrivals.sort_by_key(|a| a.at);
        arrivals
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng, rate: f64, chat: bool, out: &mut Vec<Arrival>) {
        let mut at = 0.0;
        if rate <= 0.0 {
            return;
        }
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= self.time.as_secs_f64() {
                return;
            }
            let account = draw(rng, &self.accounts);
            let class = Class::ALL[draw(rng, &self.classes)];
            let entry = draw(rng, &self.entries);
            let number: u64 = rng.random();
            out.push(Arrival {
                at: Duration::from_secs_f64(at),
                entry,
                account,
                class: chat.then_some(class),
                prompt: self.prompt(account, number),
                max_tokens: rng.random_range(self.tokens.0..=self.tokens.1),
            });
        }
    }

    fn prompt(&self, account: usize, number: u64) -> String {
        let mut prompt =
            format!("account {account} rules of the site and the rates of each shift ")
                .repeat(self.shared / 32 + 1);
        prompt.truncate(self.shared);
        prompt.push_str(&format!("{number:016x} "));
        while prompt.len() < self.letters {
            prompt.push_str("hours of the gang ");
        }
        prompt
    }
}

/// Draws an index by weight.
fn draw(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let sum: f64 = weights.iter().sum();
    let mut left = rng.random::<f64>() * sum;
    for (i, weight) in weights.iter().enumerate() {
        if left < *weight {
            return i;
        }
        left -= weight;
    }
    weights.len() - 1
}

/// Where a schedule is run and as what.
#[derive(Clone)]
pub struct Target {
    /// The deployment.
    pub deployment: Deployment,
    /// The entries.
    pub entries: Vec<SocketAddr>,
    /// The model or cascade.
    pub model: String,
    /// Whether chats are streamed.
    pub stream: bool,
    /// The client.
    pub client: Client,
}

/// Runs a schedule and returns what came of each arrival, in order.
pub async fn run(target: &Target, arrivals: &[Arrival]) -> Vec<Outcome> {
    let began = Instant::now();
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let wait = arrival.at.saturating_sub(began.elapsed());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        tasks.push(task::spawn(one(target.clone(), arrival.clone())));
    }
    let mut outcomes = Vec::with_capacity(tasks.len());
    for task in tasks {
        outcomes.push(task.await);
    }
    outcomes
}

/// Sends one arrival.
pub async fn one(target: Target, arrival: Arrival) -> Outcome {
    let address = target.entries[arrival.entry % target.entries.len()];
    let key = format!("key-{}", target.deployment.accounts()[arrival.account]);
    let Some(class) = arrival.class else {
        let call = Call {
            method: "GET".into(),
            path: format!("/{}/status", target.deployment.plain_pool()),
            headers: vec![Header::new("authorization", format!("Bearer {key}"))],
            body: Vec::new(),
        };
        return call::send(&target.client, address, &call, false).await;
    };
    let index = Class::ALL.iter().position(|c| *c == class).unwrap_or(1);
    let chat = Chat {
        key,
        route: Some(target.deployment.routes()[index].to_owned()),
        model: target.model.clone(),
        prompt: arrival.prompt,
        max_tokens: arrival.max_tokens,
        stream: target.stream,
        session: None,
    };
    chat.ask(&target.client, address).await
}
