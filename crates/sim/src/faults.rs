//! What changes and what fails at random in a schedule.

use crate::world::{upstream, Poll, World};
use rand::RngExt;
use sorreldeck::replication::Subscription;
use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;

impl World {
    /// Changes something at the store.
    pub fn change(&mut self) {
        let number = self.rng.random_range(0..6);
        if self.rng.random_bool(0.3) {
            let row = upstream(self.rng.random_range(0..self.upstreams), 0);
            let value = row.value.filter(|_| self.rng.random_bool(0.6));
            return self.store.put(Table::Upstreams, &row.key, value, self.now);
        }
        let key = format!("x-{number}");
        let table = match self.rng.random_bool(0.5) {
            true => Table::Operator,
            false => Table::Progress,
        };
        self.store.change_count += 1;
        let made = (1 + self.store.change_count).to_be_bytes().to_vec();
        let value = self.rng.random_bool(0.8).then_some(made);
        self.store.put(table, &key, value, self.now);
    }

    /// Impairs something for some seconds.
    pub fn impair(&mut self) {
        let until = self.now + Span::from_millis(self.rng.random_range(300..7_000));
        let share = [0.05, 0.3, 0.9][self.rng.random_range(0..3)];
        let kind = self.rng.random_range(0..13);
        if kind >= 7 {
            return self.impair_all(kind, until);
        }
        let readers = kind == 5;
        for node in 0..self.nodes.len() {
            let reads = self.nodes[node].subscription == Subscription::All;
            if !(readers && reads || self.rng.random_bool(share)) {
                continue;
            }
            match kind {
                0 | 5 => self.kill(node, until),
                1 => self.nodes[node].frozen_until = until,
                2 => self.nodes[node].partitioned_until = until,
                3 => self.nodes[node].store_unreachable_until = until,
                4 => {
                    self.nodes[node].partitioned_until = until;
                    self.nodes[node].store_unreachable_until = until;
                }
                _ => {
                    self.kill_connections(node);
                    self.nodes[node].mark_impaired(self.now);
                    continue;
                }
            }
            self.nodes[node].mark_impaired(until);
        }
    }

    /// Lets some of an entry's calls of the store hang on connections that are dead.
    pub fn kill_connections(&mut self, node: usize) {
        let share = [0.3, 1.0][self.rng.random_range(0..2)];
        for poll in &mut self.nodes[node].polls {
            poll.is_dead = poll.since.is_some() && self.rng.random_bool(share);
        }
    }

    /// Lets the store forget its history: waits under way are told, and those that begin
    /// soon after hear nothing until their own end.
    pub fn compact(&mut self) {
        let until = self.now + Span::from_millis(self.rng.random_range(0..1_200));
        self.store.compacted_to = self.store.version;
        self.store.feed_stalled_until = until;
        self.store.available_since = self.store.available_since.max(until);
        self.break_off_waits();
    }

    /// Ends all waits at the store but for those on dead connections.
    fn break_off_waits(&mut self) {
        let polls = self.nodes.iter_mut().flat_map(|node| &mut node.polls);
        for poll in polls.filter(|poll| !poll.is_dead) {
            *poll = Poll::default();
        }
    }

    /// Lets the store come back from a copy that is some seconds old. The operator and the
    /// upstreams write again what they wrote, each at a time of its own; some never do.
    pub fn restore(&mut self, back: Time) {
        let copies = self.store.backups.len();
        if copies == 0 {
            return;
        }
        let copy = self.store.backups[self.rng.random_range(0..copies)].clone();
        self.store.is_hanging = self.rng.random_bool(0.5);
        for (table, row) in self.store.restore(copy, back) {
            let after = Span::from_millis(self.rng.random_range(0..3_000));
            if table != Table::Upstreams || self.rng.random_bool(0.9) {
                self.store.schedule_rewrite(back + after, table, row);
            }
        }
        self.break_off_waits();
    }

    pub fn impair_all(&mut self, kind: usize, until: Time) {
        match kind {
            7 => {
                self.store.down_until = until;
                self.store.available_since = self.store.available_since.max(until);
                self.store.is_hanging = self.rng.random_bool(0.5);
            }
            8 => self.compact(),
            11 | 12 => self.restore(until),
            9 => {
                // All open links at once, while new ones work.
                self.blackholed.extend(self.links.keys());
                let now = self.now;
                for node in &mut self.nodes {
                    node.mark_impaired(now);
                }
            }
            _ => {
                self.slow_until = until;
                for node in &mut self.nodes {
                    node.mark_impaired(until);
                }
            }
        }
    }

    /// Only those that read: killed, frozen or cut off, while all others are well.
    pub fn impair_readers(&mut self) {
        let until = self.now + Span::from_millis(self.rng.random_range(2_000..9_000));
        let kind = self.rng.random_range(0..5);
        for node in 0..self.nodes.len() {
            if self.nodes[node].subscription != Subscription::All {
                continue;
            }
            match kind {
                0 => self.kill(node, until),
                1 => self.nodes[node].frozen_until = until,
                2 => self.nodes[node].store_unreachable_until = until,
                3 => self.nodes[node].partitioned_until = until,
                _ => {
                    self.kill_connections(node);
                    self.nodes[node].mark_impaired(self.now);
                    continue;
                }
            }
            self.nodes[node].mark_impaired(until);
        }
    }
}
