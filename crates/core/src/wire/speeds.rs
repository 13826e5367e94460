//! The encoding of speed sums as bytes, which is shorter than CBOR numbers: the identifier, a hash,
//! in 8 bytes, little-endian, then weight and logarithm as variable-length integers.

use crate::pick::SpeedSum;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// The bits of a number that a byte of its encoding holds.
const BITS: u32 = 7;
/// Set in each byte of a number but the last.
const CONTINUES: u8 = 1 << BITS;

/// Encodes speed sums.
pub fn serialize<S: Serializer>(sums: &[SpeedSum], s: S) -> Result<S::Ok, S::Error> {
    let mut buf = Vec::new();
    for sum in sums {
        buf.extend(sum.upstream.to_le_bytes());
        put(&mut buf, sum.weight);
        put(&mut buf, zigzag(sum.log));
    }
    s.serialize_bytes(&buf)
}

/// Decodes speed sums.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<SpeedSum>, D::Error> {
    let bytes = serde_bytes::ByteBuf::deserialize(d)?;
    let mut rest = &bytes[..];
    let mut sums = Vec::new();
    while !rest.is_empty() {
        let sum = take_sum(&mut rest);
        sums.push(sum.ok_or_else(|| D::Error::custom("a speed sum is not complete"))?);
    }
    Ok(sums)
}

fn take_sum(rest: &mut &[u8]) -> Option<SpeedSum> {
    let (upstream, after) = rest.split_first_chunk()?;
    *rest = after;
    Some(SpeedSum {
        upstream: u64::from_le_bytes(*upstream),
        weight: take(rest)?,
        log: unzigzag(take(rest)?),
    })
}

fn put(buf: &mut Vec<u8>, mut number: u32) {
    while number >= u32::from(CONTINUES) {
        buf.push(number as u8 | CONTINUES);
        number >>= BITS;
    }
    buf.push(number as u8);
}

/// Takes a number off the front; `None` if it is cut off or too large.
fn take(rest: &mut &[u8]) -> Option<u32> {
    let mut number = 0;
    for shift in (0..u32::BITS).step_by(BITS as usize) {
        let (byte, after) = rest.split_first()?;
        *rest = after;
        let bits = u32::from(byte & !CONTINUES);
        number |= bits.checked_shl(shift).filter(|b| b >> shift == bits)?;
        if byte & CONTINUES == 0 {
            return Some(number);
        }
    }
    None
}

/// Maps numbers near zero, of either sign, to small ones.
fn zigzag(number: i32) -> u32 {
    (number << 1 ^ number >> (i32::BITS - 1)) as u32
}

fn unzigzag(number: u32) -> i32 {
    (number >> 1) as i32 ^ -((number & 1) as i32)
}
