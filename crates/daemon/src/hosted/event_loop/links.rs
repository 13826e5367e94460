//! The links to other entries, over which the tables are replicated.

use super::EventLoop;
use crate::hosted::message::Message;
use crate::hosted::mirror::ENTRY_PREFIX;
use crate::hosted::relay::Command;
use async_std::task;
use log::{info, warn};
use sorreldeck::entry::Input;
use sorreldeck::pick::Link;
use sorreldeck::replication::Subscription;
use sorreldeck::wire::Frame;
use sorreldeck::{InstanceId, Span, Time};
use sorreldeck_net::link::Outbox;
use sorreldeck_platform::Table;

/// Interval between release reports: a bad release must be abandoned within 5 s, and reports
/// cross at most three links.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Pause before this entry's address is written again after the store did not take it.
const ANNOUNCE_RETRY_PAUSE: Span = Span::from_millis(2_000);

impl EventLoop {
    pub(super) fn handle_link_opened(
        &mut self,
        name: InstanceId,
        link: Link,
        outbox: Result<Outbox, String>,
    ) {
        let now = self.clock.now();
        let link = match outbox {
            Ok(outbox) => {
                self.peering.add(link, outbox);
                Some(link)
            }
            Err(error) => {
                warn!("event=source-not-linked entry={name} error={error:?}");
                None
            }
        };
        let commands = self.relay.opened(name, link, &self.mirror, now);
        self.execute_commands(commands);
    }

    pub(super) fn handle_frame(&mut self, link: Link, frame: Frame) {
        if let Frame::FetchTables(cursor) = &frame {
            return self.peering.answer(link, cursor, &self.mirror);
        }
        let now = self.clock.now();
        let era = self.mirror.era();
        let (updates, commands) = self.relay.handle_frame(link, frame, &mut self.mirror, now);
        let has_updates = !updates.is_empty();
        // The name is copied only if it is needed, since most frames contain no updates.
        let needs_name = has_updates || self.mirror.era() != era;
        let source = self.relay.source(link).filter(|_| needs_name);
        let from = source.map(InstanceId::to_string);
        let from = from.as_deref().unwrap_or("unknown");
        self.handle_restore(from);
        self.apply_updates(updates, from);
        self.execute_commands(commands);
        if has_updates {
            let commands = self.relay.publish(&mut self.mirror, now);
            self.execute_commands(commands);
        }
    }

    /// Runs replication: passes the mirrored versions to the followers, executes due commands
    /// and logs changes of the sources.
    pub(super) fn replicate(&mut self, now: Time) {
        if self.first_start_until.is_some_and(|until| now < until) {
            return;
        }
        self.first_start_until = None;
        for table in Table::ALL {
            let known = self.mirror.base(table);
            self.followers
                .set_mirrored(table, known.map(|_| self.mirror.stamp(table)));
        }
        let wait = self.relay.follow().timeouts().long_poll;
        let before = self.relay.follow().subscription();
        let commands = self.relay.step(&mut self.mirror, now);
        let reads_all = self.relay.follow().subscription() == Subscription::All;
        self.followers.set_max_wait(reads_all.then_some(wait));
        self.execute_commands(commands);
        let follow = self.relay.follow();
        let subscription = follow.subscription();
        let sources: Vec<String> = follow.sources(now).iter().map(|s| s.to_string()).collect();
        if subscription == Subscription::Nothing && !sources.is_empty() {
            self.failing_since = None;
        }
        if subscription != before || sources != self.logged_sources {
            let age = follow.age(now).map_or(-1, |age| age.millis() as i64);
            info!(
                "event=sources reading={subscription:?} before={before:?} sources={sources:?} age_ms={age} takers={}",
                self.relay.subscribers()
            );
            self.logged_sources = sources;
        }
    }

    pub(super) fn execute_commands(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Open(name, address) => self.peering.open(name, address, &self.shared),
                Command::Close(link) => self.peering.close(link),
                Command::Send(link, frame) => self.peering.send(link, frame),
                Command::Read(subscription) => self.followers.read(subscription),
                Command::Poll(table) => self.poll_table(table),
                Command::Handle(input) => {
                    if let Input::SpeedSums(sums) = &input {
                        self.metrics.count_heard_speed_sums(sums.len());
                    }
                    self.handle(input);
                }
            }
        }
    }

    /// Publishes this entry's address once the store can be written.
    pub(super) fn announce(&mut self) {
        if self.link_address.is_none() || self.announced {
            return;
        }
        // At the first start of an installation the table is empty.
        if self.mirror.version(Table::Own) == 0 && self.first_start_until.is_none() {
            return;
        }
        self.announced = true;
        let key = format!("{ENTRY_PREFIX}{}", self.own.name);
        let known = self.mirror.row(Table::Own, &key);
        let text = serde_json::to_string(&self.own).expect("a peer is always JSON");
        if known.and_then(|row| row.value.as_deref()) == Some(text.as_bytes()) {
            return;
        }
        let (store, send) = (self.store.clone(), self.shared.send.clone());
        task::spawn(async move {
            let change = sorreldeck_platform::store::Change::default();
            let change = change.put(Table::Own, &key, text.as_bytes());
            if let Err(error) = store.change(&change).await {
                warn!("event=announce-failed error={error}");
                task::sleep(ANNOUNCE_RETRY_PAUSE.into()).await;
                let again = |event_loop: &mut EventLoop| event_loop.announced = false;
                // Sending fails only while the process ends, since the event loop runs until
                // then.
                let _ = send.send(Message::Execute(Box::new(again))).await;
            }
        });
    }

    /// Shares this entry's reports on canary releases with other entries.
    pub(super) fn share_reports(&mut self, now: Time) {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        for (pool, report) in self.entry.move_reports() {
            self.relay.share_report(pool, report);
        }
    }
}
