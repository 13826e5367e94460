//! Calls as a caller makes them, timed and checked.

use serde_json::{json, Value};
use sorreldeck::wire::{Call, Header};
use sorreldeck::{header, Verdict};
use sorreldeck_net::http::{find_header, Client};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A chat completion to be asked.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The API key.
    pub key: String,
    /// The route.
    pub route: Option<String>,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The session token.
    pub session: Option<String>,
}

/// What came of a call.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The HTTP status, or 0 if there was none.
    pub status: u16,
    /// The code of the error body.
    pub code: String,
    /// What the answer says about whether the request ran.
    pub verdict: Option<Verdict>,
    /// The text of the answer.
    pub text: String,
    /// The tokens that the usage states.
    pub tokens: u64,
    /// The time to the first part of the answer.
    pub first: Duration,
    /// The time to the end.
    pub whole: Duration,
    /// The version that answered.
    pub version: String,
    /// The upstream that answered.
    pub upstream: String,
    /// The identity of the request.
    pub request: String,
    /// The id that the engine gave the answer.
    pub id: String,
    /// The session token of the answer.
    pub session: Option<String>,
    /// Whether the answer ended as it should.
    pub complete: bool,
}

impl Outcome {
    /// Returns the steps of a cascade that were asked, by the id of the answer,
    /// which ends with step and try.
    pub fn request_steps(&self) -> u32 {
        let mut parts = self.id.rsplit('-');
        let step = parts.nth(1).and_then(|s| s.parse::<u32>().ok());
        step.unwrap_or(0) + 1
    }

    /// Returns whether there was a whole answer.
    pub fn is_answered(&self) -> bool {
        self.status == 200 && self.complete
    }
}

impl Chat {
    fn call(&self) -> Call {
        let body = json!({
            "model": self.model,
            "stream": self.stream,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        });
        let mut headers = vec![
            Header::new("authorization", format!("Bearer {}", self.key)),
            Header::new("content-type", "application/json"),
        ];
        if let Some(route) = &self.route {
            headers.push(Header::new(header::ROUTE, route));
        }
        if let Some(session) = &self.session {
            headers.push(Header::new(header::SESSION, session));
        }
        Call {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            headers,
            body: body.to_string().into_bytes(),
        }
    }

    /// Asks an entry, or an engine when the model is the name of a version.
    pub async fn ask(&self, client: &Client, address: SocketAddr) -> Outcome {
        let mut outcome = send(client, address, &self.call(), self.stream).await;
        let raw = std::mem::take(&mut outcome.text);
        match outcome.status {
            200 if self.stream => read_stream(&raw, &mut outcome),
            200 => read_whole(&raw, &mut outcome),
            _ => outcome.text = raw,
        }
        outcome
    }
}

/// Makes a call; the text of the outcome is the body as it came.
pub async fn send(client: &Client, address: SocketAddr, call: &Call, stream: bool) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    let sent = client.send(address, call, false).await;
    let mut incoming = match sent {
        Ok(incoming) => incoming,
        Err(trouble) => {
            outcome.verdict = Some(trouble.verdict);
            outcome.code = "no_answer".into();
            outcome.whole = began.elapsed();
            return outcome;
        }
    };
    outcome.status = incoming.status;
    let given = |name| find_header(&incoming.headers, name).map(str::to_owned);
    outcome.version = given(header::VERSION).unwrap_or_default();
    outcome.upstream = given(header::UPSTREAM).unwrap_or_default();
    outcome.request = given(header::REQUEST).unwrap_or_default();
    outcome.session = given(header::SESSION);
    outcome.verdict = given(header::VERDICT).and_then(|v| verdict_of(&v));
    let mut body = Vec::new();
    outcome.complete = loop {
        match incoming.next().await {
            Ok(Some(data)) => {
                if body.is_empty() {
                    outcome.first = began.elapsed();
                }
                body.extend_from_slice(&data);
            }
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    outcome.whole = began.elapsed();
    if !stream {
        outcome.first = outcome.whole;
    }
    outcome.text = String::from_utf8_lossy(&body).into_owned();
    if outcome.status != 200 {
        let error: Value = serde_json::from_str(&outcome.text).unwrap_or_default();
        outcome.code = error["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
    }
    outcome
}

fn verdict_of(text: &str) -> Option<Verdict> {
    [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
        .into_iter()
        .find(|v| v.as_str() == text)
}

fn read_stream(raw: &str, outcome: &mut Outcome) {
    let mut done = false;
    for data in raw.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(content) = event["choices"][0]["delta"]["content"].as_str() {
            outcome.text.push_str(content);
        }
        if let Some(tokens) = event["usage"]["completion_tokens"].as_u64() {
            outcome.tokens = tokens;
        }
    }
    outcome.complete &= done;
}

fn read_whole(raw: &str, outcome: &mut Outcome) {
    let answer: Value = serde_json::from_str(raw).unwrap_or_default();
    let content = answer["choices"][0]["message"]["content"].as_str();
    outcome.text = content.unwrap_or_default().to_owned();
    outcome.id = answer["id"].as_str().unwrap_or_default().to_owned();
    outcome.tokens = answer["usage"]["completion_tokens"].as_u64().unwrap_or(0);
}
