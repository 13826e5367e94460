//! Messages between an entry and a sidecar, and their form on a link.
//!
//! One WebSocket message carries a batch of frames, so that a busy link pays
//! for one system call, not one for each token.
//!
//! ```
//! use sorreldeck::wire::{self, Frame};
//!
//! let buf = wire::encode(&[Frame::Goodbye]);
//! assert_eq!(wire::decode(&buf)?, vec![Frame::Goodbye]);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::bill::Record;
use crate::duty;
use crate::era::Era;
use crate::error::{Category, Error, Result};
use crate::evidence::Evidence;
use crate::failure::Failure;
use crate::id::*;
use crate::notice;
use crate::quarantine::Update;
use crate::release::{Affinity, Report};
use crate::tree::{Change, Class};
use crate::unit::Span;
use crate::verdict::Verdict;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// One try to run one step of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// The step of a cascade, from 0; 0 where there is no cascade.
    pub step: u16,
    /// The count of the try, from 0.
    pub attempt: u16,
}

impl Run {
    /// Returns the first try of the first step of a request.
    pub fn first(request: RequestId) -> Run {
        Run {
            request,
            step: 0,
            attempt: 0,
        }
    }

    /// Returns the next try of the same step.
    pub fn next_attempt(self) -> Run {
        Run {
            attempt: self.attempt + 1,
            ..self
        }
    }

    /// Returns the first try of the next step.
    pub fn next_step(self) -> Run {
        Run {
            step: self.step + 1,
            attempt: 0,
            ..self
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.request, self.step, self.attempt)
    }
}

impl fmt::Debug for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What runs at an upstream and what waits there, as its sidecar counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests running.
    pub running: u32,
    /// The most requests that may run at a time.
    pub slots: u32,
    /// The places kept for the priority class.
    pub reserve: u32,
    /// The requests waiting.
    pub queued: u32,
    /// The expected wait of a standard request that comes now.
    #[serde(with = "span_micros")]
    pub wait: Span,
    /// The prompt tokens that the upstream works through in a second.
    #[serde(rename = "prefill")]
    pub prefill_rate: u32,
}

mod span_micros {
    use super::Span;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(span: &Span, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(span.micros())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        u64::deserialize(d).map(Span::from_micros)
    }
}

/// Who a sidecar is and what its upstream serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The pool that the upstream belongs to.
    pub pool: PoolId,
    /// The data hall of the upstream.
    pub hall: Hall,
    /// The run of the sidecar.
    pub incarnation: Incarnation,
    /// The revision that the sidecar has in force.
    pub revision: Revision,
    /// What runs there.
    pub load: Load,
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: String,
}

impl Header {
    /// Creates a header.
    pub fn new(name: impl Into<String>, value: impl fmt::Display) -> Header {
        Header {
            name: name.into(),
            value: value.to_string(),
        }
    }
}

/// A request on its way to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path and query as the upstream is to see it.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A sidecar's order to run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The try.
    pub run: Run,
    /// The client account that pays.
    pub account: AccountId,
    /// The weight of the client account.
    pub weight: u32,
    /// The class.
    pub class: Class,
    /// The version to run, or `None` for a plain service.
    pub version: Option<VersionId>,
    /// The time left until the answer must begin, in microseconds.
    pub deadline_us: u64,
    /// The expected cost of the request, in tokens.
    pub tokens: u32,
    /// Whether the request may wait here; if not, it is refused at once when
    /// there is no room, to be tried elsewhere.
    #[serde(rename = "patient")]
    pub may_queue: bool,
    /// The revision by which the entry decided.
    pub revision: Revision,
    /// The call itself.
    pub call: Call,
    /// What an upstream that is called directly is told besides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "order")]
    pub metadata: Option<Box<Metadata>>,
}

/// The tables of the platform's store that entries follow.
pub const TABLE_COUNT: usize = 4;

/// A table of the platform's store as one entry gives it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The number of the table among those that entries follow.
    pub number: usize,
    /// The version of the store that the copy shows.
    pub version: u64,
    /// The era of that version.
    #[serde(default)]
    pub era: Era,
    /// Keys, versions and values.
    pub rows: Vec<(String, u64, serde_bytes::ByteBuf)>,
    /// What holds though the store has lost it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedRow>,
}

/// Up to which versions an entry knows the tables of the platform's store, in one era.
///
/// It is written as the list of the versions and the era after them: builds that know no era
/// read the versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct Cursor {
    /// The version of each table, 0 where it is not known in this era.
    pub versions: [u64; TABLE_COUNT],
    /// The era.
    pub era: Era,
}

impl From<Vec<u64>> for Cursor {
    fn from(list: Vec<u64>) -> Cursor {
        let number = |at: usize| list.get(at).copied().unwrap_or(0);
        Cursor {
            versions: std::array::from_fn(number),
            era: Era(number(TABLE_COUNT)),
        }
    }
}

impl From<Cursor> for Vec<u64> {
    fn from(have: Cursor) -> Vec<u64> {
        let era = std::iter::once(have.era.0);
        have.versions.into_iter().chain(era).collect()
    }
}

/// What was known of a row that the store lost when it came back from a copy, and that holds
/// until it is written again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetainedRow {
    /// The key.
    pub key: String,
    /// The era in which it was written.
    pub era: Era,
    /// The version that it got there.
    pub version: u64,
    /// The value, or `None` where it was dropped.
    pub value: Option<serde_bytes::ByteBuf>,
    /// For how long it holds; `None` where that is not bound.
    #[serde(rename = "left")]
    pub remaining: Option<Span>,
}

/// Rows in one piece of memory, which the frames to many entries share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed(Arc<[u8]>);

impl From<Vec<u8>> for Packed {
    fn from(bytes: Vec<u8>) -> Packed {
        Packed(bytes.into())
    }
}

impl Deref for Packed {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Serialize for Packed {
    fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.serialize_bytes(self)
    }
}

impl<'de> Deserialize<'de> for Packed {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Packed, D::Error> {
        let bytes = serde_bytes::ByteBuf::deserialize(d)?;
        Ok(bytes.into_vec().into())
    }
}

/// What changed in a table of the platform's store, as one entry hands it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The number of the table among those that entries follow.
    pub number: usize,
    /// The version after which these rows changed, or `None` where they are the whole
    /// table.
    pub since: Option<u64>,
    /// The version that the table then has.
    pub version: u64,
    /// The era of these versions.
    #[serde(default)]
    pub era: Era,
    /// Keys, versions and values; no value where a row was dropped.
    pub rows: Vec<(String, u64, Option<serde_bytes::ByteBuf>)>,
    /// The rows, packed, in place of `rows`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<Packed>,
    /// What holds though the store has lost it, where the whole table is handed on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedRow>,
}

/// What an entry tells one from which it has the tables of the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// The entry.
    pub entry: InstanceId,
    /// Its data hall.
    pub hall: Hall,
    /// The versions of the tables that it has, where they are to be sent from there.
    #[serde(rename = "have")]
    pub cursor: Option<Cursor>,
    /// Whether it reads the store itself.
    pub reads_store: bool,
    /// What it has found of moves to other releases.
    #[serde(rename = "found")]
    pub release_reports: Vec<(PoolId, Report)>,
    /// The prompts that it sent: the number of the upstream, and how long reading takes,
    /// in milliseconds.
    #[serde(rename = "sent")]
    pub sent_prompts: Vec<(u64, u32)>,
    /// The sessions that it serves and that stay at their release.
    #[serde(rename = "stays")]
    pub affinities: Vec<Affinity>,
    /// The requests that were where upstreams crashed, and what became of them.
    #[serde(default)]
    #[serde(rename = "words")]
    pub quarantine: Vec<Update>,
    /// What upstreams said of themselves.
    #[serde(default)]
    pub notices: Vec<notice::Update>,
    /// What it counted of the requests that began to run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<duty::Update>,
    /// The time of day less the store's clock as it has it, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch_us: Option<i64>,
}

/// What an entry tells those that have the tables of the platform's store from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// When the store was heard last, on its own clock, in microseconds; `None` if it never
    /// was. An age would grow too slowly where entries tell it one another in a circle.
    #[serde(rename = "heard_us")]
    pub last_contact_us: Option<u64>,
    /// The time on the store's clock, in microseconds, where it is known.
    pub clock_us: Option<u64>,
    /// The era of the store that the entry knows.
    #[serde(default)]
    pub era: Era,
    /// Whether the entry is about to stop.
    pub leaving: bool,
    /// What changed in the tables.
    pub tables: Vec<TableDelta>,
    /// What the entries of data halls have found of moves to other releases.
    #[serde(rename = "found")]
    pub release_reports: Vec<(PoolId, Hall, Report)>,
    /// The prompts that entries sent: the number of the upstream, and how long reading
    /// takes, in milliseconds.
    #[serde(rename = "sent")]
    pub sent_prompts: Vec<(u64, u32)>,
    /// The sessions that entries serve and that stay at their release.
    #[serde(rename = "stays")]
    pub affinities: Vec<Affinity>,
    /// The requests that were where upstreams crashed, and what became of them.
    #[serde(default)]
    #[serde(rename = "words")]
    pub quarantine: Vec<Update>,
    /// What upstreams said of themselves.
    #[serde(default)]
    pub notices: Vec<notice::Update>,
    /// True time less the store's clock, in microseconds, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch_us: Option<i64>,
}

/// What an upstream that is called directly is told besides the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// The caller's name for the request, which the answer must carry.
    pub label: String,
    /// The client account, if the request belongs to one.
    pub account: Option<AccountId>,
    /// The upstream that must answer; any other refuses the call.
    pub upstream: Option<UpstreamId>,
    /// The model that must answer.
    pub model: Option<ModelId>,
    /// The order among waiting requests, 0 first.
    pub rank: u8,
    /// The last event that the caller has already.
    #[serde(rename = "last")]
    pub last_event_id: Option<u64>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the call may run at most once.
    #[serde(rename = "once")]
    pub at_most_once: bool,
}

/// What a run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The prompt tokens.
    pub prompt: u64,
    /// The generated tokens.
    pub generated: u64,
    /// The prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// How sure a model was of its answer: the mean probability of its tokens,
/// from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Confidence(pub f64);

/// A message between an entry and a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// An entry's request for tables that are newer than these versions.
    #[serde(rename = "Want")]
    FetchTables(Cursor),
    /// The tables that were asked for.
    Tables(Vec<TableCopy>),
    /// An entry asks for the tables from now on, and tells what it has found.
    Follow(Box<Follow>),
    /// News of the tables for an entry that asked for them.
    Feed(Box<Feed>),
    /// The sidecar presents itself; its first frame on a link.
    Welcome(Welcome),
    /// Run a request.
    Start(Box<Start>),
    /// The upstream began to answer.
    Head {
        /// The run.
        run: Run,
        /// The HTTP status.
        status: u16,
        /// The headers that are passed on.
        headers: Vec<Header>,
        /// What runs there now.
        load: Load,
    },
    /// A part of the answer.
    Data {
        /// The run.
        run: Run,
        /// The count of the part, from 0.
        seq: u32,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// The run.
        run: Run,
        /// The parts that were sent.
        parts: u32,
        /// What the run used.
        usage: Usage,
        /// How sure the model was, where the engine told.
        confidence: Option<Confidence>,
        /// The bill of the run.
        record: Option<Record>,
        /// What runs there now.
        load: Load,
    },
    /// The run was refused or failed.
    Fail {
        /// The run.
        run: Run,
        /// Why, and whether it may have run.
        failure: Failure,
        /// What was billed for the part that ran.
        record: Option<Record>,
        /// What runs there now.
        load: Load,
    },
    /// The caller went away; stop the run.
    Cancel(Run),
    /// What runs at the upstream now.
    Load(Load),
    /// No new work from now on; running work finishes.
    Goodbye,
    /// The sender has this revision in force.
    Revision(Revision),
    /// Send the changes after this revision.
    #[serde(rename = "Missing")]
    FetchChanges(Revision),
    /// Changes of the configuration, in order.
    Changes(Vec<Change>),
    /// The whole configuration, for a process that is too far behind.
    Snapshot {
        /// The revision.
        revision: Revision,
        /// The entries.
        entries: BTreeMap<String, Value>,
    },
    /// These records are in the platform's store.
    Billed(Vec<Run>),
    /// What an entry wants of a client account's limit, as a multiple of it.
    Demand {
        /// The client account.
        account: AccountId,
        /// The demand; 1 is the whole limit.
        demand: f64,
        /// What was taken in; 1 is the whole limit.
        used: f64,
    },
    /// An entry's part of a client account's limit.
    Grant {
        /// The client account.
        account: AccountId,
        /// The part; 1 is the whole limit.
        share: f64,
    },
    /// What entries tell one another, by way of sidecars, of requests under which upstreams
    /// crashed.
    #[serde(rename = "Words")]
    Quarantine(Vec<Update>),
    /// What an entry has found out about a version, since it started.
    Evidence {
        /// The run of the entry.
        entry: Incarnation,
        /// The version.
        version: VersionId,
        /// All that the entry found.
        evidence: Evidence,
    },
    /// What all entries have found out about a version.
    #[serde(rename = "Pooled")]
    PooledEvidence {
        /// The version.
        version: VersionId,
        /// All that was found.
        evidence: Evidence,
        /// Whether the version was found bad.
        bad: bool,
    },
}

/// Writes frames as one message.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(128 * frames.len());
    // Frames hold only types that CBOR can express, and a Vec takes all bytes.
    ciborium::into_writer(frames, &mut buf).expect("a frame is always CBOR");
    buf
}

/// Reads the frames of one message.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] when the bytes are no batch of frames.
pub fn decode(buf: &[u8]) -> Result<Vec<Frame>> {
    ciborium::from_reader(buf).map_err(|e| Error::new(Category::Invalid, e.to_string()))
}

impl Frame {
    /// Returns the frame that refuses a run that was not started.
    pub fn refuse(run: Run, failure: Failure, load: Load) -> Frame {
        debug_assert_eq!(failure.verdict, Verdict::NotRun);
        Frame::Fail {
            run,
            failure,
            record: None,
            load,
        }
    }
}
