//! A bounded history of routing decisions, for `explain` and the request log.
//!
//! ```
//! use sorreldeck::entry::History;
//! use sorreldeck::RequestId;
//!
//! assert!(History::default().get(RequestId::new(1, 1)).is_none());
//! ```

use crate::failure::Failure;
use crate::id::*;
use crate::quarantine::Fingerprint;
use crate::route::Cause;
use crate::tree::Class;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// The maximum number of decisions kept.
const MAX_DECISIONS: usize = 4096;

/// One attempt of one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The index of the cascade step.
    pub step: u16,
    /// The version, or `None` for a plain service.
    pub version: Option<VersionId>,
    /// Why the version was chosen.
    pub why: Option<Cause>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The load of the upstream when it was chosen.
    #[serde(default, rename = "known", skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Snapshot>,
    /// The expected time to the start of the answer.
    #[serde(default, rename = "due", skip_serializing_if = "Option::is_none")]
    pub forecast: Option<Forecast>,
    /// The outcome, or an empty string while the attempt runs.
    pub outcome: String,
}

/// The load of an upstream when it was chosen.
///
/// ```
/// use sorreldeck::entry::Snapshot;
///
/// let snapshot = Snapshot { running: 3, queued: 1, slots: 32, age_ms: 120, own: 2 };
/// assert_eq!(snapshot.to_string(), "3+1/32 120ms own=2");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The number of running requests by its latest report.
    pub running: u32,
    /// The number of queued requests by its latest report.
    pub queued: u32,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// The number of requests of this entry at the upstream.
    pub own: u32,
}

/// The expected work of a run at its upstream.
///
/// ```
/// use sorreldeck::entry::Forecast;
///
/// let forecast = Forecast { uncached_tokens: 3700, behind_ms: 40, first_ms: 210 };
/// assert_eq!(forecast.to_string(), "fresh=3700 behind=40ms due=210ms");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// The prompt tokens that are not in the prefix cache of the upstream.
    #[serde(rename = "fresh")]
    pub uncached_tokens: u32,
    /// The expected wait for earlier prefills at the upstream, in milliseconds.
    pub behind_ms: u64,
    /// The expected time to the start of the answer, in milliseconds.
    pub first_ms: u64,
}

impl fmt::Display for Forecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Forecast {
            uncached_tokens: fresh,
            behind_ms,
            first_ms,
        } = self;
        write!(f, "fresh={fresh} behind={behind_ms}ms due={first_ms}ms")
    }
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Snapshot {
            running,
            queued,
            slots,
            age_ms,
            own,
        } = self;
        write!(f, "{running}+{queued}/{slots} {age_ms}ms own={own}")
    }
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The identifier of the request.
    pub request: String,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The node, if one was found.
    pub node: Option<NodePath>,
    /// The client account.
    pub account: Option<AccountId>,
    /// The class.
    pub class: Option<Class>,
    /// The requested model or cascade, or the method and path.
    pub asked: String,
    /// The fingerprint, if the request was admitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<Fingerprint>,
    /// The parts of the prompt that other requests may share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prompt_parts: Vec<Fingerprint>,
    /// The attempts, in order.
    #[serde(rename = "tries")]
    pub attempts: Vec<Attempt>,
    /// The failure, if the request failed.
    pub failure: Option<Failure>,
}

/// The decisions on the most recent requests.
#[derive(Clone, Debug, Default)]
pub struct History {
    decisions: HashMap<RequestId, Decision>,
    order: VecDeque<RequestId>,
}

impl History {
    /// Returns the number of decisions.
    pub fn len(&self) -> usize {
        self.decisions.len()
    }

    /// Returns whether there are no decisions.
    pub fn is_empty(&self) -> bool {
        self.decisions.is_empty()
    }

    /// Returns the decision on a request, if it is still kept.
    pub fn get(&self, request: RequestId) -> Option<&Decision> {
        self.decisions.get(&request)
    }

    /// Adds the decision on a new request and drops the oldest one beyond the limit.
    pub fn begin(&mut self, request: RequestId, revision: Revision, asked: String) {
        let decision = Decision {
            request: request.to_string(),
            revision,
            node: None,
            account: None,
            class: None,
            asked,
            fingerprint: None,
            prompt_parts: Vec::new(),
            attempts: Vec::new(),
            failure: None,
        };
        self.decisions.insert(request, decision);
        self.order.push_back(request);
        if self.order.len() > MAX_DECISIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.remove(&oldest);
            }
        }
    }

    /// Updates the decision on a request, if it is still kept.
    pub fn update(&mut self, request: RequestId, change: impl FnOnce(&mut Decision)) {
        if let Some(decision) = self.decisions.get_mut(&request) {
            change(decision);
        }
    }

    /// Sets the outcome of the latest attempt at an upstream.
    pub fn set_outcome_of(
        &mut self,
        request: RequestId,
        upstream: Option<&UpstreamId>,
        outcome: String,
    ) {
        self.update(request, |decision| {
            let mut attempts = decision.attempts.iter_mut().rev();
            let of_upstream = attempts.find(|attempt| Some(&attempt.upstream) == upstream);
            if let Some(attempt) = of_upstream {
                attempt.outcome = outcome;
            }
        });
    }

    /// Sets the outcome of the latest attempt.
    pub fn set_outcome(&mut self, request: RequestId, outcome: impl Into<String>) {
        self.update(request, |decision| {
            if let Some(last) = decision.attempts.last_mut() {
                last.outcome = outcome.into();
            }
        });
    }
}
