//! A request as the entry's shell hands it over, and the answer's parts.
//!
//! ```
//! use sorreldeck::entry::Chat;
//!
//! let body = br#"{"model": "scribe", "max_tokens": 20, "messages": []}"#;
//! let chat = Chat::from_slice(body).unwrap();
//! assert_eq!(chat.max_tokens, 20);
//! ```

use crate::digest;
use crate::entry::Routed;
use crate::failure::{Failure, Reason};
use crate::id::{AccountId, RequestId, VersionId};
use crate::pick::Prefix;
use crate::quarantine::Fingerprint;
use crate::wire::{Call, Header};
use serde_json::{Map, Value};

/// The tokens generated where the caller sets no bound.
const MAX_TOKENS: u32 = 256;
/// The letters that make one token, about.
const LETTERS_PER_TOKEN: usize = 4;
/// The tokens at the start of a prompt that requests are taken to share.
const PREFIX_TOKENS: usize = 64;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identity.
    pub request: RequestId,
    /// The API key.
    pub key: Option<String>,
    /// The route below the node of the key.
    pub route: Option<String>,
    /// The class asked for.
    pub class: Option<String>,
    /// The session token.
    pub session: Option<String>,
    /// Whether the caller forbids a second sending.
    pub at_most_once: bool,
    /// The caller's name for the request.
    pub idempotency_key: Option<String>,
    /// What is asked.
    pub payload: Payload,
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A chat completion.
    Chat(Box<Chat>),
    /// A call of a plain service.
    Plain(Call),
    /// A request that a route describes.
    Routed(Box<Routed>),
}

impl Payload {
    /// Returns what the request is known by when a client account sends it again.
    pub fn fingerprint(&self, account: &AccountId) -> Fingerprint {
        let account = account.as_str().as_bytes();
        match self {
            Payload::Chat(chat) => {
                let body = serde_json::to_vec(&chat.body).expect("a JSON map is always JSON");
                Fingerprint::of(&[account, b"chat", &body])
            }
            Payload::Plain(call) => call_fingerprint(account, "", call),
            Payload::Routed(routed) => call_fingerprint(account, &routed.host, &routed.call),
        }
    }
}

fn call_fingerprint(account: &[u8], host: &str, call: &Call) -> Fingerprint {
    let (method, path) = (call.method.as_bytes(), call.path.as_bytes());
    Fingerprint::of(&[account, host.as_bytes(), method, path, &call.body])
}

/// A chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model or cascade.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The prompt tokens, about.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The first part of the prompt.
    pub prefix: Option<Prefix>,
    /// The request as it came.
    pub body: Map<String, Value>,
}

impl Chat {
    /// Reads the body of a chat completion.
    ///
    /// # Errors
    ///
    /// Fails, not run, with [`Reason::BadRequest`] when it is no JSON object or
    /// lacks a model or messages.
    pub fn from_slice(buf: &[u8]) -> Result<Chat, Failure> {
        let bad = |message: String| Failure::not_run(Reason::BadRequest, message);
        let body: Map<String, Value> = serde_json::from_slice(buf)
            .map_err(|e| bad(format!("the body is no JSON object: {e}")))?;
        let model = match body.get("model") {
            Some(Value::String(model)) => model.clone(),
            _ => return Err(bad("`model` must be a string".into())),
        };
        let messages = match body.get("messages") {
            Some(Value::Array(messages)) => messages,
            _ => return Err(bad("`messages` must be a list".into())),
        };
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("`stream` must be true or false".into())),
        };
        let max_tokens = match body.get("max_tokens") {
            None | Some(Value::Null) => MAX_TOKENS,
            Some(n) => n
                .as_u64()
                .and_then(|n| u32::try_from(n).ok())
                .filter(|n| *n > 0)
                .ok_or_else(|| bad("`max_tokens` must be a whole number above 0".into()))?,
        };
        let prompt = prompt_text(messages);
        Ok(Chat {
            model,
            stream,
            prompt_tokens: prompt.len().div_ceil(LETTERS_PER_TOKEN) as u32,
            max_tokens,
            prefix: prefix_of(&prompt),
            body,
        })
    }

    /// Returns the expected cost of running the request, in generated tokens.
    pub fn cost(&self) -> u32 {
        // A prompt token is worked through many times faster than one is made.
        self.max_tokens + self.prompt_tokens / 16
    }

    /// Returns the call that an engine gets.
    pub fn call(&self, version: &VersionId, stream: bool, judge: bool) -> Call {
        let mut body = self.body.clone();
        body.insert("model".into(), version.as_str().into());
        body.insert("stream".into(), stream.into());
        if stream {
            body.insert(
                "stream_options".into(),
                serde_json::json!({"include_usage": true}),
            );
        }
        if judge {
            body.insert("logprobs".into(), true.into());
        }
        Call {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            headers: vec![Header::new("content-type", "application/json")],
            body: serde_json::to_vec(&body).expect("a JSON map is always JSON"),
        }
    }
}

fn prompt_text(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        if let Some(content) = message.get("content").and_then(Value::as_str) {
            text.push_str(content);
            text.push('\n');
        }
    }
    text
}

fn prefix_of(prompt: &str) -> Option<Prefix> {
    let letters = PREFIX_TOKENS * LETTERS_PER_TOKEN;
    let head = prompt.as_bytes().get(..letters)?;
    Some(Prefix {
        hash: digest::truncate(&blake3::hash(head)),
        tokens: PREFIX_TOKENS as u32,
    })
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The answer begins.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Bytes of the body.
    Data(Vec<u8>),
    /// The answer is whole.
    End,
    /// There is no answer, or it breaks off here.
    Fail(Failure),
}
