//! The controller of roll-outs: it runs in whichever entry holds the lease.

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

/// The row of the lease.
const ROW: &str = "lease/rollouts";
/// How often the holder looks at the roll-outs.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// The mean time between two readings of the lease by those that lack it: 360
/// entries then take 90 of the 2,000 reads a second.
const READ_EVERY: Duration = Duration::from_secs(4);
/// The same for the holder, who must renew in time.
const RENEW_EVERY: Duration = Duration::from_millis(1500);

/// The lease of the controller at this process.
#[derive(Debug)]
pub struct Lease {
    keeper: Elector,
    clock: Clock,
    read: Option<Instant>,
    holds: bool,
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(me: &InstanceId, incarnation: Incarnation) -> Lease {
        Lease {
            keeper: Elector::new(me.clone(), incarnation),
            clock: Clock::start(),
            read: None,
            holds: false,
        }
    }

    /// Reads and renews the lease where it is time; returns the row's version
    /// and the fence if it is held.
    async fn keep(&mut self, platform: &Platform) -> Option<(u64, u64)> {
        let mean = match self.holds {
            true => RENEW_EVERY,
            false => READ_EVERY,
        };
        let due = self
            .read
            .is_none_or(|t| t.elapsed() >= mean.mul_f64(0.5 + random_fraction()));
        if due {
            self.read = Some(Instant::now());
            // Without an answer the lease runs out by itself.
            let _ = self.renew(platform).await;
        }
        let held = self.keeper.held(self.clock.now());
        let held = held.map(|(at, fence)| (at.version, fence));
        if held.is_some() != self.holds {
            self.holds = held.is_some();
            match held {
                Some((_, fence)) => info!("this entry controls the roll-outs, fence {fence}"),
                None => info!("this entry no longer controls the roll-outs"),
            }
        }
        held
    }

    async fn renew(&mut self, platform: &Platform) -> Result<(), Trouble> {
        let (at, row) = self.look(platform).await?;
        let now = self.clock.now();
        let Step::Write { lease, expect } = self.keeper.observe(at, row, now) else {
            return Ok(());
        };
        let value = serde_json::to_value(&lease).map_err(|e| Trouble::Refused(e.to_string()))?;
        let transaction = Transaction::default().expect(ROW, expect).put(ROW, value);
        // Whatever the answer, the row tells whether the write took effect.
        let _ = platform.commit(&transaction).await;
        let (at, row) = self.look(platform).await?;
        self.keeper.record(at, row, self.clock.now());
        Ok(())
    }

    async fn look(
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

/// Controls the roll-outs whenever this process holds the lease.
pub async fn run(shared: Shared, mut lease: Lease) {
    while !shared.send.is_closed() {
        if let Some((version, fence)) = lease.keep(&shared.platform).await {
            look(&shared, version, fence).await;
        }
        task::sleep(LOOK_EVERY).await;
    }
}

/// Records what the evidence asks for.
async fn look(shared: &Shared, version: u64, fence: u64) {
    let tree = shared.tree();
    let edits = shared.query(move |room| propose(room, fence)).await;
    for edit in edits.into_iter().flatten() {
        let what = edit.to_string();
        let value = edit.new.clone().unwrap_or_default();
        let wish = Proposal {
            author: "controller".into(),
            ticket: u64::from_le_bytes(crate::clock::random()),
            edits: vec![edit],
            lease: Some((ROW.to_owned(), version)),
        };
        match propagation::submit(&shared.platform, &tree, wish).await {
            Ok(Outcome::Accepted(change)) => {
                info!("recorded {what}: {value}");
                let news = Transfer::Changes(vec![change]);
                let _ = shared.send.send(Message::Config(news)).await;
                // The next edit needs the tree that this one made.
                return;
            }
            // The next look starts from what is accepted then.
            Ok(Outcome::Conflict(_) | Outcome::Unknown(_) | Outcome::Unavailable(_)) => return,
            Err(e) => warn!("the record {what} is not valid: {e}"),
        }
    }
}

fn propose(room: &mut crate::entry::EventLoop, fence: u64) -> Vec<Edit> {
    let tree = room.entry.tree().clone();
    let mut edits = Vec::new();
    for name in tree.rollouts().keys() {
        let Some(progress) = room.entry.monitor().propose(&tree, name, fence) else {
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
