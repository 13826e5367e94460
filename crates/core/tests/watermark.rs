//! What is known of the store's versions: gaps, repeated changes, tables asked anew.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::replication::Watermark;
use sorreldeck::{Span, Time};
use std::collections::BTreeSet;
use test_case::test_case;

const PATIENCE: Span = Span::from_micros(100);

/// Three tables that are known up to version 10.
fn at_ten() -> Watermark {
    let mut watermark = Watermark::new(3);
    for table in 0..3 {
        watermark.advance(table, 10, []);
    }
    watermark
}

/// Each row: what is known after version 13 was named by the first table, as table, version
/// and changes, and which tables are asked.
#[test_case(&[], &[1, 2]; "nothing told of the changes")]
#[test_case(&[(1, 13, &[11, 12, 13])], &[]; "one table told of all")]
#[test_case(&[(1, 12, &[11, 12]), (2, 13, &[13])], &[]; "two tables told of them")]
#[test_case(&[(1, 11, &[11]), (2, 13, &[13])], &[1]; "a change is missing between others")]
#[test_case(&[(1, 13, &[11, 13])], &[2]; "a row that changed twice leaves a gap")]
#[test_case(&[(1, 13, &[11, 13]), (2, 13, &[])], &[]; "the gap ends when all have answered")]
#[test_case(&[(1, 14, &[11, 12, 13, 14])], &[]; "more is known than was named")]
fn tables_behind_a_named_version_are_asked(known: &[(usize, u64, &[u64])], asked: &[usize]) {
    let mut watermark = at_ten();
    watermark.advance(0, 13, []);
    watermark.observe(13, Time(1_000));
    for (table, version, changes) in known {
        watermark.advance(*table, *version, changes.iter().copied());
    }
    assert!(
        watermark.lagging(Time(1_099), PATIENCE).is_empty(),
        "too soon"
    );
    assert_eq!(watermark.lagging(Time(1_100), PATIENCE), asked);
}

#[test]
fn a_later_version_does_not_make_an_earlier_one_wait_anew() {
    let mut watermark = at_ten();
    watermark.observe(11, Time(0));
    watermark.observe(12, Time(90));
    assert_eq!(watermark.lagging(Time(100), PATIENCE), [0, 1, 2]);
    watermark.advance(0, 11, [11]);
    assert!(watermark.lagging(Time(100), PATIENCE).is_empty());
    assert_eq!(watermark.lagging(Time(190), PATIENCE), [0, 1, 2]);
}

/// A store of three tables at version 10, and what was told of its later changes.
struct Store {
    /// The table that each version changed, from version 1 on.
    changed: Vec<usize>,
    known: [u64; 3],
    untold: BTreeSet<u64>,
    watermark: Watermark,
}

impl Store {
    fn newest(&self) -> u64 {
        self.changed.len() as u64
    }

    fn table(&self, version: u64) -> usize {
        self.changed[version as usize - 1]
    }

    /// Tells of all changes of a table.
    fn answer(&mut self, table: usize) {
        let newest = self.newest();
        let later = self.known[table] + 1..=newest;
        let told: Vec<u64> = later.filter(|v| self.table(*v) == table).collect();
        self.untold.retain(|v| !told.contains(v));
        self.watermark.advance(table, newest, told);
        self.known[table] = newest;
    }
}

/// Random changes of which some are never told: as soon as one is named and its time has
/// passed, the table that it belongs to is asked; when nobody is asked, all named are known.
#[test]
fn no_change_that_was_named_stays_unknown() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = Store {
            changed: vec![0; 10],
            known: [10; 3],
            untold: BTreeSet::new(),
            watermark: at_ten(),
        };
        for step in 0..400u64 {
            let now = Time(step * 50);
            let table = rng.random_range(0..3);
            store.changed.push(table);
            let newest = store.newest();
            match rng.random_bool(0.8) {
                true => store.answer(table),
                false => drop(store.untold.insert(newest)),
            }
            store.watermark.observe(newest, now);
            let asked = store.watermark.lagging(now, PATIENCE);
            for version in store.untold.iter().filter(|v| **v + 2 <= newest) {
                let table = store.table(*version);
                assert!(asked.contains(&table), "seed {seed}: {version} of {table}");
            }
            asked.into_iter().for_each(|table| store.answer(table));
        }
    }
}
