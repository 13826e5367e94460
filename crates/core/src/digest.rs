//! Short numbers that stand for longer texts.

/// Returns the first eight bytes of a hash as a number: enough to tell apart what nobody
/// makes to collide.
pub(crate) fn short(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
