//! What was decided about a request and why, for `explain`.
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

/// How many requests are remembered.
const KEPT: usize = 4096;

/// One try of one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The step of a cascade.
    pub step: u16,
    /// The version, or `None` for a plain service.
    pub version: Option<VersionId>,
    /// Why the version was chosen.
    pub why: Option<Cause>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// What was known of the upstream when it was chosen.
    #[serde(default, rename = "known", skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Snapshot>,
    /// What the run was expected to take there.
    #[serde(default, rename = "due", skip_serializing_if = "Option::is_none")]
    pub forecast: Option<Forecast>,
    /// What came of it, empty while it runs.
    pub outcome: String,
}

/// What an entry knows of an upstream that it chooses.
///
/// ```
/// use sorreldeck::entry::Snapshot;
///
/// let snapshot = Snapshot { running: 3, queued: 1, slots: 32, age_ms: 120, own: 2 };
/// assert_eq!(snapshot.to_string(), "3+1/32 120ms own=2");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The requests that ran there by its latest report.
    pub running: u32,
    /// The requests that waited there.
    pub queued: u32,
    /// The most that it runs at a time.
    pub slots: u32,
    /// The age of that report in milliseconds.
    pub age_ms: u64,
    /// The requests of this entry that were there.
    pub own: u32,
}

/// What a run was expected to take at an upstream.
///
/// ```
/// use sorreldeck::entry::Forecast;
///
/// let forecast = Forecast { uncached_tokens: 3700, behind_ms: 40, first_ms: 210 };
/// assert_eq!(forecast.to_string(), "fresh=3700 behind=40ms due=210ms");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// The tokens of the prompt that were to be read.
    #[serde(rename = "fresh")]
    pub uncached_tokens: u32,
    /// The milliseconds put down to what was to be read there before.
    pub behind_ms: u64,
    /// The milliseconds to the beginning of the answer.
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

/// What was decided about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The request.
    pub request: String,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The node, where one was found.
    pub node: Option<NodePath>,
    /// The client account.
    pub account: Option<AccountId>,
    /// The class.
    pub class: Option<Class>,
    /// The model, cascade or path asked for.
    pub asked: String,
    /// What the request is known by when it comes again, where it was taken in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<Fingerprint>,
    /// The tries, in order.
    #[serde(rename = "tries")]
    pub attempts: Vec<Attempt>,
    /// Why there was no answer.
    pub failure: Option<Failure>,
}

/// The decisions about the latest requests.
#[derive(Clone, Debug, Default)]
pub struct History {
    decisions: HashMap<RequestId, Decision>,
    order: VecDeque<RequestId>,
}

impl History {
    /// Returns how many decisions are remembered.
    pub fn len(&self) -> usize {
        self.decisions.len()
    }

    /// Returns whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.decisions.is_empty()
    }

    /// Returns the decision about a request, if it is remembered.
    pub fn get(&self, request: RequestId) -> Option<&Decision> {
        self.decisions.get(&request)
    }

    /// Starts a decision.
    pub fn begin(&mut self, request: RequestId, revision: Revision, asked: String) {
        let decision = Decision {
            request: request.to_string(),
            revision,
            node: None,
            account: None,
            class: None,
            asked,
            fingerprint: None,
            attempts: Vec::new(),
            failure: None,
        };
        self.decisions.insert(request, decision);
        self.order.push_back(request);
        if self.order.len() > KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.remove(&oldest);
            }
        }
    }

    /// Changes the decision about a request, if it is remembered.
    pub fn note(&mut self, request: RequestId, change: impl FnOnce(&mut Decision)) {
        if let Some(decision) = self.decisions.get_mut(&request) {
            change(decision);
        }
    }

    /// Notes what came of the latest try.
    pub fn outcome(&mut self, request: RequestId, outcome: impl Into<String>) {
        self.note(request, |decision| {
            if let Some(last) = decision.attempts.last_mut() {
                last.outcome = outcome.into();
            }
        });
    }
}
