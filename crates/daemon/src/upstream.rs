//! Runs a request at an upstream.
//!
//! The sidecar checks that the answer belongs to the run: engines return the
//! run's id in a header and in every event of a stream.

use crate::loss;
use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::FutureExt;
use serde::Deserialize;
use sorreldeck::header;
use sorreldeck::sidecar::Event;
use sorreldeck::wire::{Call, Confidence, Header, Run, Start, Usage};
use sorreldeck::{Class, Failure, Reason, Size, Verdict};
use sorreldeck_net::bytes::Bytes;
use sorreldeck_net::events::Events;
use sorreldeck_net::http::{find_header, Client, Incoming};
use std::net::SocketAddr;

/// The size that the body of an answer may have: 64 KiB to 1 GiB.
pub type MaxAnswer = Bytes<{ 64 * 1024 }, { 1024 * 1024 * 1024 }, { 16 * 1024 * 1024 }>;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "date",
];

/// Returns whether a header is end-to-end, that is, forwarded.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name) && name != header::RUN
}

/// A handle to a run at the upstream; dropping it does not abort the run.
#[derive(Debug)]
pub struct Handle(Sender<()>);

impl Handle {
    /// Aborts the run.
    pub fn abort(&self) {
        self.0.close();
    }
}

/// Starts a run and reports its events to `report`.
pub fn spawn(
    client: &Client,
    address: SocketAddr,
    start: Start,
    max_answer: MaxAnswer,
    report: impl Fn(Run, Event) + Send + Sync + 'static,
) -> Handle {
    let (abort, aborted) = async_channel::bounded(1);
    let job = Job {
        client: client.clone(),
        address,
        run: start.run,
        engine: start.version.is_some(),
        usage: Usage::default(),
        confidence: None,
        max_answer: max_answer.size(),
        read: 0,
        done: false,
    };
    task::spawn(async move { job.run(start, aborted, &report).await });
    Handle(abort)
}

struct Job {
    client: Client,
    address: SocketAddr,
    run: Run,
    engine: bool,
    usage: Usage,
    confidence: Option<Confidence>,
    max_answer: Size,
    /// Bytes of the body so far.
    read: u64,
    done: bool,
}

/// The fields of an engine's answer or event that the sidecar reads.
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

type Report<'a> = &'a (dyn Fn(Run, Event) + Send + Sync);

impl Job {
    async fn run(mut self, start: Start, aborted: Receiver<()>, report: Report<'_>) {
        let run = self.run;
        let stop = async {
            let _ = aborted.recv().await;
            None
        };
        let work = async {
            match self.execute(start, report).await {
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
        report(run, event);
    }

    async fn execute(&mut self, start: Start, report: Report<'_>) -> Result<(), Failure> {
        let call = self.upstream_call(start);
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
            (true, true) => self.stream(incoming, head, report).await,
            (true, false) => self.buffer(incoming, head, report).await,
            (false, _) => {
                report(self.run, head);
                while let Some(data) = self.next(&mut incoming).await? {
                    report(self.run, Event::Data(data));
                }
                Ok(())
            }
        }
    }

    fn upstream_call(&self, start: Start) -> Call {
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
        let run = find_header(&incoming.headers, header::RUN);
        if run.is_some_and(|id| id != self.run.to_string()) {
            return Err(self.foreign_answer());
        }
        let message = format!("the engine answered with status {}", incoming.status);
        match incoming.status {
            // With these status codes the engine did not accept the request.
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

    fn foreign_answer(&self) -> Failure {
        let message = "the answer belongs to another request";
        Failure::new(Reason::ForeignAnswer, Verdict::MayHaveRun, message)
    }

    async fn next(&mut self, incoming: &mut Incoming) -> Result<Option<Vec<u8>>, Failure> {
        let data = incoming.next().await.map_err(|trouble| {
            Failure::new(Reason::UpstreamFailed, Verdict::MayHaveRun, trouble.message)
        })?;
        self.read += data.as_ref().map_or(0, Vec::len) as u64;
        match self.read > self.max_answer.bytes() {
            true => {
                let message = format!("the answer is larger than {}", self.max_answer);
                Err(Failure::new(Reason::UpstreamFailed, Verdict::Ran, message))
            }
            false => Ok(data),
        }
    }

    /// Forwards a stream in whole events. The head is sent with the first event, after
    /// the event's id was checked, so that nothing of another request's answer is
    /// forwarded.
    async fn stream(
        &mut self,
        mut incoming: Incoming,
        head: Event,
        report: Report<'_>,
    ) -> Result<(), Failure> {
        let mut head = Some(head);
        let mut events = Events::new(self.max_answer);
        while let Some(data) = self.next(&mut incoming).await? {
            let whole = events
                .push(&data)
                .map_err(|e| Failure::new(Reason::UpstreamFailed, Verdict::Ran, e.to_string()))?;
            let Some(events) = whole else {
                continue;
            };
            self.read_events(&events)?;
            if let Some(head) = head.take() {
                report(self.run, head);
            }
            report(self.run, Event::Data(events));
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
            let line = line.strip_suffix(b"\r").unwrap_or(line);
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
        let is_own = |id: &str| id.strip_prefix("chatcmpl-") == Some(&self.run.to_string());
        if !part.id.as_deref().is_some_and(is_own) {
            return Err(self.foreign_answer());
        }
        match part.usage {
            Some(counts) => {
                self.usage = Usage {
                    prompt: counts.prompt_tokens,
                    generated: counts.completion_tokens,
                    cached: counts.prompt_tokens_details.map_or(0, |d| d.cached_tokens),
                }
            }
            // Until the engine reports usage, each event counts as one token.
            None => self.usage.generated += 1,
        }
        self.confidence = confidence(&part.choices).or(self.confidence);
        Ok(())
    }

    /// Buffers the whole answer and forwards it after its id was checked.
    async fn buffer(
        &mut self,
        mut incoming: Incoming,
        head: Event,
        report: Report<'_>,
    ) -> Result<(), Failure> {
        let mut body = Vec::new();
        while let Some(data) = self.next(&mut incoming).await? {
            body.extend_from_slice(&data);
        }
        self.read_part(&body)?;
        report(self.run, head);
        report(self.run, Event::Data(body));
        Ok(())
    }
}

/// Returns the confidence in an answer: the geometric mean of its tokens' probabilities.
fn confidence(choices: &[Choice]) -> Option<Confidence> {
    let tokens = choices.first()?.logprobs.as_ref()?.content.as_ref()?;
    let sum: f64 = tokens.iter().map(|t| t.logprob).sum();
    let n = tokens.len();
    (n > 0).then(|| Confidence((sum / n as f64).exp()))
}
