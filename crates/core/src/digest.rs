//! Hashing helpers.

/// Returns the first eight bytes of a hash as a number: enough to tell inputs apart unless someone
/// constructs a collision.
pub(crate) fn truncate(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Distributes numbers evenly over 64 bits by multiplying with large odd constants and folding.
pub(crate) fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
