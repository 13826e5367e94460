//! Watermarks of the store's versions: gaps, repeated changes, and tables to request again.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::replication::Watermark;
use sorreldeck::{Span, Time};
use std::collections::BTreeSet;
use test_case::test_case;

const TIMEOUT: Span = Span::from_micros(100);

/// Returns the watermark of three tables that are known up to version 10.
fn at_ten() -> Watermark {
    let mut watermark = Watermark::new(3);
    for table in 0..3 {
        watermark.advance(table, 10, []);
    }
    watermark
}

/// Each row: what is known after the first table reported version 13, as table, version and
/// changes, and which tables are requested.
#[test_case(&[], &[1, 2]; "no change is known")]
#[test_case(&[(1, 13, &[11, 12, 13])], &[]; "one table has all changes")]
#[test_case(&[(1, 12, &[11, 12]), (2, 13, &[13])], &[]; "two tables have them")]
#[test_case(&[(1, 11, &[11]), (2, 13, &[13])], &[1]; "a change is missing between others")]
#[test_case(&[(1, 13, &[11, 13])], &[2]; "a row that changed twice leaves a gap")]
#[test_case(&[(1, 13, &[11, 13]), (2, 13, &[])], &[]; "the gap ends when all have answered")]
#[test_case(&[(1, 14, &[11, 12, 13, 14])], &[]; "more is known than was reported")]
fn tables_behind_a_reported_version_are_requested(
    known: &[(usize, u64, &[u64])],
    requested: &[usize],
) {
    let mut watermark = at_ten();
    watermark.advance(0, 13, []);
    watermark.observe(13, Time(1_000));
    for (table, version, changes) in known {
        watermark.advance(*table, *version, changes.iter().copied());
    }
    assert!(
        watermark.lagging(Time(1_099), TIMEOUT).is_empty(),
        "too soon"
    );
    assert_eq!(watermark.lagging(Time(1_100), TIMEOUT), requested);
}

#[test]
fn a_later_version_does_not_restart_the_wait_of_an_earlier_one() {
    let mut watermark = at_ten();
    watermark.observe(11, Time(0));
    watermark.observe(12, Time(90));
    assert_eq!(watermark.lagging(Time(100), TIMEOUT), [0, 1, 2]);
    watermark.advance(0, 11, [11]);
    assert!(watermark.lagging(Time(100), TIMEOUT).is_empty());
    assert_eq!(watermark.lagging(Time(190), TIMEOUT), [0, 1, 2]);
}

/// A store of three tables at version 10, and its later changes that no answer has returned.
struct Store {
    /// The table that each version changed, from version 1 on.
    changed: Vec<usize>,
    known: [u64; 3],
    unreturned: BTreeSet<u64>,
    watermark: Watermark,
}

impl Store {
    fn newest(&self) -> u64 {
        self.changed.len() as u64
    }

    fn table(&self, version: u64) -> usize {
        self.changed[version as usize - 1]
    }

    /// Advances the watermark by all changes of a table.
    fn answer(&mut self, table: usize) {
        let newest = self.newest();
        let later = self.known[table] + 1..=newest;
        let changes: Vec<u64> = later.filter(|v| self.table(*v) == table).collect();
        self.unreturned.retain(|v| !changes.contains(v));
        self.watermark.advance(table, newest, changes);
        self.known[table] = newest;
    }
}

/// Random changes, of which some are not returned by an answer: as soon as a version was reported
/// and its time has passed, the table that it changed is requested; if no table is requested, all
/// reported versions are known.
#[test]
fn no_reported_change_stays_unknown() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = Store {
            changed: vec![0; 10],
            known: [10; 3],
            unreturned: BTreeSet::new(),
            watermark: at_ten(),
        };
        for step in 0..400u64 {
            let now = Time(step * 50);
            let table = rng.random_range(0..3);
            store.changed.push(table);
            let newest = store.newest();
            match rng.random_bool(0.8) {
                true => store.answer(table),
                false => drop(store.unreturned.insert(newest)),
            }
            store.watermark.observe(newest, now);
            let requested = store.watermark.lagging(now, TIMEOUT);
            for version in store.unreturned.iter().filter(|v| **v + 2 <= newest) {
                let table = store.table(*version);
                assert!(
                    requested.contains(&table),
                    "seed {seed}: {version} of {table}"
                );
            }
            requested.into_iter().for_each(|table| store.answer(table));
        }
    }
}
