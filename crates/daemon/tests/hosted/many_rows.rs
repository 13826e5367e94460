//! A table of more rows than one page holds.
//!
//! What users would see: an upstream that nobody calls until its row changes, or, where it was
//! known, one that is left though it is well. Order of events: an entry reads a page of 500 rows;
//! the last of them goes; the next page begins with the row after it, which was taken for the
//! one that both pages hold and left out. Cause: rows were counted where keys tell which they
//! are. Evidence: of 1,200 rows two were missing, the first of the second and third page.

use super::*;
use sorreldeck_platform::{Store as Client, Table};
use std::collections::BTreeSet;
use test_case::test_case;

/// More than two pages of 500 rows.
const ROWS: usize = 1_200;

fn key(number: usize) -> String {
    format!("i-{number:04}")
}

/// Each row: how many rows go while the table is read.
#[test_case(0; "nothing changes")]
#[test_case(2; "the last row of each page goes before the next is read")]
fn a_table_of_many_rows_is_read_whole(going: usize) {
    task::block_on(async {
        let store = Store::start().await;
        for number in 0..ROWS {
            store.put("servers", &key(number), &json!({"service": "engines"}));
        }
        if going > 0 {
            store.lose_last_rows();
        }
        let client = Client::new(store.address);
        let page = client.read(Table::Upstreams).await.unwrap();
        let known: BTreeSet<String> = page.rows.iter().map(|row| row.key.clone()).collect();
        let missing: Vec<String> = (0..ROWS).map(key).filter(|k| !known.contains(k)).collect();
        assert!(missing.is_empty(), "{missing:?}");
        assert_eq!(page.rows.len(), ROWS, "no row comes twice");
        // What went while the table was read came after the version that it was read at.
        let later = client.follow(Table::Upstreams, page.version, Duration::ZERO);
        let later = later.await.unwrap().rows;
        assert_eq!(
            later.iter().filter(|row| row.value.is_none()).count(),
            going
        );
    });
}
