//! How an accepted configuration comes to be in force everywhere.
//!
//! Accepted is what the transaction took that raised the revision in the row
//! [`HEAD`]. Every process reads that row at jittered intervals; besides, the
//! revision rides on the links, and who is behind asks the other end for what
//! it lacks. So a change spreads also when the platform goes down just after,
//! and an instance that starts empty during an outage learns it from others.

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

/// The row that tells the accepted revision.
pub const HEAD: &str = "config/head";
/// The revisions from one whole copy in the object store to the next.
const SNAPSHOT_EVERY: u64 = 32;
/// The changes that stay in the table.
const KEPT: u64 = 256;
/// The mean time between two reads of the head: 960 processes then take 480 of
/// the 2,000 reads a second.
const POLL: Duration = Duration::from_secs(2);

/// When an answer to a call for missing changes is overdue.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The accepted revision and where its latest whole copy is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted revision.
    pub revision: Revision,
    /// The name of the latest whole copy, if there is one.
    pub snapshot: Option<String>,
}

/// A whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The entries.
    pub entries: BTreeMap<String, Value>,
}

/// What brings a process forward.
#[derive(Clone, Debug)]
pub enum Transfer {
    /// A whole configuration.
    Snapshot(Snapshot),
    /// The changes that follow.
    Changes(Vec<Change>),
}

impl Snapshot {
    /// Makes the snapshot of a tree.
    pub fn from_tree(tree: &Tree) -> Snapshot {
        let entry = |(key, value): (&Key, &Value)| (key.to_string(), value.clone());
        Snapshot {
            revision: tree.revision(),
            entries: tree.entries().iter().map(entry).collect(),
        }
    }

    fn keyed(self) -> sorreldeck::Result<BTreeMap<Key, Value>> {
        let entries = self.entries.into_iter();
        entries
            .map(|(key, value)| Ok((key.parse()?, value)))
            .collect()
    }
}

fn change_key(revision: Revision) -> String {
    format!("config/change/{:012}", revision.0)
}

/// Keeps a process that is behind from asking everyone at once.
#[derive(Debug, Default)]
pub struct Throttle(Option<(Revision, Instant)>);

impl Throttle {
    /// Returns whether a process at revision `own` is to ask now: it has not
    /// asked since it came to that revision, or the answer is overdue.
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
        let waits =
            |(revision, at): (Revision, Instant)| revision == own && at.elapsed() < ASK_AGAIN;
        if self.0.is_some_and(waits) {
            return false;
        }
        self.0 = Some((own, Instant::now()));
        true
    }
}

/// Puts news in force; returns the tree if it has changed.
pub fn apply(config: &mut Config, news: Transfer) -> Option<Arc<Tree>> {
    let before = config.revision();
    let adopted = match news {
        Transfer::Snapshot(snapshot) => {
            let revision = snapshot.revision;
            let replaced = snapshot.keyed().and_then(|e| config.replace(revision, e));
            replaced.map(drop)
        }
        Transfer::Changes(changes) => apply_all(config, &changes),
    };
    if let Err(e) = adopted {
        // An accepted change was checked, so this one came from a program of
        // another version; the configuration in force stays.
        warn!("a configuration was not understood: {e}");
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

/// Returns the frame that brings a process at `theirs` forward.
pub fn frame_since(config: &Config, theirs: Revision) -> Frame {
    match config.since(theirs) {
        Some(changes) => Frame::Changes(changes),
        None => {
            let Snapshot { revision, entries } = Snapshot::from_tree(config.tree());
            Frame::Snapshot { revision, entries }
        }
    }
}

/// Reads what follows a revision from the platform; `None` if nothing does.
///
/// # Errors
///
/// Fails when the platform is out of reach.
pub async fn fetch(platform: &Platform, known: Revision) -> Result<Option<Transfer>> {
    let Some(head) = read_head(platform).await?.map(|(head, _)| head) else {
        return Ok(None);
    };
    if head.revision <= known {
        return Ok(None);
    }
    let behind = head.revision.0 - known.0;
    if known > Revision(0) && behind <= SNAPSHOT_EVERY {
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
        .ok_or_else(|| eyre!("the object {name} is gone"))?;
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
            bail!("the row {key} is gone");
        };
        changes.push(serde_json::from_value(row.value)?);
        next = next.next();
    }
    Ok(changes)
}

/// Reads the head at jittered intervals and sends the loop what is news, for as
/// long as the loop runs.
pub async fn poll<M>(platform: Platform, send: Sender<M>, message: fn(Transfer) -> M) {
    let mut known = Revision(0);
    while !send.is_closed() {
        if let Ok(Some(news)) = fetch(&platform, known).await {
            known = match &news {
                Transfer::Snapshot(snapshot) => snapshot.revision,
                Transfer::Changes(changes) => changes.last().map_or(known, |c| c.revision),
            };
            // A loop that has ended wants no news.
            let _ = send.send(message(news)).await;
        }
        task::sleep(POLL.mul_f64(0.5 + random_fraction())).await;
    }
}

/// What became of a change that an operator wanted.
#[derive(Debug)]
pub enum Outcome {
    /// It is accepted.
    Accepted(Change),
    /// Another change was accepted before; this one had no effect.
    Conflict(Revision),
    /// The platform gave no answer; it may or may not be accepted. Repeating
    /// it with the same ticket tells.
    Unknown(String),
    /// The platform is out of reach; it is not accepted.
    Unavailable(String),
}

/// A change that an operator or controller wants.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Who wants it.
    pub author: String,
    /// The number by which a repeated try is recognised.
    pub ticket: u64,
    /// The edits.
    pub edits: Vec<Edit>,
    /// The row and version of a lease that must still be held.
    pub lease: Option<(String, u64)>,
}

/// Tries to have a change accepted that follows on `base`.
///
/// # Errors
///
/// Fails with [`Category::Invalid`] when the change breaks a rule of the tree.
pub async fn submit(
    platform: &Platform,
    base: &Tree,
    wish: Proposal,
) -> sorreldeck::Result<Outcome> {
    let revision = base.revision().next();
    let change = Change {
        revision,
        author: wish.author,
        ticket: wish.ticket,
        edits: wish.edits,
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
    let transaction = transaction(&head, version, &change, wish.lease)?;
    match platform.commit(&transaction).await {
        Ok(Commit::Done) => Ok(Outcome::Accepted(change)),
        Ok(Commit::Conflict(_)) => Ok(settle(platform, change).await),
        Err(Trouble::Unknown(_)) => Ok(settle(platform, change).await),
        Err(trouble) => Ok(Outcome::Unavailable(trouble.to_string())),
    }
}

/// Writes a whole copy where one is due; returns the name of the latest one.
async fn snapshot(
    platform: &Platform,
    tree: &Tree,
    head: &Head,
    ticket: u64,
) -> Result<Option<String>, Trouble> {
    let revision = tree.revision().0;
    if revision % SNAPSHOT_EVERY != 0 && (head.snapshot.is_some() || revision > 1) {
        return Ok(head.snapshot.clone());
    }
    // The ticket keeps two operators that race from writing the same object.
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
    if change.revision.0 > KEPT {
        transaction = transaction.remove(change_key(Revision(change.revision.0 - KEPT)));
    }
    if let Some((row, version)) = lease {
        transaction = transaction.expect(row, version);
    }
    Ok(transaction)
}

/// Finds out whether a change whose answer was lost was accepted.
async fn settle(platform: &Platform, change: Change) -> Outcome {
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
