//! Many or large rows as one entry hands them to another: packed, since they are much alike.
//!
//! A table of 3,000 upstreams is 530 KB; an entry on a link of 10 Mbit/s takes 0.4 s for it, and
//! a reader that hands it to a hundred others on 200 Mbit/s 2 s. Packed it is 66 KB, an eighth
//! (test `whole_tables_are_packed`).

use super::replica::Kept;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde_bytes::ByteBuf;
use sorreldeck::wire::RetainedRow;
use sorreldeck_platform::store::Row;
use std::io::{Read, Write};

/// A row as it is handed on: its key, version and value, or no value where it was dropped.
pub type RowTuple = (String, u64, Option<ByteBuf>);

/// The rows from which on they are packed, and the bytes: less takes no more than three packets.
const PACKED_FROM: usize = 24;
const PACKED_BYTES: usize = 4_096;
/// The most bytes that are unpacked, some 100,000 rows: what is larger is no table of ours.
const MOST: u64 = 32 * 1024 * 1024;

/// Returns a row as it is handed on.
pub fn to_tuple(row: Row) -> RowTuple {
    (row.key, row.version, row.value.map(ByteBuf::from))
}

/// Returns the row that was handed on.
pub fn row((key, version, value): RowTuple) -> Row {
    Row {
        key,
        value: value.map(ByteBuf::into_vec),
        version,
    }
}

/// Returns what is kept of a row as it is handed on.
pub fn kept_row(kept: &Kept) -> RetainedRow {
    RetainedRow {
        key: kept.row.key.clone(),
        era: kept.era,
        version: kept.row.version,
        value: kept.row.value.clone().map(ByteBuf::from),
        remaining: kept.left,
    }
}

/// Returns what was handed on of a row that is kept.
pub fn kept(row: RetainedRow) -> Kept {
    Kept {
        row: Row {
            key: row.key,
            value: row.value.map(ByteBuf::into_vec),
            version: row.version,
        },
        era: row.era,
        left: row.remaining,
    }
}

/// Returns whether rows are packed.
pub fn should_pack(rows: &[RowTuple]) -> bool {
    let size = |(key, _, value): &RowTuple| key.len() + value.as_ref().map_or(0, |v| v.len());
    rows.len() >= PACKED_FROM || rows.iter().map(size).sum::<usize>() >= PACKED_BYTES
}

/// Packs rows.
pub fn pack(rows: &[RowTuple]) -> Vec<u8> {
    let mut plain = Vec::new();
    // Rows hold only types that CBOR can express, and a Vec takes all bytes.
    ciborium::into_writer(rows, &mut plain).expect("rows are always CBOR");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).expect("a Vec takes all bytes");
    encoder.finish().expect("a Vec takes all bytes")
}

/// Unpacks rows.
///
/// # Errors
///
/// Fails with a sentence for people when the bytes are no packed rows.
pub fn unpack(buf: &[u8]) -> Result<Vec<RowTuple>, String> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(buf).take(MOST);
    decoder.read_to_end(&mut plain).map_err(|e| e.to_string())?;
    ciborium::from_reader(plain.as_slice()).map_err(|e| e.to_string())
}
