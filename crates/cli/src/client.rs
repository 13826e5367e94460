//! Calls of the administration API.

use crate::options::Options;
use serde_json::{json, Value};
use sorreldeck::wire::Header;
use sorreldeck::{Revision, Tree, Verdict};
use sorreldeck_net::http;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    kind: Kind,
    message: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Other,
    Usage,
    Conflict,
    Invalid,
    Denied,
    Unavailable,
}

impl Failure {
    fn new(kind: Kind, message: impl fmt::Display) -> Failure {
        Failure {
            kind,
            message: message.to_string(),
        }
    }

    /// Creates a failure of the arguments.
    pub fn usage(message: &str) -> Failure {
        Failure::new(Kind::Usage, message)
    }

    /// Returns the exit code, as `--help` lists them.
    pub fn exit_code(&self) -> i32 {
        match self.kind {
            Kind::Other => 1,
            Kind::Usage => 2,
            Kind::Conflict => 3,
            Kind::Invalid => 4,
            Kind::Denied => 5,
            Kind::Unavailable => 6,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

/// A document read from a file.
pub struct Document {
    /// The text.
    pub text: String,
    json: bool,
}

impl Document {
    /// Returns the body of a change that puts the document in force.
    pub fn change(&self, prune: bool, dry_run: bool) -> Value {
        json!({
            "document": self.text,
            "format": if self.json { "json" } else { "toml" },
            "prune": prune,
            "dry_run": dry_run,
        })
    }
}

/// Reads a document.
pub fn read_document(file: &Path) -> Result<Document, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Failure::new(Kind::Other, format!("{}: {e}", file.display())))?;
    let json = file.extension().is_some_and(|e| e == "json");
    Ok(Document { text, json })
}

/// Checks a document as a whole tree.
pub fn parse(file: &Path, text: &str) -> Result<Tree, Failure> {
    let json = file.extension().is_some_and(|e| e == "json");
    let entries = match json {
        true => sorreldeck::tree::parse_json(text),
        false => sorreldeck::tree::parse_toml(text),
    };
    entries
        .and_then(|entries| Tree::from_entries(Revision(0), entries))
        .map_err(|e| Failure::new(Kind::Invalid, format!("{}: {e}", file.display())))
}

/// The administration API of one entry.
pub struct Client {
    server: SocketAddr,
    token: String,
    http: http::Client,
}

impl Client {
    /// Creates a client; a token is needed.
    pub fn new(options: &Options) -> Result<Client, Failure> {
        let token = options.token.clone();
        let token = token.ok_or_else(|| {
            Failure::usage("an operator's token is needed: --token or SORRELDECK_TOKEN")
        })?;
        Ok(Client {
            server: options.server,
            token,
            http: http::Client::default(),
        })
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        extra: &[Header],
        body: Vec<u8>,
    ) -> Result<Value, Failure> {
        let mut headers = vec![
            Header::new("authorization", format!("Bearer {}", self.token)),
            Header::new("content-type", "application/json"),
        ];
        headers.extend_from_slice(extra);
        let reply = self
            .http
            .call_within(TIMEOUT, self.server, method, path, &headers, body)
            .await
            .map_err(|trouble| match trouble.verdict {
                Verdict::NotRun => {
                    let message = format!("{} cannot be reached: {}", self.server, trouble.message);
                    Failure::new(Kind::Unavailable, message)
                }
                Verdict::MayHaveRun | Verdict::Ran => Failure::new(Kind::Unavailable, trouble),
            })?;
        let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        match reply.status {
            200 => Ok(value),
            status => Err(failure_of(status, &value, &reply.text())),
        }
    }

    /// Reads something.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.send("GET", path, &[], Vec::new()).await
    }

    /// Asks something with a body.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        let body = body.to_string().into_bytes();
        self.send("POST", path, &[], body).await
    }

    /// Submits a change based on a revision, or on the present one.
    pub async fn change(
        &self,
        change: &Value,
        revision: Option<Revision>,
        ticket: Option<&str>,
    ) -> Result<Value, Failure> {
        let headers = self.conditions(revision, ticket).await?;
        let body = change.to_string().into_bytes();
        self.send("POST", "/admin/v1/changes", &headers, body).await
    }

    /// Calls an action that is a change of its own.
    pub async fn act(&self, path: &str, revision: Option<Revision>) -> Result<Value, Failure> {
        let headers = self.conditions(revision, None).await?;
        self.send("POST", path, &headers, Vec::new()).await
    }

    async fn conditions(
        &self,
        revision: Option<Revision>,
        ticket: Option<&str>,
    ) -> Result<Vec<Header>, Failure> {
        let revision = match revision {
            Some(revision) => revision.to_string(),
            None => self.get("/admin/v1/tree").await?["revision"].to_string(),
        };
        let mut headers = vec![Header::new("if-match", revision)];
        if let Some(ticket) = ticket {
            headers.push(Header::new("x-sorreldeck-ticket", ticket));
        }
        Ok(headers)
    }
}

fn failure_of(status: u16, value: &Value, text: &str) -> Failure {
    let error = &value["error"];
    let message = error["message"].as_str().unwrap_or(text);
    let kind = match status {
        409 => Kind::Conflict,
        400 | 422 | 428 => Kind::Invalid,
        401 | 403 => Kind::Denied,
        503 | 504 => Kind::Unavailable,
        _ => Kind::Other,
    };
    let mut message = message.to_owned();
    if let Some(ticket) = error["detail"]["ticket"].as_str() {
        message.push_str(&format!("; --ticket {ticket}"));
    }
    Failure::new(kind, message)
}
