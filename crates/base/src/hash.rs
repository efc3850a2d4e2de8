//! Hashes that every node computes alike.

/// Hashes `parts` in order to the same number on every node and build (FNV-1a, 64 bits).
///
/// The standard library's hasher is seeded per process, so two nodes would
/// disagree about which of them watches a group.
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        // The separator keeps ("ab", "c") and ("a", "bc") apart.
        for byte in part.bytes().chain(std::iter::once(0xff)) {
            hash ^= u64::from(byte);
            hash = hash.wrapping_mul(PRIME);
        }
    }
    // FNV mixes the last bytes weakly; the finisher spreads them over all bits.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Orders `candidates` by rendezvous hashing for `key`, the best first.
///
/// When a candidate leaves, only the keys it was first for move.
pub fn rendezvous<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut scored: Vec<(u64, &T)> = candidates
        .into_iter()
        .map(|c| (stable_hash([key, c.as_ref()]), c))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().map(|(_, c)| c).collect()
}
