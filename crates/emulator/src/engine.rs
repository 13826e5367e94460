//! A model engine: continuous batching, a prefix cache, priorities, cancel and
//! resume, load reports with a lag, and fenced orders.
//!
//! Time model: the engine works in steps. In each step it works through at most
//! one chunk of prompts and makes one token for every request in its batch. A
//! step takes a base time, a time for each request in the batch, and the time of
//! the chunk.
//!
//! ```
//! use sorreldeck_emulator::engine::{Engine, Speed};
//!
//! # async_std::task::block_on(async {
//! let engine = Engine::new("u1", Speed::default(), Default::default());
//! engine.load_version("scribe-1");
//! let address = engine.serve().await?;
//! let client = sorreldeck_net::http::Client::default();
//! let models = client.get(address, "/v1/models").await.unwrap();
//! assert!(models.text().contains("scribe-1"));
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```

use crate::quality::Quality;
use crate::text::{self, Words};
use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use sorreldeck::header;
use sorreldeck_net::http::{self, Piece, Stream};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Body, Request, Response};

/// The tokens in one block of the prefix cache.
const BLOCK: usize = 32;
const LETTERS_PER_TOKEN: usize = 4;
/// How long a run without a listener goes on, if it may be resumed.
const RESUME_GRACE: Duration = Duration::from_secs(5);

/// How fast an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// The most requests in the batch.
    pub slots: usize,
    /// The prompt tokens worked through in a second.
    pub prefill: f64,
    /// The prompt tokens worked through in one step.
    pub chunk: f64,
    /// The time of a step.
    pub base: Duration,
    /// The time that each request in the batch adds to a step.
    pub per_request: Duration,
    /// The tokens that the prefix cache holds.
    pub cache: usize,
    /// How far load reports lag.
    pub report_lag: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            slots: 16,
            prefill: 20_000.0,
            chunk: 512.0,
            base: Duration::from_millis(8),
            per_request: Duration::from_micros(250),
            cache: 64 * 1024,
            report_lag: Duration::from_millis(500),
        }
    }
}

/// Switches for faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The share of requests that fail with status 500.
    pub fail: f64,
    /// Requests are turned away, and rest of so many seconds is asked for.
    #[serde(rename = "rest")]
    pub retry_after: Option<f64>,
    /// Requests break off after so many tokens.
    pub close_after: Option<u32>,
    /// Answers carry the id of another request.
    pub foreign: bool,
    /// Orders are carried out whatever their fence.
    #[serde(rename = "checks_nothing")]
    pub ignore_fences: bool,
    /// No step is made while this is set.
    pub frozen: bool,
}

/// A model engine; copies are the same engine.
#[derive(Clone)]
pub struct Engine(Arc<Shared>);

struct Shared {
    name: String,
    speed: Speed,
    quality: Quality,
    state: Mutex<State>,
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct State {
    knobs: Faults,
    versions: BTreeSet<String>,
    fence: u64,
    waiting: Vec<Job>,
    batch: Vec<Job>,
    cache: VecDeque<u64>,
    cache_events: VecDeque<Value>,
    reports: VecDeque<(Instant, Value)>,
    ran: BTreeMap<String, Progress>,
    arrivals: u64,
    turned_away: u64,
}

/// What a run came to, by the id that the caller gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How often a run with this id was started.
    pub starts: u32,
    /// The tokens that were made.
    pub tokens: u32,
    /// Whether all of them were made.
    pub finished: bool,
}

struct Job {
    id: String,
    version: String,
    prompt_tokens: usize,
    cached: usize,
    blocks: Vec<u64>,
    prefill_left: f64,
    max_tokens: u32,
    made: u32,
    priority: i64,
    order: u64,
    tell: Sender<u32>,
    orphaned: Option<Instant>,
    resumable: bool,
}

#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    #[serde(default)]
    logprobs: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Orders with a lower fence than one seen before are refused.
    pub fence: u64,
    /// The versions that are to be loaded, no others.
    pub versions: BTreeSet<String>,
}

impl Engine {
    /// Creates an engine that has nothing loaded.
    pub fn new(name: &str, speed: Speed, quality: Quality) -> Engine {
        Engine(Arc::new(Shared {
            name: name.to_owned(),
            speed,
            quality,
            state: Mutex::default(),
            wake: async_channel::bounded(1),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Loads a version.
    pub fn load_version(&self, version: &str) {
        self.state().versions.insert(version.to_owned());
    }

    /// Counts a request that has come, and returns the seconds of rest for which it is turned away.
    fn rest(&self) -> Option<f64> {
        let mut state = self.state();
        let rest = state.knobs.retry_after?;
        state.turned_away += 1;
        Some(rest)
    }

    /// Returns how many requests were turned away.
    pub fn rejected(&self) -> u64 {
        self.state().turned_away
    }

    /// Sets the switches for faults.
    pub fn set_faults(&self, knobs: Faults) {
        self.state().knobs = knobs;
        self.wake();
    }

    /// Returns what every run came to.
    pub fn runs(&self) -> BTreeMap<String, Progress> {
        self.state().ran.clone()
    }

    fn wake(&self) {
        // A full channel means that the engine is about to wake anyway.
        let _ = self.0.wake.0.try_send(());
    }

    /// Serves on a loopback port that the system chooses, and works.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn serve(&self) -> io::Result<SocketAddr> {
        let (listener, address) = crate::listen().await?;
        self.serve_on(listener);
        Ok(address)
    }

    /// Serves on a listener, and works.
    pub fn serve_on(&self, listener: async_std::net::TcpListener) {
        task::spawn(http::serve(listener, app(self.clone())));
        let engine = self.clone();
        task::spawn(async move { engine.work().await });
    }

    async fn work(&self) {
        loop {
            let took = self.step();
            match took {
                Some(took) => {
                    task::sleep(took).await;
                    self.finish_step();
                }
                None => {
                    let pause = task::sleep(Duration::from_millis(50));
                    let woken = async {
                        let _ = self.0.wake.1.recv().await;
                    };
                    pause.or(woken).await;
                }
            }
        }
    }

    /// Fills the batch and works through prompts; returns how long the step
    /// takes, or `None` if there is nothing to do.
    fn step(&self) -> Option<Duration> {
        let speed = self.0.speed;
        let mut state = self.state();
        state.drop_orphans();
        if state.knobs.frozen {
            return None;
        }
        state.fill(speed.slots, speed.cache);
        if state.batch.is_empty() {
            return None;
        }
        let mut chunk = speed.chunk;
        for job in &mut state.batch {
            let part = job.prefill_left.min(chunk);
            job.prefill_left -= part;
            chunk -= part;
        }
        let worked = Duration::from_secs_f64((speed.chunk - chunk) / speed.prefill);
        let decoding = state.batch.iter().filter(|j| j.prefill_left <= 0.0).count() as u32;
        Some(speed.base + speed.per_request * decoding + worked)
    }

    /// Makes a token for every request whose prompt is done.
    fn finish_step(&self) {
        let mut state = self.state();
        let close_after = state.knobs.close_after;
        let mut ended = Vec::new();
        for job in &mut state.batch {
            if job.prefill_left > 0.0 {
                continue;
            }
            job.made += 1;
            // A listener that is gone is noticed when orphans are dropped.
            let _ = job.tell.try_send(job.made);
            let broken = close_after.is_some_and(|n| job.made >= n);
            if job.made >= job.max_tokens || broken {
                job.tell.close();
                ended.push((job.id.clone(), job.made, job.made >= job.max_tokens));
            }
        }
        let done = |job: &Job| job.tell.is_closed() && job.orphaned.is_none();
        state.batch.retain(|job| !done(job));
        for (id, made, finished) in ended {
            let ran = state.ran.entry(id).or_default();
            ran.tokens = made;
            ran.finished = finished;
        }
        state.report(self.0.speed.report_lag, self.0.speed.slots);
    }

    fn submit(
        &self,
        id: &str,
        ask: &Ask,
        prompt: &str,
        priority: i64,
        resumable: bool,
    ) -> Receiver<u32> {
        let (tell, told) = async_channel::unbounded();
        let blocks = blocks_of(&ask.model, prompt);
        let mut state = self.state();
        let ran = state.ran.entry(id.to_owned()).or_default();
        ran.starts += 1;
        let order = state.arrivals;
        state.arrivals += 1;
        state.waiting.push(Job {
            id: id.to_owned(),
            version: ask.model.clone(),
            prompt_tokens: prompt.len().div_ceil(LETTERS_PER_TOKEN),
            cached: 0,
            blocks,
            prefill_left: 0.0,
            max_tokens: ask.max_tokens.unwrap_or(256),
            made: 0,
            priority,
            order,
            tell,
            orphaned: None,
            resumable,
        });
        drop(state);
        self.wake();
        told
    }

    fn obey(&self, order: &Order) -> Result<(), String> {
        let mut state = self.state();
        if order.fence < state.fence && !state.knobs.ignore_fences {
            return Err(format!("fence {} was seen before", state.fence));
        }
        state.fence = state.fence.max(order.fence);
        state.versions = order.versions.clone();
        Ok(())
    }
}

impl State {
    /// Takes waiting requests into the batch, the most urgent first.
    fn fill(&mut self, slots: usize, cache: usize) {
        self.waiting.sort_by_key(|job| (job.priority, job.order));
        while self.batch.len() < slots && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            job.cached = self.cached(&job.blocks) * BLOCK;
            job.prefill_left = job.prompt_tokens.saturating_sub(job.cached) as f64;
            self.remember(&job.blocks, cache);
            self.batch.push(job);
        }
        self.batch.sort_by_key(|job| (job.priority, job.order));
    }

    fn cached(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.cache.contains(block))
            .count()
    }

    fn remember(&mut self, blocks: &[u64], capacity: usize) {
        for block in blocks {
            if !self.cache.contains(block) {
                self.cache.push_back(*block);
                self.cache_events.push_back(json!({"stored": block}));
            }
        }
        while self.cache.len() * BLOCK > capacity {
            if let Some(block) = self.cache.pop_front() {
                self.cache_events.push_back(json!({"evicted": block}));
            }
        }
        while self.cache_events.len() > 1000 {
            self.cache_events.pop_front();
        }
    }

    /// Drops the requests that nobody listens to.
    fn drop_orphans(&mut self) {
        let ran = &mut self.ran;
        let mut keep = |job: &mut Job| {
            if !job.tell.is_closed() && job.tell.receiver_count() > 0 {
                return true;
            }
            let since = *job.orphaned.get_or_insert_with(Instant::now);
            let kept = job.resumable && since.elapsed() < RESUME_GRACE && job.made < job.max_tokens;
            if !kept {
                ran.entry(job.id.clone()).or_default().tokens = job.made;
            }
            kept
        };
        self.batch.retain_mut(&mut keep);
        self.waiting.retain_mut(&mut keep);
    }

    fn report(&mut self, lag: Duration, slots: usize) {
        let report = json!({
            "running": self.batch.len(),
            "waiting": self.waiting.len(),
            "slots": slots,
        });
        self.reports.push_back((Instant::now(), report));
        while self.reports.len() > 2 && self.reports[1].0.elapsed() >= lag {
            self.reports.pop_front();
        }
    }
}

fn blocks_of(version: &str, prompt: &str) -> Vec<u64> {
    let mut hash = text::hash(version, 2);
    let block = |part: &[u8]| {
        hash = text::hash(&String::from_utf8_lossy(part), hash);
        hash
    };
    prompt
        .as_bytes()
        .chunks_exact(BLOCK * LETTERS_PER_TOKEN)
        .map(block)
        .collect()
}

/// Returns the prompt that a list of messages makes.
pub fn prompt_of(messages: &[Value]) -> String {
    let contents = messages.iter().filter_map(|m| m["content"].as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn app(engine: Engine) -> tide::Server<Engine> {
    let mut app = tide::with_state(engine);
    app.at("/v1/chat/completions").post(complete);
    app.at("/v1/resume/:id").get(resume);
    app.at("/v1/models").get(models);
    app.at("/load").get(load);
    app.at("/cache-events").get(cache_events);
    app.at("/orders").post(orders);
    app.at("/knobs").post(knobs);
    app.at("/ran").get(ran);
    app
}

fn failure(status: u16, message: &str) -> Response {
    let body = json!({"error": {"message": message}});
    Response::builder(status).body(body).build()
}

async fn complete(mut request: Request<Engine>) -> tide::Result {
    let ask: Ask = match request.body_json().await {
        Ok(ask) => ask,
        Err(e) => return Ok(failure(400, &e.to_string())),
    };
    let engine = request.state().clone();
    let given = |name: &str| request.header(name).map(|v| v.as_str().to_owned());
    let id = given(header::RUN).unwrap_or_else(|| "none".into());
    let priority = given(header::PRIORITY).and_then(|v| v.parse().ok());
    let resumable = given("x-resumable").is_some();
    if let Some(rest) = engine.rest() {
        let mut response = failure(503, "the engine rests");
        response.insert_header(header::RETRY_AFTER, rest.to_string());
        return Ok(response);
    }
    let (fails, foreign, loaded) = {
        let state = engine.state();
        let fails = text::unit(&id, 7) < state.knobs.fail;
        (
            fails,
            state.knobs.foreign,
            state.versions.contains(&ask.model),
        )
    };
    if !loaded {
        return Ok(failure(404, &format!("{} is not loaded", ask.model)));
    }
    if fails {
        return Ok(failure(500, "the engine failed"));
    }
    let prompt = prompt_of(&ask.messages);
    let told = engine.submit(&id, &ask, &prompt, priority.unwrap_or(0), resumable);
    let shown = if foreign {
        "somebody-else".to_owned()
    } else {
        id
    };
    let answer = Answer::new(&engine, shown, &ask, &prompt);
    if ask.stream {
        return Ok(answer.stream(told));
    }
    let connection = request.ext::<TcpStream>().cloned();
    answer.whole(told, connection).await
}

async fn resume(request: Request<Engine>) -> tide::Result {
    #[derive(Deserialize)]
    struct From {
        from: u32,
        prompt: String,
    }
    let id = request.param("id")?.to_owned();
    let from: From = request.query()?;
    let engine = request.state().clone();
    let (tell, told) = async_channel::unbounded();
    let resumed = {
        let mut state = engine.state();
        let job = state.batch.iter_mut().find(|job| job.id == id);
        job.map(|job| {
            let _ = tell.try_send(job.made);
            job.tell = tell;
            job.orphaned = None;
            (job.version.clone(), job.max_tokens)
        })
    };
    let Some((model, max_tokens)) = resumed else {
        return Ok(failure(404, "there is no such run"));
    };
    let ask = Ask {
        model,
        messages: Vec::new(),
        stream: true,
        max_tokens: Some(max_tokens),
        logprobs: false,
    };
    let mut answer = Answer::new(&engine, id, &ask, &from.prompt);
    answer.sent = from.from;
    Ok(answer.stream(told))
}

async fn models(request: Request<Engine>) -> tide::Result {
    let state = request.state().state();
    let data: Vec<Value> = state
        .versions
        .iter()
        .map(|v| json!({"id": v, "object": "model"}))
        .collect();
    Ok(json!({"object": "list", "data": data}).into())
}

async fn load(request: Request<Engine>) -> tide::Result {
    let state = request.state().state();
    let oldest = state.reports.front().map(|(_, report)| report.clone());
    Ok(oldest
        .unwrap_or_else(|| json!({"running": 0, "waiting": 0}))
        .into())
}

async fn cache_events(request: Request<Engine>) -> tide::Result {
    let mut state = request.state().state();
    let events: Vec<Value> = state.cache_events.drain(..).collect();
    Ok(Value::from(events).into())
}

async fn orders(mut request: Request<Engine>) -> tide::Result {
    let order: Order = match request.body_json().await {
        Ok(order) => order,
        Err(e) => return Ok(failure(400, &e.to_string())),
    };
    match request.state().obey(&order) {
        Ok(()) => Ok(json!({"fence": order.fence}).into()),
        Err(message) => Ok(failure(409, &message)),
    }
}

async fn knobs(mut request: Request<Engine>) -> tide::Result {
    let knobs: Faults = match request.body_json().await {
        Ok(knobs) => knobs,
        Err(e) => return Ok(failure(400, &e.to_string())),
    };
    request.state().set_faults(knobs);
    Ok(Response::new(204))
}

async fn ran(request: Request<Engine>) -> tide::Result {
    Ok(Body::from_json(&request.state().runs())?.into())
}

fn broken(data: Vec<u8>) -> Piece {
    Piece { data, broken: true }
}

/// An answer on its way out.
struct Answer {
    id: String,
    model: String,
    words: Words,
    prompt_tokens: usize,
    cached: usize,
    max_tokens: u32,
    confidence: Option<f64>,
    sent: u32,
}

impl Answer {
    fn new(engine: &Engine, id: String, ask: &Ask, prompt: &str) -> Answer {
        let seed = text::seed(prompt);
        let sure = ask
            .logprobs
            .then(|| engine.0.quality.confidence(&ask.model, seed));
        let blocks = blocks_of(&ask.model, prompt);
        let cached = engine.state().cached(&blocks) * BLOCK;
        Answer {
            id: format!("chatcmpl-{id}"),
            model: ask.model.clone(),
            words: Words::new(&ask.model, prompt),
            prompt_tokens: prompt.len().div_ceil(LETTERS_PER_TOKEN),
            cached,
            max_tokens: ask.max_tokens.unwrap_or(256),
            confidence: sure,
            sent: 0,
        }
    }

    fn usage(&self, made: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": made,
            "total_tokens": self.prompt_tokens + made as usize,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }

    fn headers(&self, response: &mut Response) {
        let run = self.id.trim_start_matches("chatcmpl-");
        response.insert_header(header::RUN, run);
    }

    /// Returns the event of one token. It is written by hand because an engine
    /// makes many thousands in a second.
    fn event(&self, i: u32) -> String {
        format!(
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}},\"finish_reason\":null}}]}}\n\n",
            self.id,
            self.model,
            self.words.word(i)
        )
    }

    fn last_events(&self) -> String {
        let last = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self.usage(self.max_tokens),
        });
        format!("data: {last}\n\ndata: [DONE]\n\n")
    }

    fn stream(self, told: Receiver<u32>) -> Response {
        let mut response = Response::new(200);
        self.headers(&mut response);
        response.insert_header("content-type", "text/event-stream");
        let (send, parts) = async_channel::bounded(64);
        task::spawn(async move {
            // A caller that is gone ends the answer, and so the run.
            let _ = self.feed(told, &send).await;
        });
        response.set_body(Body::from_reader(Stream::new(parts, |piece| piece), None));
        response
    }

    async fn feed(
        mut self,
        told: Receiver<u32>,
        parts: &Sender<Piece>,
    ) -> Result<(), async_channel::SendError<Piece>> {
        while self.sent < self.max_tokens {
            let Ok(made) = told.recv().await else {
                return parts.send(broken(Vec::new())).await;
            };
            let mut buf = String::new();
            while self.sent < made {
                buf.push_str(&self.event(self.sent));
                self.sent += 1;
            }
            parts.send(buf.into_bytes().into()).await?;
        }
        parts.send(self.last_events().into_bytes().into()).await
    }

    async fn whole(self, told: Receiver<u32>, connection: Option<TcpStream>) -> tide::Result {
        let made = async {
            let mut made = 0;
            while let Ok(n) = told.recv().await {
                made = n;
            }
            Some(made)
        };
        let gone = async {
            match &connection {
                Some(stream) => http::closed(stream).await,
                None => futures_lite::future::pending().await,
            }
            None
        };
        let Some(made) = made.or(gone).await else {
            return Ok(failure(499, "the caller went away"));
        };
        if made < self.max_tokens {
            return Ok(self.cut());
        }
        let content: String = (0..made).map(|i| self.words.word(i)).collect();
        let mut choice = json!({
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        });
        if let Some(sure) = self.confidence {
            let tokens = json!([{"token": "", "logprob": sure.ln()}]);
            choice["logprobs"] = json!({"content": tokens});
        }
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(made),
        });
        let mut response = Response::new(200);
        self.headers(&mut response);
        response.set_body(body);
        Ok(response)
    }

    /// Returns an answer that promises more than it holds.
    fn cut(self) -> Response {
        let (send, parts) = async_channel::bounded(1);
        // The channel is new, so there is room.
        let _ = send.try_send(broken(b"{\"id\": \"".to_vec()));
        let mut response = Response::new(200);
        self.headers(&mut response);
        response.set_body(Body::from_reader(Stream::new(parts, |piece| piece), None));
        response
    }
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Engine({})", self.0.name)
    }
}
