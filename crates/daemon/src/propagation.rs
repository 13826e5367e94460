//! Propagation of accepted configurations to all processes.
//!
//! A change is accepted when the transaction commits that raises the revision in the
//! row [`HEAD`]. Every process polls that row at jittered intervals. In addition,
//! frames on links carry the sender's revision, and a process with an older one requests
//! the missing changes from the other end. So a change propagates even if the
//! platform fails right after accepting it, and an instance that starts without a
//! configuration during an outage gets it from its links.

use crate::clock::random_fraction;
use async_channel::Sender;
use async_std::task;
use eyre::{bail, eyre, Result};
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorreldeck::config::{Config, Update};
use sorreldeck::tree::{Change, Edit, Key, Tree};
use sorreldeck::wire::Frame;
use sorreldeck::{Category, Error, Revision};
use sorreldeck_net::platform::{Commit, Platform, Transaction, Trouble};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The key of the row with the accepted revision.
pub const HEAD: &str = "config/head";
/// The number of revisions from one snapshot in the object store to the next.
const SNAPSHOT_INTERVAL: u64 = 32;
/// The number of changes that are kept in the table.
const RETAINED_CHANGES: u64 = 256;
/// The mean interval between two reads of the head. With it, 960 processes use 480 of
/// the platform's 2,000 reads per second.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The time after which an unanswered request for missing changes is repeated.
const FETCH_TIMEOUT: Duration = Duration::from_millis(100);

/// The accepted revision and the latest snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted revision.
    pub revision: Revision,
    /// The name of the latest snapshot's object, if there is one.
    pub snapshot: Option<String>,
}

/// A complete configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The entries of the settings tree, by key.
    pub entries: BTreeMap<String, Value>,
}

/// An update from an older configuration to a newer one.
#[derive(Clone, Debug)]
pub enum Transfer {
    /// A complete configuration.
    Snapshot(Snapshot),
    /// The changes that follow the older configuration, in order of revision.
    Changes(Vec<Change>),
}

impl Snapshot {
    /// Creates the snapshot of a tree.
    pub fn from_tree(tree: &Tree) -> Snapshot {
        let entry = |(key, value): (&Key, &Value)| (key.to_string(), value.clone());
        Snapshot {
            revision: tree.revision(),
            entries: tree.entries().iter().map(entry).collect(),
        }
    }

    fn into_entries(self) -> sorreldeck::Result<BTreeMap<Key, Value>> {
        let entries = self.entries.into_iter();
        entries
            .map(|(key, value)| Ok((key.parse()?, value)))
            .collect()
    }
}

fn change_key(revision: Revision) -> String {
    format!("config/change/{:012}", revision.0)
}

/// Limits requests for missing changes, so that a process with an old revision does not
/// send one on every link at once.
#[derive(Debug, Default)]
pub struct Throttle(Option<(Revision, Instant)>);

impl Throttle {
    /// Returns whether a process at revision `own` may request changes now: it has sent no
    /// request since it reached that revision, or the answer is overdue.
    ///
    /// ```
    /// use sorreldeck::Revision;
    /// use sorreldeckd::propagation::Throttle;
    ///
    /// let mut throttle = Throttle::default();
    /// assert!(throttle.admits(Revision(1)));
    /// assert!(!throttle.admits(Revision(1)));
    /// assert!(throttle.admits(Revision(2)));
    /// ```
    pub fn admits(&mut self, own: Revision) -> bool {
        let is_pending =
            |(revision, at): (Revision, Instant)| revision == own && at.elapsed() < FETCH_TIMEOUT;
        if self.0.is_some_and(is_pending) {
            return false;
        }
        self.0 = Some((own, Instant::now()));
        true
    }
}

/// Applies an update and returns the tree if its revision increased.
///
/// An update that cannot be applied is logged, and the configuration in force stays.
pub fn apply(config: &mut Config, transfer: Transfer) -> Option<Arc<Tree>> {
    let before = config.revision();
    let applied = match transfer {
        Transfer::Snapshot(snapshot) => {
            let revision = snapshot.revision;
            let replaced = snapshot
                .into_entries()
                .and_then(|e| config.replace(revision, e));
            replaced.map(drop)
        }
        Transfer::Changes(changes) => apply_all(config, &changes),
    };
    if let Err(e) = applied {
        // Changes are checked before they are accepted, so this one was written by
        // another version of the program.
        warn!("failed to apply a configuration update; the one in force stays: {e}");
    }
    (config.revision() > before).then(|| config.tree().clone())
}

fn apply_all(config: &mut Config, changes: &[Change]) -> sorreldeck::Result<()> {
    for change in changes {
        if config.apply(change)? == Update::Gap {
            break;
        }
    }
    Ok(())
}

/// Returns the frame that updates a process at revision `theirs`: the changes since then, or
/// a snapshot if these are no longer retained.
pub fn frame_since(config: &Config, theirs: Revision) -> Frame {
    match config.since(theirs) {
        Some(changes) => Frame::Changes(changes),
        None => {
            let Snapshot { revision, entries } = Snapshot::from_tree(config.tree());
            Frame::Snapshot { revision, entries }
        }
    }
}

/// Reads the update that follows revision `known` from the platform, or `None` if there is
/// none.
///
/// # Errors
///
/// Fails if the platform is unavailable, or if a row or object is missing or malformed.
pub async fn fetch(platform: &Platform, known: Revision) -> Result<Option<Transfer>> {
    let Some(head) = read_head(platform).await?.map(|(head, _)| head) else {
        return Ok(None);
    };
    if head.revision <= known {
        return Ok(None);
    }
    let behind = head.revision.0 - known.0;
    if known > Revision(0) && behind <= SNAPSHOT_INTERVAL {
        let changes = read_changes(platform, known, head.revision).await?;
        return Ok(Some(Transfer::Changes(changes)));
    }
    let Some(name) = head.snapshot else {
        let changes = read_changes(platform, known, head.revision).await?;
        return Ok(Some(Transfer::Changes(changes)));
    };
    let data = platform
        .get_object(&name)
        .await?
        .ok_or_else(|| eyre!("object {name} not found"))?;
    Ok(Some(Transfer::Snapshot(serde_json::from_slice(&data)?)))
}

async fn read_head(platform: &Platform) -> Result<Option<(Head, u64)>, Trouble> {
    let Some(row) = platform.get(HEAD).await? else {
        return Ok(None);
    };
    let head = serde_json::from_value(row.value)
        .map_err(|e| Trouble::Refused(format!("the head is not understood: {e}")))?;
    Ok(Some((head, row.version)))
}

async fn read_changes(platform: &Platform, known: Revision, last: Revision) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    let mut next = known.next();
    while next <= last {
        let key = change_key(next);
        let Some(row) = platform.get(&key).await? else {
            bail!("row {key} not found");
        };
        changes.push(serde_json::from_value(row.value)?);
        next = next.next();
    }
    Ok(changes)
}

/// Polls the head at jittered intervals and sends updates to the event loop until the
/// loop ends.
pub async fn poll<M>(platform: Platform, send: Sender<M>, message: fn(Transfer) -> M) {
    let mut known = Revision(0);
    while !send.is_closed() {
        if let Ok(Some(transfer)) = fetch(&platform, known).await {
            known = match &transfer {
                Transfer::Snapshot(snapshot) => snapshot.revision,
                Transfer::Changes(changes) => changes.last().map_or(known, |c| c.revision),
            };
            // Fails only when the loop has ended.
            let _ = send.send(message(transfer)).await;
        }
        task::sleep(POLL_INTERVAL.mul_f64(0.5 + random_fraction())).await;
    }
}

/// The outcome of submitting a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// The change is accepted.
    Accepted(Change),
    /// Another change was accepted first, so this one had no effect. Holds the accepted
    /// revision.
    Conflict(Revision),
    /// The platform did not answer, so the change may or may not be accepted. Repeating
    /// it with the same ticket resolves this.
    Unknown(String),
    /// The platform is unavailable and the change is not accepted.
    Unavailable(String),
}

/// A change that an operator or the controller proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The name of the operator or controller.
    pub author: String,
    /// The number by which a repeated submission is recognised.
    pub ticket: u64,
    /// The edits.
    pub edits: Vec<Edit>,
    /// The key and version of a lease row; a change of the row makes the submission fail.
    pub lease: Option<(String, u64)>,
}

/// Submits a change that is based on the revision of `base`.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] if the change violates a rule of the settings tree.
pub async fn submit(
    platform: &Platform,
    base: &Tree,
    proposal: Proposal,
) -> sorreldeck::Result<Outcome> {
    let revision = base.revision().next();
    let change = Change {
        revision,
        author: proposal.author,
        ticket: proposal.ticket,
        edits: proposal.edits,
    };
    let tree = base.with(&change.edits, revision)?;
    let (head, version) = match read_head(platform).await {
        Ok(Some(known)) => known,
        Ok(None) => (Head::default(), 0),
        Err(trouble) => return Ok(Outcome::Unavailable(trouble.to_string())),
    };
    if head.revision != base.revision() {
        return Ok(Outcome::Conflict(head.revision));
    }
    let snapshot = match snapshot(platform, &tree, &head, change.ticket).await {
        Ok(snapshot) => snapshot,
        Err(trouble) => return Ok(Outcome::Unavailable(trouble.to_string())),
    };
    let head = Head { revision, snapshot };
    let transaction = transaction(&head, version, &change, proposal.lease)?;
    match platform.commit(&transaction).await {
        Ok(Commit::Done) => Ok(Outcome::Accepted(change)),
        Ok(Commit::Conflict(_)) => Ok(resolve(platform, change).await),
        Err(Trouble::Unknown(_)) => Ok(resolve(platform, change).await),
        Err(trouble) => Ok(Outcome::Unavailable(trouble.to_string())),
    }
}

/// Writes a snapshot if one is due and returns the name of the latest one.
async fn snapshot(
    platform: &Platform,
    tree: &Tree,
    head: &Head,
    ticket: u64,
) -> Result<Option<String>, Trouble> {
    let revision = tree.revision().0;
    if revision % SNAPSHOT_INTERVAL != 0 && (head.snapshot.is_some() || revision > 1) {
        return Ok(head.snapshot.clone());
    }
    // The ticket in the name prevents two concurrent submissions from writing the same
    // object.
    let name = format!("config/snapshot/{revision}-{ticket:016x}");
    let data = serde_json::to_vec(&Snapshot::from_tree(tree))
        .map_err(|e| Trouble::Refused(e.to_string()))?;
    platform.put_object(&name, data).await?;
    Ok(Some(name))
}

fn transaction(
    head: &Head,
    version: u64,
    change: &Change,
    lease: Option<(String, u64)>,
) -> sorreldeck::Result<Transaction> {
    let json = |e: serde_json::Error| Error::new(Category::Invalid, e.to_string());
    let mut transaction = Transaction::default()
        .expect(HEAD, version)
        .put(HEAD, serde_json::to_value(head).map_err(json)?)
        .put(
            change_key(change.revision),
            serde_json::to_value(change).map_err(json)?,
        );
    if change.revision.0 > RETAINED_CHANGES {
        transaction =
            transaction.remove(change_key(Revision(change.revision.0 - RETAINED_CHANGES)));
    }
    if let Some((row, version)) = lease {
        transaction = transaction.expect(row, version);
    }
    Ok(transaction)
}

/// Reads whether a change was accepted, after a conflict or a lost answer.
async fn resolve(platform: &Platform, change: Change) -> Outcome {
    for _ in 0..3 {
        match platform.get(&change_key(change.revision)).await {
            Ok(Some(row)) => {
                let found: Option<Change> = serde_json::from_value(row.value).ok();
                return match found.is_some_and(|f| f.ticket == change.ticket) {
                    true => Outcome::Accepted(change),
                    false => Outcome::Conflict(change.revision),
                };
            }
            Ok(None) => {
                let head = read_head(platform).await.ok().flatten();
                return Outcome::Conflict(head.map_or(Revision(0), |(h, _)| h.revision));
            }
            Err(_) => task::sleep(Duration::from_millis(200)).await,
        }
    }
    Outcome::Unknown(format!("ticket {:016x}", change.ticket))
}
