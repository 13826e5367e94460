//! The responses to clients, and the log line of each request.

use super::super::response;
use super::EventLoop;
use log::info;
use sorreldeck::entry::{Input, Part, Payload, Request, Summary};
use sorreldeck::{Failure, RequestId};

impl EventLoop {
    /// Begins a request of a client.
    pub(super) fn begin_request(&mut self, request: Box<Request>, response: response::Writer) {
        if let Payload::Routed(routed) = &request.payload {
            let session = routed.session.map_or(String::new(), |s| format!("{s:x}"));
            let label = (routed.label.clone(), session);
            self.labels.insert(request.request, label);
        }
        self.responses.insert(request.request, response);
        self.handle(Input::Request(request));
    }

    /// Sends a part of a response to the client.
    pub(super) fn respond(&mut self, request: RequestId, part: Part) {
        let last = matches!(part, Part::End | Part::Fail(_));
        if let Some(response) = self.responses.get(&request) {
            response.write(part);
        }
        if last {
            self.responses.remove(&request);
        }
    }

    /// Logs the one line of a request that has ended.
    pub(super) fn log_request(&mut self, done: &Summary) {
        let request = done.request;
        let (label, session) = self.labels.remove(&request).unwrap_or_default();
        let Some(decision) = self.entry.history().get(request) else {
            return;
        };
        let tries: Vec<String> = decision
            .attempts
            .iter()
            .map(|t| {
                let version = t.version.as_ref().map_or("-", |v| v.as_str());
                let known = t.snapshot.map_or_else(String::new, |k| format!(" [{k}]"));
                let due = t.forecast.map_or_else(String::new, |d| format!(" [{d}]"));
                format!("{}/{version}{known}{due}: {}", t.upstream, t.outcome)
            })
            .collect();
        let failure = decision
            .failure
            .as_ref()
            .map_or_else(String::new, Failure::to_string);
        let fingerprint = decision
            .fingerprint
            .map_or_else(String::new, |f| f.to_string());
        let parts: Vec<String> = decision
            .prompt_parts
            .iter()
            .map(|p| p.to_string())
            .collect();
        info!(
            "event=request id={label} session={session} fingerprint={fingerprint} parts={} asked={:?} revision={} account={} first_ms={} whole_ms={} tries={tries:?} failure={failure:?}",
            parts.join(","),
            decision.asked,
            decision.revision,
            done.account.as_ref().map_or("-", |a| a.as_str()),
            done.first_byte.map_or(-1, |s| s.millis() as i64),
            done.duration.millis(),
        );
    }
}
