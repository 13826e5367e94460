//! What is known of the store's versions: gaps, repeated changes, tables asked anew.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sorreldeck::follow::Watermark;
use sorreldeck::{Span, Time};
use std::collections::BTreeSet;
use test_case::test_case;

const PATIENCE: Span = Span::from_micros(100);

/// Three tables that are known up to version 10.
fn at_ten() -> Watermark {
    let mut watermark = Watermark::new(3);
    for table in 0..3 {
        watermark.known(table, 10, []);
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
    watermark.known(0, 13, []);
    watermark.named(13, Time(1_000));
    for (table, version, changes) in known {
        watermark.known(*table, *version, changes.iter().copied());
    }
    assert!(
        watermark.behind(Time(1_099), PATIENCE).is_empty(),
        "too soon"
    );
    assert_eq!(watermark.behind(Time(1_100), PATIENCE), asked);
}

#[test]
fn a_later_version_does_not_make_an_earlier_one_wait_anew() {
    let mut watermark = at_ten();
    watermark.named(11, Time(0));
    watermark.named(12, Time(90));
    assert_eq!(watermark.behind(Time(100), PATIENCE), [0, 1, 2]);
    watermark.known(0, 11, [11]);
    assert!(watermark.behind(Time(100), PATIENCE).is_empty());
    assert_eq!(watermark.behind(Time(190), PATIENCE), [0, 1, 2]);
}

/// Random changes of which some are never told: as soon as one is named and its time has
/// passed, the table that it belongs to is asked; when nobody is asked, all named are known.
#[test]
fn no_change_that_was_named_stays_unknown() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut watermark = at_ten();
        let mut store = vec![0usize; 10];
        let mut known = [10u64; 3];
        let mut untold = BTreeSet::new();
        for step in 0..400u64 {
            let now = Time(step * 50);
            let table = rng.random_range(0..3);
            store.push(table);
            let newest = store.len() as u64;
            match rng.random_bool(0.8) {
                true => {
                    let told = (known[table] + 1..=newest)
                        .filter(|v| store[*v as usize - 1] == table)
                        .collect::<Vec<_>>();
                    untold.retain(|v| !told.contains(v));
                    watermark.known(table, newest, told);
                    known[table] = newest;
                }
                false => drop(untold.insert(newest)),
            }
            watermark.named(newest, now);
            let asked = watermark.behind(now, PATIENCE);
            for version in untold.iter().filter(|v| **v + 2 <= newest) {
                let table = store[*version as usize - 1];
                assert!(asked.contains(&table), "seed {seed}: {version} of {table}");
            }
            for table in asked {
                let told = (known[table] + 1..=newest)
                    .filter(|v| store[*v as usize - 1] == table)
                    .collect::<Vec<_>>();
                untold.retain(|v| !told.contains(v));
                watermark.known(table, newest, told);
                known[table] = newest;
            }
        }
    }
}
