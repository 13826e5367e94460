//! Requests as the network layer passes them to the entry, and the parts of an answer.
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

/// The default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The approximate number of bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// The length of the prompt prefix that requests are assumed to share, in tokens.
const PREFIX_TOKENS: usize = 64;
/// The most parts of a prompt that are distinguished.
const MAX_PARTS: usize = 32;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier of the request.
    pub request: RequestId,
    /// The API key.
    pub key: Option<String>,
    /// The route below the node of the key.
    pub route: Option<String>,
    /// The requested class.
    pub class: Option<String>,
    /// The session token.
    pub session: Option<String>,
    /// Whether the caller forbids that the request may run twice.
    pub at_most_once: bool,
    /// The idempotency key that the caller sent.
    pub idempotency_key: Option<String>,
    /// The payload.
    pub payload: Payload,
}

/// The payload of a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A chat completion.
    Chat(Box<Chat>),
    /// A call of a plain service.
    Plain(Call),
    /// A request that matches a route.
    Routed(Box<Routed>),
}

impl Payload {
    /// Returns the fingerprint, which is the same when the client account repeats the request.
    pub fn fingerprint(&self, account: &AccountId) -> Fingerprint {
        let account = account.as_str().as_bytes();
        match self {
            Payload::Chat(chat) => {
                let body = serde_json::to_vec(&chat.body).expect("a JSON map can be serialized");
                Fingerprint::of(&[account, b"chat", &body])
            }
            Payload::Plain(call) => call_fingerprint(account, "", call),
            Payload::Routed(routed) => call_fingerprint(account, &routed.host, &routed.call),
        }
    }

    /// Returns the fingerprints of the parts of the prompt that other requests may share, each once.
    pub fn prompt_parts(&self) -> Vec<Fingerprint> {
        match self {
            Payload::Chat(chat) => distinct(chat.parts()),
            Payload::Plain(_) => Vec::new(),
            Payload::Routed(routed) => distinct(routed.parts.iter().copied()),
        }
    }
}

/// Returns the first parts, each once.
fn distinct(parts: impl Iterator<Item = Fingerprint>) -> Vec<Fingerprint> {
    let mut distinct = Vec::new();
    for part in parts.take(MAX_PARTS) {
        if !distinct.contains(&part) {
            distinct.push(part);
        }
    }
    distinct
}

fn call_fingerprint(account: &[u8], host: &str, call: &Call) -> Fingerprint {
    let (method, path) = (call.method.as_bytes(), call.path.as_bytes());
    Fingerprint::of(&[account, host.as_bytes(), method, path, &call.body])
}

/// A chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The requested model or cascade.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of generated tokens.
    pub max_tokens: u32,
    /// The prefix of the prompt that may be cached.
    pub prefix: Option<Prefix>,
    /// The body as received.
    pub body: Map<String, Value>,
}

impl Chat {
    /// Parses the body of a chat completion.
    ///
    /// # Errors
    ///
    /// Returns a failure with [`Reason::BadRequest`] if the body is not a JSON object, has no model
    /// or messages, or has an invalid `stream` or `max_tokens`.
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
            None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
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
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
            max_tokens,
            prefix: prefix_of(&prompt),
            body,
        })
    }

    /// Returns the expected cost of the request, in generated tokens.
    pub fn cost(&self) -> u32 {
        // Prefill processes a prompt token many times faster than a token is generated.
        self.max_tokens + self.prompt_tokens / 16
    }

    /// Returns the fingerprints of the messages before the last, which other requests may share.
    fn parts(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let messages = self.body.get("messages").and_then(Value::as_array);
        let messages = messages.map_or(&[][..], Vec::as_slice);
        let shared = messages.len().saturating_sub(1);
        let part = |message: &Value| Fingerprint::of_part(message.to_string().as_bytes());
        messages[..shared].iter().map(part)
    }

    /// Returns the call to send to an engine; `logprobs` requests log probabilities, from which the
    /// confidence is computed.
    pub fn call(&self, version: &VersionId, stream: bool, logprobs: bool) -> Call {
        let mut body = self.body.clone();
        body.insert("model".into(), version.as_str().into());
        body.insert("stream".into(), stream.into());
        if stream {
            body.insert(
                "stream_options".into(),
                serde_json::json!({"include_usage": true}),
            );
        }
        if logprobs {
            body.insert("logprobs".into(), true.into());
        }
        Call {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            headers: vec![Header::new("content-type", "application/json")],
            body: serde_json::to_vec(&body).expect("a JSON map can be serialized"),
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
    let bytes = PREFIX_TOKENS * BYTES_PER_TOKEN;
    let head = prompt.as_bytes().get(..bytes)?;
    Some(Prefix {
        hash: digest::truncate(&blake3::hash(head)),
        tokens: PREFIX_TOKENS as u32,
    })
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The head.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// A chunk of the body.
    Data(Vec<u8>),
    /// The end of a complete answer.
    End,
    /// The request failed, before or in the middle of the answer.
    Fail(Failure),
}
