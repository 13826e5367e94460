//! The controller of roll-outs, which runs in the entry that holds its lease.

use crate::clock::random_fraction;
use crate::clock::Clock;
use crate::entry::{Message, Shared};
use crate::propagation::{self, Outcome, Proposal, Transfer};
use async_std::task;
use log::{info, warn};
use serde_json::Value;
use sorreldeck::era::Stamp;
use sorreldeck::lease::{Elector, Step};
use sorreldeck::tree::{Edit, Key, Section};
use sorreldeck::{Incarnation, InstanceId};
use sorreldeck_net::platform::{Platform, Transaction, Trouble};
use std::time::{Duration, Instant};

/// The key of the lease's row.
const ROW: &str = "lease/rollouts";
/// The interval at which the lease holder evaluates the roll-outs.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(200);
/// The mean interval between two reads of the lease by an entry that does not hold it.
/// With it, 360 entries use 90 of the platform's 2,000 reads per second.
const READ_INTERVAL: Duration = Duration::from_secs(4);
/// The mean interval between two reads of the lease by its holder, which must renew it
/// before it expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(1500);

/// This process's view of the controller's lease.
#[derive(Debug)]
pub struct Lease {
    elector: Elector,
    clock: Clock,
    read: Option<Instant>,
    holds: bool,
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(me: &InstanceId, incarnation: Incarnation) -> Lease {
        Lease {
            elector: Elector::new(me.clone(), incarnation),
            clock: Clock::start(),
            read: None,
            holds: false,
        }
    }

    /// Reads and renews the lease if this is due. Returns the row's version and the fencing
    /// token if this process holds the lease.
    async fn poll(&mut self, platform: &Platform) -> Option<(u64, u64)> {
        let mean = match self.holds {
            true => RENEW_INTERVAL,
            false => READ_INTERVAL,
        };
        let due = self
            .read
            .is_none_or(|t| t.elapsed() >= mean.mul_f64(0.5 + random_fraction()));
        if due {
            self.read = Some(Instant::now());
            // If the platform does not answer, the lease expires.
            let _ = self.renew(platform).await;
        }
        let held = self.elector.held(self.clock.now());
        let held = held.map(|(at, fence)| (at.version, fence));
        if held.is_some() != self.holds {
            self.holds = held.is_some();
            match held {
                Some((_, fence)) => {
                    info!("acquired the roll-out controller's lease, fencing token {fence}")
                }
                None => info!("lost the roll-out controller's lease"),
            }
        }
        held
    }

    async fn renew(&mut self, platform: &Platform) -> Result<(), Trouble> {
        let (at, row) = self.read_row(platform).await?;
        let now = self.clock.now();
        let Step::Write { lease, expect } = self.elector.observe(at, row, now) else {
            return Ok(());
        };
        let value = serde_json::to_value(&lease).map_err(|e| Trouble::Refused(e.to_string()))?;
        let transaction = Transaction::default().expect(ROW, expect).put(ROW, value);
        // The row read next shows whether the write took effect, also if the answer was lost.
        let _ = platform.commit(&transaction).await;
        let (at, row) = self.read_row(platform).await?;
        self.elector.record(at, row, self.clock.now());
        Ok(())
    }

    async fn read_row(
        &self,
        platform: &Platform,
    ) -> Result<(Stamp, Option<sorreldeck::lease::Lease>), Trouble> {
        let row = platform.get(ROW).await?;
        let read = row.and_then(|row| {
            let lease = serde_json::from_value(row.value).ok()?;
            Some((row.version.into(), Some(lease)))
        });
        Ok(read.unwrap_or_default())
    }
}

/// Controls the roll-outs while this process holds the lease, until the event loop ends.
pub async fn run(shared: Shared, mut lease: Lease) {
    while !shared.send.is_closed() {
        if let Some((version, fence)) = lease.poll(&shared.platform).await {
            evaluate(&shared, version, fence).await;
        }
        task::sleep(EVALUATE_INTERVAL).await;
    }
}

/// Records the progress of the roll-outs that follows from the evidence.
async fn evaluate(shared: &Shared, version: u64, fence: u64) {
    let tree = shared.tree();
    let edits = shared
        .query(move |event_loop| propose(event_loop, fence))
        .await;
    for edit in edits.into_iter().flatten() {
        let summary = edit.to_string();
        let value = edit.new.clone().unwrap_or_default();
        let proposal = Proposal {
            author: "controller".into(),
            ticket: u64::from_le_bytes(crate::clock::random()),
            edits: vec![edit],
            lease: Some((ROW.to_owned(), version)),
        };
        match propagation::submit(&shared.platform, &tree, proposal).await {
            Ok(Outcome::Accepted(change)) => {
                info!("recorded roll-out progress {summary}: {value}");
                let transfer = Transfer::Changes(vec![change]);
                let _ = shared.send.send(Message::Config(transfer)).await;
                // The next edit must be based on the tree that results from this one.
                return;
            }
            // The next evaluation starts from the configuration accepted by then.
            Ok(Outcome::Conflict(_) | Outcome::Unknown(_) | Outcome::Unavailable(_)) => return,
            Err(e) => warn!("invalid roll-out record {summary}: {e}"),
        }
    }
}

fn propose(event_loop: &mut crate::entry::EventLoop, fence: u64) -> Vec<Edit> {
    let tree = event_loop.entry.tree().clone();
    let mut edits = Vec::new();
    for name in tree.rollouts().keys() {
        let Some(progress) = event_loop.entry.monitor().propose(&tree, name, fence) else {
            continue;
        };
        let key = Key::new(Section::Progress, name);
        edits.push(Edit {
            old: tree.entries().get(&key).cloned(),
            new: serde_json::to_value(&progress)
                .ok()
                .filter(Value::is_object),
            key,
        });
    }
    edits
}
