//! The entries that get the tables from this one, and the messages from and to them.

use super::{speed_command, Command, Relay, Subscriber};
use crate::hosted::hints::Hints;
use crate::hosted::mirror::Mirror;
use crate::hosted::speeds::Sums;
use crate::hosted::usage::Usage;
use sorreldeck::entry::Input;
use sorreldeck::era::Stamp;
use sorreldeck::pick::Link;
use sorreldeck::wire::{self, Feed, Frame};
use sorreldeck::{Hall, InstanceId, Span, Time};
use sorreldeck_platform::Table;
use std::collections::BTreeMap;

/// How long hints are batched before they are sent. Up to three such delays add up on the way
/// between two entries; one message per prompt would be 150 messages a second on each link.
const HINT_BATCH_DELAY: Span = Span::from_millis(40);

impl Relay {
    /// Queues hints for the subscribers, except for the one that sent them. Hints of other data
    /// halls are queued only for subscribers in this data hall.
    pub(super) fn queue_for_subscribers(
        &mut self,
        hints: &Hints,
        from: Option<Link>,
        is_own: bool,
    ) {
        let own_hall = &self.own.hall;
        for (link, subscriber) in &mut self.subscribers {
            let is_same_hall = subscriber.hall == *own_hall;
            let is_recipient = is_same_hall || (is_own && subscriber.reads_store);
            if is_recipient && Some(*link) != from {
                subscriber.hints.extend(hints);
            }
        }
    }

    /// Queues the speed sums that are due for the subscribers.
    pub(super) fn queue_speeds(&mut self, now: Time) {
        let Some(batch) = self.speeds.take_due(now) else {
            return;
        };
        let readers = self.first_readers();
        for (link, subscriber) in &mut self.subscribers {
            if subscriber.hall == self.own.hall {
                subscriber.speeds.add(&batch.for_local(&subscriber.entry));
            } else if readers.get(&subscriber.hall) == Some(link) {
                subscriber.speeds.add(&batch.for_remote());
            }
        }
    }

    /// Returns the link to the subscriber in each other data hall that forwards speed sums there:
    /// the first in rank that reads the store, so that its data hall gets each sum once.
    fn first_readers(&self) -> BTreeMap<Hall, Link> {
        let mut readers: Vec<(usize, &Hall, Link)> = self
            .subscribers
            .iter()
            .filter(|(_, s)| s.reads_store && s.hall != self.own.hall)
            .map(|(link, s)| (self.rank(&s.entry), &s.hall, *link))
            .collect();
        // The last one of each data hall stays in the map.
        readers.sort_by(|a, b| b.cmp(a));
        let links = readers
            .into_iter()
            .map(|(_, hall, link)| (hall.clone(), link));
        links.collect()
    }

    /// Returns the rank of an entry in its data hall; unknown entries are last.
    fn rank(&self, entry: &InstanceId) -> usize {
        self.follow.rank(entry).unwrap_or(usize::MAX)
    }

    /// Sends changes to the subscribers.
    pub fn publish(&mut self, mirror: &mut Mirror, now: Time) -> Vec<Command> {
        let links: Vec<Link> = self.subscribers.keys().copied().collect();
        let commands = links
            .into_iter()
            .filter_map(|link| self.publish_to(link, mirror, now));
        commands.collect()
    }

    fn publish_to(&mut self, link: Link, mirror: &mut Mirror, now: Time) -> Option<Command> {
        let subscriber = self.subscribers.get(&link)?;
        let is_due = now.since(subscriber.last_sent) >= self.follow.timeouts().heartbeat;
        let has_hints =
            !subscriber.hints.is_empty() && now.since(subscriber.last_sent) >= HINT_BATCH_DELAY;
        let mut tables = Vec::new();
        for (table, stamp) in Table::ALL.iter().zip(&subscriber.stamps) {
            if is_due || mirror.has_changed(*table, *stamp) {
                tables.extend(mirror.delta(*table, *stamp));
            }
        }
        let has_speeds = !subscriber.speeds.is_empty();
        if !is_due && !has_hints && !has_speeds && tables.is_empty() {
            return None;
        }
        let reports = match subscriber.sent_reports < self.reports.changes() {
            true => self
                .reports
                .reports_for(&subscriber.entry, &subscriber.hall, &self.own.hall),
            false => Vec::new(),
        };
        let mut feed = Feed {
            last_contact_us: self.follow.last_sync().and_then(|at| mirror.store_time(at)),
            clock_us: mirror.store_time(now),
            era: mirror.era(),
            leaving: self.leaving,
            tables,
            release_reports: reports,
            epoch_us: self.usage.as_ref().and_then(Usage::agreed),
            ..Feed::default()
        };
        subscriber.hints.put(&mut feed, now);
        let subscriber = self.subscribers.get_mut(&link)?;
        for table in &feed.tables {
            subscriber.stamps[table.number] = Stamp::new(table.era, table.version);
        }
        subscriber.last_sent = now;
        subscriber.sent_reports = self.reports.changes();
        subscriber.hints = Hints::default();
        feed.speeds = subscriber.speeds.take();
        Some(Command::Send(link, Frame::Feed(Box::new(feed))))
    }

    /// Queues hints for the primary source, except for prompts, which must not be counted
    /// twice. An entry that cannot reach the primary source sends its hints only to this entry,
    /// which otherwise forwards them to its own subscribers alone.
    fn forward_hints(&mut self, hints: &Hints) {
        if self.primary.is_none() {
            return;
        }
        self.hints.extend(&hints.clone().without_prompts());
    }

    /// Handles a subscription or the keep-alive of a subscriber.
    pub(super) fn handle_follow(
        &mut self,
        link: Link,
        mut follow: wire::Follow,
        mirror: &mut Mirror,
        now: Time,
    ) -> Vec<Command> {
        let hints = Hints::take(&mut follow, now);
        let is_same_hall = follow.hall == self.own.hall;
        if let Some(cursor) = follow.cursor {
            let stamps = cursor
                .versions
                .map(|version| Stamp::new(cursor.era, version));
            let subscriber = Subscriber {
                entry: follow.entry.clone(),
                hall: follow.hall,
                stamps,
                last_sent: Time::default(),
                sent_reports: 0,
                reads_store: follow.reads_store,
                hints: Hints {
                    affinities: self.affinities.live(now),
                    ..Hints::default()
                },
                speeds: Sums::default(),
            };
            self.subscribers.insert(link, subscriber);
        }
        if let Some(subscriber) = self.subscribers.get_mut(&link) {
            subscriber.reads_store = follow.reads_store;
        }
        let mut commands = Vec::new();
        if let Some(usage) = self.usage.as_mut().filter(|_| is_same_hall) {
            usage.merge(&follow.entry, follow.counts, follow.epoch_us);
        }
        if is_same_hall {
            self.affinities.record(&hints.affinities, now);
            self.queue_for_subscribers(&hints, Some(link), true);
            self.forward_hints(&hints);
            commands.extend(hints.inputs().map(Command::Handle));
            self.speeds.record_local(&follow.entry, &follow.speeds);
            commands.extend(speed_command(follow.speeds));
        }
        for (pool, report) in follow.release_reports.into_iter().filter(|_| is_same_hall) {
            self.reports
                .set_local(pool.clone(), follow.entry.clone(), report);
            let others = self.reports.local_sum_without(&pool, &self.own.name);
            let hall = self.own.hall.clone();
            let input = others.map(|sum| Input::ReleaseReport(pool, hall, sum));
            commands.extend(input.map(Command::Handle));
        }
        commands.extend(self.publish_to(link, mirror, now));
        commands
    }
}
