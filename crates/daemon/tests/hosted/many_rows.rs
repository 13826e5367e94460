//! Guards against rows that are lost between the pages of a table.
//!
//! An entry reads a page of 500 rows, and the last of these is removed before the next page is read.
//! That page begins with the following row, which was skipped as the one that both pages contain,
//! because rows were counted instead of compared by key. Of 1,200 rows two were missing, the first
//! of the second and of the third page. Such an upstream gets no requests until its row changes, or
//! is retired although it works.

use super::*;
use sorreldeck_platform::{Store as Client, Table};
use std::collections::BTreeSet;
use test_case::test_case;

/// More than two pages of 500 rows.
const ROWS: usize = 1_200;

fn key(number: usize) -> String {
    format!("i-{number:04}")
}

/// Each row: the number of rows removed while the table is read.
#[test_case(0; "nothing changes")]
#[test_case(2; "the last row of each page is removed before the next is read")]
fn a_table_of_many_rows_is_read_whole(going: usize) {
    task::block_on(async {
        let store = Store::start().await;
        for number in 0..ROWS {
            store.put("servers", &key(number), &json!({"service": "engines"}));
        }
        if going > 0 {
            store.remove_last_rows();
        }
        let client = Client::new(store.address);
        let page = client.read(Table::Upstreams).await.unwrap();
        let known: BTreeSet<String> = page.rows.iter().map(|row| row.key.clone()).collect();
        let missing: Vec<String> = (0..ROWS).map(key).filter(|k| !known.contains(k)).collect();
        assert!(missing.is_empty(), "{missing:?}");
        assert_eq!(page.rows.len(), ROWS, "no row comes twice");
        // Rows removed while the table was read have later versions than the table.
        let later = client.follow(Table::Upstreams, page.version, Duration::ZERO);
        let later = later.await.unwrap().rows;
        assert_eq!(
            later.iter().filter(|row| row.value.is_none()).count(),
            going
        );
    });
}
