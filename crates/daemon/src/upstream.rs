//! One run of a request at an upstream.
//!
//! The sidecar checks that the answer belongs to the run: engines give the
//! run's id back in a header and in every event of a stream.

use crate::loss;
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use serde::Deserialize;
use sorreldeck::header;
use sorreldeck::sidecar::Event;
use sorreldeck::wire::{Call, Confidence, Header, Run, Start, Usage};
use sorreldeck::{Class, Failure, Reason, Verdict};
use sorreldeck_net::http::{find_header, Client, Incoming};
use std::net::SocketAddr;

/// Headers that belong to one connection and are not passed on.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "date",
];

/// Returns whether a header is passed on.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP.contains(&name) && name != header::RUN
}

/// A run at the upstream; dropping it does not stop the run.
#[derive(Debug)]
pub struct Handle(Sender<()>);

impl Handle {
    /// Stops the run.
    pub fn abort(&self) {
        self.0.close();
    }
}

/// Starts a run; what the upstream does is told through `tell`.
pub fn spawn(
    client: &Client,
    address: SocketAddr,
    start: Start,
    tell: impl Fn(Run, Event) + Send + Sync + 'static,
) -> Handle {
    let (abort, aborted) = async_channel::bounded(1);
    let job = Job {
        client: client.clone(),
        address,
        run: start.run,
        engine: start.version.is_some(),
        usage: Usage::default(),
        confidence: None,
        pending: Vec::new(),
        done: false,
    };
    task::spawn(async move { job.run(start, aborted, &tell).await });
    Handle(abort)
}

struct Job {
    client: Client,
    address: SocketAddr,
    run: Run,
    engine: bool,
    usage: Usage,
    confidence: Option<Confidence>,
    pending: Vec<u8>,
    done: bool,
}

/// The part of an engine's answer or event that the sidecar reads.
#[derive(Debug, Deserialize)]
struct Part<'a> {
    #[serde(borrow)]
    id: Option<std::borrow::Cow<'a, str>>,
    usage: Option<Counts>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Counts {
    prompt_tokens: u64,
    completion_tokens: u64,
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Choice {
    logprobs: Option<Logprobs>,
}

#[derive(Debug, Deserialize)]
struct Logprobs {
    content: Option<Vec<Logprob>>,
}

#[derive(Debug, Deserialize)]
struct Logprob {
    logprob: f64,
}

type Tell<'a> = &'a (dyn Fn(Run, Event) + Send + Sync);

impl Job {
    async fn run(mut self, start: Start, aborted: Receiver<()>, tell: Tell<'_>) {
        let run = self.run;
        let stop = async {
            let _ = aborted.recv().await;
            None
        };
        let work = async {
            match self.work(start, tell).await {
                Ok(()) => Some(Ok(())),
                Err(failure) => Some(Err(loss::classify(failure, self.address).await)),
            }
        };
        let result = work.or(stop).await;
        let event = match result {
            Some(Ok(())) => Event::End(self.usage, self.confidence),
            Some(Err(failure)) => Event::Fail(failure, self.usage),
            None => {
                let failure = Failure::new(Reason::Cancelled, Verdict::Ran, "the run was stopped");
                Event::Fail(failure, self.usage)
            }
        };
        tell(run, event);
    }

    async fn work(&mut self, start: Start, tell: Tell<'_>) -> Result<(), Failure> {
        let call = self.call_of(start);
        let sent = self.client.send(self.address, &call, false).await;
        let mut incoming = sent.map_err(|trouble| {
            Failure::new(Reason::UpstreamFailed, trouble.verdict, trouble.message)
        })?;
        if self.engine {
            self.check_head(&incoming).await?;
        }
        let streamed = find_header(&incoming.headers, "content-type")
            .is_some_and(|v| v.starts_with("text/event-stream"));
        let headers = incoming.headers.iter().filter(|h| is_end_to_end(&h.name));
        let head = Event::Head {
            status: incoming.status,
            headers: headers.cloned().collect(),
        };
        let good = incoming.status < 300;
        match (self.engine && good, streamed) {
            (true, true) => self.stream(incoming, head, tell).await,
            (true, false) => self.whole(incoming, head, tell).await,
            (false, _) => {
                tell(self.run, head);
                while let Some(data) = self.next(&mut incoming).await? {
                    tell(self.run, Event::Data(data));
                }
                Ok(())
            }
        }
    }

    fn call_of(&self, start: Start) -> Call {
        let mut call = start.call;
        call.headers.push(Header::new(header::RUN, self.run));
        if self.engine {
            let priority = match start.class {
                Class::Priority => 0,
                Class::Standard => 1,
                Class::Bulk => 2,
            };
            call.headers.push(Header::new(header::PRIORITY, priority));
        }
        call
    }

    async fn check_head(&mut self, incoming: &Incoming) -> Result<(), Failure> {
        let given = find_header(&incoming.headers, header::RUN);
        if given.is_some_and(|id| id != self.run.to_string()) {
            return Err(self.foreign());
        }
        let message = format!("the engine answered with status {}", incoming.status);
        match incoming.status {
            // These say that the engine took nothing in.
            429 | 503 => {
                let failure = Failure::not_run(Reason::UpstreamFailed, message);
                let retry_after = header::retry_after(incoming.status, &incoming.headers);
                Err(Failure {
                    retry_after,
                    ..failure
                })
            }
            500.. => Err(Failure::new(
                Reason::UpstreamFailed,
                Verdict::MayHaveRun,
                message,
            )),
            _ => Ok(()),
        }
    }

    fn foreign(&self) -> Failure {
        let message = "the answer belongs to another request";
        Failure::new(Reason::ForeignAnswer, Verdict::MayHaveRun, message)
    }

    async fn next(&self, incoming: &mut Incoming) -> Result<Option<Vec<u8>>, Failure> {
        incoming.next().await.map_err(|trouble| {
            Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, trouble.message)
        })
    }

    /// Passes a stream on, whole events at a time. The head goes out with the
    /// first event, so that an answer of another request shows nothing.
    async fn stream(
        &mut self,
        mut incoming: Incoming,
        head: Event,
        tell: Tell<'_>,
    ) -> Result<(), Failure> {
        let mut head = Some(head);
        while let Some(data) = self.next(&mut incoming).await? {
            self.pending.extend_from_slice(&data);
            let Some(cut) = end_of_events(&self.pending) else {
                continue;
            };
            let rest = self.pending.split_off(cut);
            let events = std::mem::replace(&mut self.pending, rest);
            self.read_events(&events)?;
            if let Some(head) = head.take() {
                tell(self.run, head);
            }
            tell(self.run, Event::Data(events));
        }
        match self.done {
            true => Ok(()),
            false => {
                let message = "the engine closed before the end of the stream";
                Err(Failure::new(Reason::UpstreamFailed, Verdict::Ran, message))
            }
        }
    }

    fn read_events(&mut self, events: &[u8]) -> Result<(), Failure> {
        for line in events.split(|b| *b == b'\n') {
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            if data == b"[DONE]" {
                self.done = true;
                continue;
            }
            self.read_part(data)?;
        }
        Ok(())
    }

    fn read_part(&mut self, data: &[u8]) -> Result<(), Failure> {
        let part: Part = serde_json::from_slice(data).map_err(|e| {
            let message = format!("the engine's answer is not understood: {e}");
            Failure::new(Reason::UpstreamFailed, Verdict::Ran, message)
        })?;
        let own = |id: &str| id.strip_prefix("chatcmpl-") == Some(&self.run.to_string());
        if !part.id.as_deref().is_some_and(own) {
            return Err(self.foreign());
        }
        match part.usage {
            Some(counts) => {
                self.usage = Usage {
                    prompt: counts.prompt_tokens,
                    generated: counts.completion_tokens,
                    cached: counts.prompt_tokens_details.map_or(0, |d| d.cached_tokens),
                }
            }
            // Until the counts come, each event stands for a token.
            None => self.usage.generated += 1,
        }
        self.confidence = confidence(&part.choices).or(self.confidence);
        Ok(())
    }

    async fn whole(
        &mut self,
        mut incoming: Incoming,
        head: Event,
        tell: Tell<'_>,
    ) -> Result<(), Failure> {
        let mut body = Vec::new();
        while let Some(data) = self.next(&mut incoming).await? {
            body.extend_from_slice(&data);
        }
        self.read_part(&body)?;
        tell(self.run, head);
        tell(self.run, Event::Data(body));
        Ok(())
    }
}

/// Returns the mean probability of the answer's tokens.
fn confidence(choices: &[Choice]) -> Option<Confidence> {
    let tokens = choices.first()?.logprobs.as_ref()?.content.as_ref()?;
    let sum: f64 = tokens.iter().map(|t| t.logprob).sum();
    let n = tokens.len();
    (n > 0).then(|| Confidence((sum / n as f64).exp()))
}

/// Returns the place after the last whole event.
fn end_of_events(buf: &[u8]) -> Option<usize> {
    buf.windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map(|i| i + 2)
}
