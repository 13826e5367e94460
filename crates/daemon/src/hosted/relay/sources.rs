//! The entries that this one gets the tables from, and the messages from and to them.

use super::{own_epoch, speed_command, Command, Relay, Source};
use crate::hosted::hints::Hints;
use crate::hosted::mirror::{Merge, Mirror, Update};
use crate::hosted::usage::Usage;
use sorreldeck::duty::Update as UsageUpdate;
use sorreldeck::entry::Input;
use sorreldeck::pick::Link;
use sorreldeck::replication::Status;
use sorreldeck::wire::{self, Feed, Frame};
use sorreldeck::{InstanceId, Span, Time};

/// Keep-alive interval towards sources; a link that is silent for 7 s is considered broken.
const KEEP_ALIVE: Span = Span::from_millis(2_000);

/// How long the first source of an entry without tables may take before the other sources are
/// asked too. A whole table of 3,000 rows takes 0.2 s on the smallest instances.
const FIRST_SOURCE_TIMEOUT: Span = Span::from_millis(400);

impl Relay {
    /// Handles an opened link to a source, or `None` if the link could not be opened.
    pub fn opened(
        &mut self,
        name: InstanceId,
        link: Option<Link>,
        mirror: &Mirror,
        now: Time,
    ) -> Vec<Command> {
        let Some(link) = link else {
            self.follow.link_closed(&name, now);
            return Vec::new();
        };
        if !self.follow.link_opened(&name, now) {
            // If the link stayed open, the entry at its other end would keep reading the store.
            return vec![Command::Close(link)];
        }
        let is_subscribed = self.subscribes_at_once(&name, mirror);
        let frame = match is_subscribed {
            true => self.subscription_frame(&name, mirror, now),
            false => Frame::Follow(Box::new(self.keep_alive())),
        };
        let source = Source {
            name,
            opened_at: now,
            is_subscribed,
            last_sent: now,
            reported_at: Time::default(),
            sent_reports: 0,
            has_counts: false,
        };
        self.sources.insert(link, source);
        vec![Command::Send(link, frame)]
    }

    /// Returns whether a source is asked for the tables as soon as it is linked. An entry
    /// without tables asks only one source of its own data hall: each source would send all
    /// tables whole, which delays the start when a hundred entries start together.
    fn subscribes_at_once(&self, source: &InstanceId, mirror: &Mirror) -> bool {
        let is_first = !self.sources.values().any(|s| s.is_subscribed);
        mirror.has_operator_table() || (is_first && self.follow.is_same_hall(source))
    }

    /// Asks the other sources once the first one has sent the tables or has had the time to.
    pub(super) fn subscribe_to_rest(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let is_due = |s: &Source| {
            !s.is_subscribed
                && (mirror.has_operator_table() || now.since(s.opened_at) >= FIRST_SOURCE_TIMEOUT)
        };
        let due = self.sources.iter().filter(|(_, s)| is_due(s));
        let due: Vec<(Link, InstanceId)> = due.map(|(l, s)| (*l, s.name.clone())).collect();
        let mut commands = Vec::new();
        for (link, name) in due {
            let frame = self.subscription_frame(&name, mirror, now);
            if let Some(source) = self.sources.get_mut(&link) {
                source.is_subscribed = true;
                source.last_sent = now;
            }
            commands.push(Command::Send(link, frame));
        }
        commands
    }

    /// Sends keep-alives, release reports, counts and hints to the sources.
    pub(super) fn notify_sources(&mut self, mirror: &Mirror, now: Time) -> Vec<Command> {
        let heartbeat = self.follow.timeouts().heartbeat;
        let changes = self.reports.changes();
        let mut commands = Vec::new();
        let has_reports = self.reports.has_reports_of(&self.own.name);
        let reads_store = self.reads_store();
        let keep_alive = self.keep_alive();
        let hints = std::mem::take(&mut self.hints);
        // Sums that no source gets are dropped: the runs will be long past when one is linked.
        let speeds = self.speeds.take_own();
        let mut was_sent = reads_store && self.primary.is_none();
        let leaving = self.leaving;
        let changed_counts = self.usage.as_mut();
        let changed_counts = changed_counts.map_or(Vec::new(), |c| c.due(leaving, now));
        let epoch = own_epoch(mirror, now).filter(|_| self.usage.is_some());
        for (link, source) in &mut self.sources {
            let is_same_hall = self.follow.is_same_hall(&source.name);
            let counts = counts_for(
                source,
                &changed_counts,
                self.usage.as_ref().filter(|_| is_same_hall),
            );
            let passed = now.since(source.last_sent);
            let has_new_reports = source.sent_reports < changes && has_reports;
            let has_new_reports = has_new_reports && now.since(source.reported_at) >= heartbeat;
            let is_primary = self.primary.as_ref() == Some(&source.name);
            let has_hints = !hints.is_empty() && is_primary;
            let has_speeds = !speeds.is_empty() && is_primary;
            let is_idle = !has_new_reports && !has_hints && !has_speeds && counts.is_empty();
            if is_idle && passed < KEEP_ALIVE {
                continue;
            }
            source.last_sent = now;
            let mut follow = keep_alive.clone();
            if !counts.is_empty() {
                follow.counts = counts;
                follow.epoch_us = epoch;
            }
            if has_new_reports {
                source.reported_at = now;
                source.sent_reports = changes;
                follow.release_reports = self.reports.reports_of(&self.own.name);
            }
            if has_hints {
                hints.put(&mut follow, now);
                was_sent = true;
            }
            if has_speeds {
                follow.speeds.clone_from(&speeds);
            }
            commands.push(Command::Send(*link, Frame::Follow(Box::new(follow))));
        }
        if !was_sent {
            // Session affinities persist, and a request that crashes upstreams continues to do so.
            self.hints = hints.without_prompts();
        }
        commands
    }

    /// Returns a keep-alive for a source.
    fn keep_alive(&self) -> wire::Follow {
        wire::Follow {
            reads_store: self.reads_store(),
            ..wire::Follow::new(self.own.name.clone(), self.own.hall.clone())
        }
    }

    /// Returns the frame that asks a source for everything newer than the mirrored tables. A
    /// source in this data hall may have just started and gets all session affinities; other
    /// sources get theirs from entries of their own data hall.
    fn subscription_frame(&self, source: &InstanceId, mirror: &Mirror, now: Time) -> Frame {
        let affinities = match self.follow.is_same_hall(source) {
            true => self.affinities.live(now),
            false => Vec::new(),
        };
        Frame::Follow(Box::new(wire::Follow {
            cursor: Some(mirror.cursor()),
            affinities,
            ..self.keep_alive()
        }))
    }

    /// Handles tables and hints from a source.
    pub(super) fn handle_feed(
        &mut self,
        link: Link,
        mut feed: Feed,
        mirror: &mut Mirror,
        now: Time,
    ) -> (Vec<Update>, Vec<Command>) {
        let Some(source) = self.sources.get(&link) else {
            return (Vec::new(), Vec::new());
        };
        if let Some(clock) = feed.clock_us {
            mirror.note_clock(clock, now);
        }
        if let Some(usage) = &mut self.usage {
            usage.agree(feed.epoch_us);
        }
        let name = source.name.clone();
        let is_same_hall = self.follow.is_same_hall(&name);
        let hints = Hints::take(&mut feed, now);
        let mut updates = Vec::new();
        let mut gap = false;
        for delta in feed.tables {
            match mirror.apply_delta(delta, now) {
                Merge::Stale => {}
                Merge::Gap => gap = true,
                Merge::Applied(more) => updates.extend(more),
            }
        }
        // The time of the last contact must not be taken over without the changes that belong
        // to it: the tables would seem more current than they are, here and at all subscribers.
        // The same holds for a source that does not know yet that the store was restored.
        let is_current = !gap && feed.era >= mirror.era();
        let last_contact = feed.last_contact_us.filter(|_| is_current);
        let status = Status {
            last_sync: last_contact.and_then(|micros| mirror.local_time(micros)),
            leaving: feed.leaving,
        };
        self.follow.record_status(&name, status, now);
        self.affinities.record(&hints.affinities, now);
        let mut commands: Vec<Command> = hints.inputs().map(Command::Handle).collect();
        if !is_same_hall {
            self.speeds.record_remote(&feed.speeds);
        }
        commands.extend(speed_command(feed.speeds));
        if gap {
            if let Some(source) = self.sources.get_mut(&link) {
                source.last_sent = now;
            }
            let frame = self.subscription_frame(&name, mirror, now);
            commands.push(Command::Send(link, frame));
        }
        if !is_same_hall {
            self.queue_for_subscribers(&hints, None, false);
        }
        for (pool, hall, report) in feed.release_reports {
            if hall != self.own.hall {
                self.reports.merge_remote(&pool, &hall, &report);
            }
            // If this entry has subscribers, they send it the reports of its own data hall
            // directly, which are more current.
            if hall != self.own.hall || self.subscribers.is_empty() {
                let input = Input::ReleaseReport(pool, hall, report);
                commands.push(Command::Handle(input));
            }
        }
        (updates, commands)
    }
}

/// Returns the counts that are due for a source: all if it has none yet, otherwise the changed
/// ones. `counted` is `None` for a source that gets no counts.
fn counts_for(
    source: &mut Source,
    changed: &[UsageUpdate],
    usage: Option<&Usage>,
) -> Vec<UsageUpdate> {
    let Some(usage) = usage else {
        return Vec::new();
    };
    match std::mem::replace(&mut source.has_counts, true) {
        true => changed.to_vec(),
        false => usage.tally().snapshot(),
    }
}
