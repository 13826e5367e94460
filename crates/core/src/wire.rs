//! Messages between processes and their encoding on a link.
//!
//! One WebSocket message carries a batch of frames, so that a busy link needs one system call per
//! batch rather than one per token.
//!
//! ```
//! use sorreldeck::wire::{self, Frame};
//!
//! let buf = wire::encode(&[Frame::Goodbye]);
//! assert_eq!(wire::decode(&buf)?, vec![Frame::Goodbye]);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod speeds;

use crate::bill::Record;
use crate::duty;
use crate::era::Era;
use crate::error::{Category, Error, Result};
use crate::evidence::Evidence;
use crate::failure::Failure;
use crate::id::*;
use crate::notice;
use crate::pick::SpeedSum;
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

/// One attempt to run one step of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// The step of a cascade, from 0; always 0 without a cascade.
    pub step: u16,
    /// The number of the attempt, from 0.
    pub attempt: u16,
}

impl Run {
    /// Returns the first attempt of the first step of a request.
    pub fn first(request: RequestId) -> Run {
        Run {
            request,
            step: 0,
            attempt: 0,
        }
    }

    /// Returns the next attempt of the same step.
    pub fn next_attempt(self) -> Run {
        Run {
            attempt: self.attempt + 1,
            ..self
        }
    }

    /// Returns the first attempt of the next step.
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

/// Running and queued work at an upstream, as counted by its sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that may run concurrently.
    pub slots: u32,
    /// The slots reserved for the priority class.
    pub reserve: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The expected wait of a new standard request.
    #[serde(with = "span_micros")]
    pub wait: Span,
    /// The prompt tokens that the upstream processes per second.
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

/// The introduction of a sidecar and its upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The pool that the upstream belongs to.
    pub pool: PoolId,
    /// The data hall of the upstream.
    pub hall: Hall,
    /// The incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// The active revision of the sidecar.
    pub revision: Revision,
    /// The load of the upstream.
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

/// An HTTP request to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path and query sent to the upstream.
    pub path: String,
    /// The headers to forward.
    pub headers: Vec<Header>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// An order to a sidecar to run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: Run,
    /// The client account billed.
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
    /// Whether the request may be queued. If not, it is refused at once when no slot is free, so
    /// that another upstream can be tried.
    #[serde(rename = "patient")]
    pub may_queue: bool,
    /// The revision on which the entry based its decision.
    pub revision: Revision,
    /// The HTTP request.
    pub call: Call,
    /// The metadata of the call, for an upstream that is called directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "order")]
    pub metadata: Option<Box<Metadata>>,
}

/// The number of tables of the platform's store that entries replicate.
pub const TABLE_COUNT: usize = 4;

/// A full copy of a table of the platform's store, passed between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableCopy {
    /// The index of the table among the replicated ones.
    pub number: usize,
    /// The store version of the copy.
    pub version: u64,
    /// The era of that version.
    #[serde(default)]
    pub era: Era,
    /// Keys, versions and values.
    pub rows: Vec<(String, u64, serde_bytes::ByteBuf)>,
    /// Rows that the store has lost but that remain valid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedRow>,
}

/// A replication position: the versions up to which an entry has the tables of the platform's
/// store, within one era.
///
/// It is encoded as a list of the versions followed by the era, so that builds without eras can
/// read the versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct Cursor {
    /// The version of each table, 0 if unknown in this era.
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
    fn from(cursor: Cursor) -> Vec<u64> {
        let era = std::iter::once(cursor.era.0);
        cursor.versions.into_iter().chain(era).collect()
    }
}

/// A row that was lost when the store was restored from a backup, and that remains valid until it
/// is written again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetainedRow {
    /// The key.
    pub key: String,
    /// The era in which it was written.
    pub era: Era,
    /// The version assigned in that era.
    pub version: u64,
    /// The value, or `None` if the row was removed.
    pub value: Option<serde_bytes::ByteBuf>,
    /// How long the row remains valid; `None` for no limit.
    #[serde(rename = "left")]
    pub remaining: Option<Span>,
}

/// Encoded rows in one allocation, shared by the frames to many entries.
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

/// The changes of a table of the platform's store, passed between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The index of the table among the replicated ones.
    pub number: usize,
    /// The version that the changes are based on, or `None` if `rows` is the whole table.
    pub since: Option<u64>,
    /// The version of the table with these changes.
    pub version: u64,
    /// The era of these versions.
    #[serde(default)]
    pub era: Era,
    /// Keys, versions and values; no value for a removed row.
    pub rows: Vec<(String, u64, Option<serde_bytes::ByteBuf>)>,
    /// The encoded rows, in place of `rows`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<Packed>,
    /// Rows that the store has lost but that remain valid, if the whole table is sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedRow>,
}

/// A message of an entry to the entry that it replicates the tables of the platform's store from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// The entry.
    pub entry: InstanceId,
    /// Its data hall.
    pub hall: Hall,
    /// The replication position to resume from, if the tables are requested.
    #[serde(rename = "have")]
    pub cursor: Option<Cursor>,
    /// Whether it reads the store itself.
    pub reads_store: bool,
    /// Its observations of moves to other releases.
    #[serde(rename = "found")]
    pub release_reports: Vec<(PoolId, Report)>,
    /// The prompts that it sent: the number of the upstream and the time to process the prompt, in
    /// milliseconds.
    #[serde(rename = "sent")]
    pub sent_prompts: Vec<(u64, u32)>,
    /// Upstreams whose answers are overdue, with the milliseconds for which they read at least.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub overdue: BTreeMap<u64, u32>,
    /// The sessions that it serves and that stay at their release.
    #[serde(rename = "stays")]
    pub affinities: Vec<Affinity>,
    /// The requests that were running when upstreams crashed, and their outcomes.
    #[serde(default)]
    #[serde(rename = "words")]
    pub quarantine: Vec<Update>,
    /// Notices that upstreams sent about themselves.
    #[serde(default)]
    pub notices: Vec<notice::Update>,
    /// How long work took at upstreams since the last message with such sums.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "speeds")]
    pub speeds: Vec<SpeedSum>,
    /// Its counts of started requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<duty::Update>,
    /// The UTC time at the origin of the store's clock, as estimated by the entry, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch_us: Option<i64>,
}

impl Follow {
    /// Creates a message that only shows that the entry is alive.
    pub fn new(entry: InstanceId, hall: Hall) -> Follow {
        Follow {
            entry,
            hall,
            cursor: None,
            reads_store: false,
            release_reports: Vec::new(),
            sent_prompts: Vec::new(),
            overdue: BTreeMap::new(),
            affinities: Vec::new(),
            quarantine: Vec::new(),
            notices: Vec::new(),
            speeds: Vec::new(),
            counts: Vec::new(),
            epoch_us: None,
        }
    }
}

/// A message of an entry to those that replicate the tables of the platform's store from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// The time of the last contact with the store, on the store's clock, in microseconds; `None`
    /// if there was none. It is not sent as an age, because an age passed around a cycle of entries
    /// would grow too slowly.
    #[serde(rename = "heard_us")]
    pub last_contact_us: Option<u64>,
    /// The time on the store's clock, in microseconds, if known.
    pub clock_us: Option<u64>,
    /// The era of the store as known to the entry.
    #[serde(default)]
    pub era: Era,
    /// Whether the entry is about to stop.
    pub leaving: bool,
    /// The changes of the tables.
    pub tables: Vec<TableDelta>,
    /// The observations of moves to other releases, by data hall.
    #[serde(rename = "found")]
    pub release_reports: Vec<(PoolId, Hall, Report)>,
    /// The prompts that entries sent: the number of the upstream and the time to process the
    /// prompt, in milliseconds.
    #[serde(rename = "sent")]
    pub sent_prompts: Vec<(u64, u32)>,
    /// Upstreams whose answers are overdue, with the milliseconds for which they read at least.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub overdue: BTreeMap<u64, u32>,
    /// The sessions that entries serve and that stay at their release.
    #[serde(rename = "stays")]
    pub affinities: Vec<Affinity>,
    /// The requests that were running when upstreams crashed, and their outcomes.
    #[serde(default)]
    #[serde(rename = "words")]
    pub quarantine: Vec<Update>,
    /// Notices that upstreams sent about themselves.
    #[serde(default)]
    pub notices: Vec<notice::Update>,
    /// How long work took at upstreams since the last message with such sums.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "speeds")]
    pub speeds: Vec<SpeedSum>,
    /// The UTC time at the origin of the store's clock, in microseconds, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch_us: Option<i64>,
}

/// Metadata of a call to an upstream that is called directly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// The label of the request, which the answer must carry.
    pub label: String,
    /// The client account that the request belongs to, if any.
    pub account: Option<AccountId>,
    /// The upstream that must answer; any other rejects the call.
    pub upstream: Option<UpstreamId>,
    /// The model that must answer.
    pub model: Option<ModelId>,
    /// The rank among waiting requests; 0 goes first.
    pub rank: u8,
    /// The last event that the caller has received.
    #[serde(rename = "last")]
    pub last_event_id: Option<u64>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the call needs a connection of its own, which the upstream cannot have closed before:
    /// it may run at most once, or an earlier run found a kept connection closed.
    #[serde(rename = "once")]
    pub new_connection: bool,
}

/// The tokens used by a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The prompt tokens.
    pub prompt: u64,
    /// The generated tokens.
    pub generated: u64,
    /// The prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// The confidence of a model in its answer: the mean probability of its tokens, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Confidence(pub f64);

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Requests the tables newer than these versions.
    #[serde(rename = "Want")]
    FetchTables(Cursor),
    /// The requested tables.
    Tables(Vec<TableCopy>),
    /// Subscribes to the tables and carries the observations of the entry.
    Follow(Box<Follow>),
    /// Table changes and observations for a subscribed entry.
    Feed(Box<Feed>),
    /// Introduces the sidecar; the first frame on a link.
    Welcome(Welcome),
    /// Starts a run.
    Start(Box<Start>),
    /// The upstream began to answer.
    Head {
        /// The run.
        run: Run,
        /// The HTTP status.
        status: u16,
        /// The headers that are passed on.
        headers: Vec<Header>,
        /// The load of the upstream.
        load: Load,
    },
    /// A part of the answer.
    Data {
        /// The run.
        run: Run,
        /// The sequence number of the part, from 0.
        seq: u32,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// The run.
        run: Run,
        /// The number of parts sent.
        parts: u32,
        /// The tokens used.
        usage: Usage,
        /// The confidence of the model, if reported by the engine.
        confidence: Option<Confidence>,
        /// The bill record of the run.
        record: Option<Record>,
        /// The load of the upstream.
        load: Load,
    },
    /// The run was refused or failed.
    Fail {
        /// The run.
        run: Run,
        /// The reason, and whether the run may have happened.
        failure: Failure,
        /// The bill record of the part that ran.
        record: Option<Record>,
        /// The load of the upstream.
        load: Load,
    },
    /// Cancels a run because its caller disconnected.
    Cancel(Run),
    /// The load of the upstream.
    Load(Load),
    /// The sender accepts no more work and finishes what is running.
    Goodbye,
    /// The active revision of the sender.
    Revision(Revision),
    /// Requests the configuration changes after this revision.
    #[serde(rename = "Missing")]
    FetchChanges(Revision),
    /// Configuration changes, in order.
    Changes(Vec<Change>),
    /// The whole configuration, for a process too far behind for changes.
    Snapshot {
        /// The revision.
        revision: Revision,
        /// The settings entries.
        entries: BTreeMap<String, Value>,
    },
    /// Runs whose bill records are in the platform's store.
    Billed(Vec<Run>),
    /// An entry's demand on the limit of a client account.
    Demand {
        /// The client account.
        account: AccountId,
        /// The demand as a multiple of the limit.
        demand: f64,
        /// The admitted part, as a multiple of the limit.
        used: f64,
    },
    /// An entry's share of the limit of a client account.
    Grant {
        /// The client account.
        account: AccountId,
        /// The share as a fraction of the limit.
        share: f64,
    },
    /// Quarantine updates of an entry, about requests that were running when upstreams crashed;
    /// relayed to other entries by sidecars.
    #[serde(rename = "Words")]
    Quarantine(Vec<Update>),
    /// An entry's evidence about a version since the entry started.
    Evidence {
        /// The incarnation of the entry.
        entry: Incarnation,
        /// The version.
        version: VersionId,
        /// The evidence of this entry.
        evidence: Evidence,
    },
    /// The merged evidence of all entries about a version.
    #[serde(rename = "Pooled")]
    PooledEvidence {
        /// The version.
        version: VersionId,
        /// The merged evidence.
        evidence: Evidence,
        /// Whether the version was found to be bad.
        bad: bool,
    },
}

/// Encodes frames as one message.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(128 * frames.len());
    // Encoding cannot fail: every type has a CBOR form, and writes to a `Vec` always succeed.
    ciborium::into_writer(frames, &mut buf).expect("a frame is always CBOR");
    buf
}

/// Decodes the frames of one message.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] if the bytes are not a valid batch of frames.
pub fn decode(buf: &[u8]) -> Result<Vec<Frame>> {
    ciborium::from_reader(buf).map_err(|e| Error::new(Category::Invalid, e.to_string()))
}

impl Frame {
    /// Creates the refusal of a run that was not started.
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
