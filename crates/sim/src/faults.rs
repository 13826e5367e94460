//! Random changes of the store and random faults.

use crate::world::{upstream, Poll, World};
use rand::RngExt;
use sorreldeck::replication::Subscription;
use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;

impl World {
    /// Makes a random change in the store: to a row of an upstream, or to a numbered row.
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

    /// Injects a random fault into some entries, all links or the store for up to 7 s.
    pub fn impair(&mut self) {
        let until = self.now + Span::from_millis(self.rng.random_range(300..7_000));
        let share = [0.05, 0.3, 0.9][self.rng.random_range(0..3)];
        let kind = self.rng.random_range(0..13);
        if kind >= 7 {
            return self.impair_all(kind, until);
        }
        let targets_readers = kind == 5;
        for node in 0..self.nodes.len() {
            let is_reader = self.nodes[node].subscription == Subscription::All;
            if !(targets_readers && is_reader || self.rng.random_bool(share)) {
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

    /// Turns the connections of some of an entry's pending calls of the store into dead ones, on
    /// which the calls hang.
    pub fn kill_connections(&mut self, node: usize) {
        let share = [0.3, 1.0][self.rng.random_range(0..2)];
        for poll in &mut self.nodes[node].polls {
            poll.is_dead = poll.since.is_some() && self.rng.random_bool(share);
        }
    }

    /// Makes the store lose its history of changes. Pending long polls end, and those that start
    /// soon after are not notified of changes until they end.
    pub fn compact(&mut self) {
        let until = self.now + Span::from_millis(self.rng.random_range(0..1_200));
        self.store.compacted_to = self.store.version;
        self.store.feed_stalled_until = until;
        self.store.available_since = self.store.available_since.max(until);
        self.end_long_polls();
    }

    /// Ends all pending long polls at the store except those on dead connections.
    fn end_long_polls(&mut self) {
        let polls = self.nodes.iter_mut().flat_map(|node| &mut node.polls);
        for poll in polls.filter(|poll| !poll.is_dead) {
            *poll = Poll::default();
        }
    }

    /// Restores the store from a backup that is some seconds old. The operator and the upstreams
    /// write each lost row again at a random time; some upstreams never do.
    pub fn restore(&mut self, back: Time) {
        let backups = self.store.backups.len();
        if backups == 0 {
            return;
        }
        let backup = self.store.backups[self.rng.random_range(0..backups)].clone();
        self.store.is_hanging = self.rng.random_bool(0.5);
        for (table, row) in self.store.restore(backup, back) {
            let after = Span::from_millis(self.rng.random_range(0..3_000));
            if table != Table::Upstreams || self.rng.random_bool(0.9) {
                self.store.schedule_rewrite(back + after, table, row);
            }
        }
        self.end_long_polls();
    }

    /// Injects a fault that affects the store or all links.
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
                // All open links go silent, while new ones work.
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

    /// Injects a random fault into all entries that read the whole store, and into no others.
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
