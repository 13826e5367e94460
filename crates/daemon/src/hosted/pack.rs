//! Compression of rows that one entry sends to another.
//!
//! A table of 3,000 upstreams has 530 KB, which takes 0.4 s on a link of 10 Mbit/s; sending it
//! to a hundred entries takes 2 s on a link of 200 Mbit/s. The rows are much alike and compress
//! to 66 KB, an eighth (test `whole_tables_are_packed`).

use super::replica::Retained;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde_bytes::ByteBuf;
use sorreldeck::wire::RetainedRow;
use sorreldeck_platform::store::Row;
use std::io::{Read, Write};

/// A row as it is sent: key, version and value; the value is `None` if the row was removed.
pub type RowTuple = (String, u64, Option<ByteBuf>);

/// Minimum number of rows, or of their bytes, for which they are packed. Less fits into three
/// network packets.
const MIN_ROWS: usize = 24;
const MIN_BYTES: usize = 4_096;
/// Maximum number of bytes after decompression, about 100,000 rows; no valid table is larger.
const MAX_UNPACKED: u64 = 32 * 1024 * 1024;

/// Converts a row to the form in which it is sent.
pub fn to_tuple(row: Row) -> RowTuple {
    (row.key, row.version, row.value.map(ByteBuf::from))
}

/// Converts a received row.
pub fn from_tuple((key, version, value): RowTuple) -> Row {
    Row {
        key,
        value: value.map(ByteBuf::into_vec),
        version,
    }
}

/// Converts a retained row to the form in which it is sent.
pub fn to_retained(retained: &Retained) -> RetainedRow {
    RetainedRow {
        key: retained.row.key.clone(),
        era: retained.era,
        version: retained.row.version,
        value: retained.row.value.clone().map(ByteBuf::from),
        remaining: retained.remaining,
    }
}

/// Converts a received retained row.
pub fn from_retained(row: RetainedRow) -> Retained {
    Retained {
        row: Row {
            key: row.key,
            value: row.value.map(ByteBuf::into_vec),
            version: row.version,
        },
        era: row.era,
        remaining: row.remaining,
    }
}

/// Returns whether rows are worth packing.
pub fn should_pack(rows: &[RowTuple]) -> bool {
    let size = |(key, _, value): &RowTuple| key.len() + value.as_ref().map_or(0, |v| v.len());
    rows.len() >= MIN_ROWS || rows.iter().map(size).sum::<usize>() >= MIN_BYTES
}

/// Packs rows.
pub fn pack(rows: &[RowTuple]) -> Vec<u8> {
    let mut plain = Vec::new();
    // CBOR can express all types that rows contain, and writing to a `Vec` does not fail.
    ciborium::into_writer(rows, &mut plain).expect("rows are always CBOR");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).expect("a Vec takes all bytes");
    encoder.finish().expect("a Vec takes all bytes")
}

/// Unpacks rows.
///
/// # Errors
///
/// Fails with a message for the log if the bytes are not valid packed rows.
pub fn unpack(buf: &[u8]) -> Result<Vec<RowTuple>, String> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(buf).take(MAX_UNPACKED);
    decoder.read_to_end(&mut plain).map_err(|e| e.to_string())?;
    ciborium::from_reader(plain.as_slice()).map_err(|e| e.to_string())
}
