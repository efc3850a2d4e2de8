//! Hash functions with the same result on every node.

/// Hashes `parts` in order; the result is the same on every node and build (64-bit FNV-1a with
/// a finalizer).
///
/// The standard library's hasher is seeded per process, so two nodes would
/// disagree about which of them watches a group.
pub fn stable_hash<'a, T>(parts: impl IntoIterator<Item = &'a T>) -> u64
where
    T: AsRef<[u8]> + ?Sized + 'a,
{
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        // The separator keeps ("ab", "c") and ("a", "bc") apart.
        for byte in part.as_ref().iter().chain(std::iter::once(&0xff)) {
            hash ^= u64::from(*byte);
            hash = hash.wrapping_mul(PRIME);
        }
    }
    // FNV mixes the last bytes weakly; the finalizer spreads them over all bits.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Ranks `candidates` for `key` by rendezvous hashing, highest score first.
///
/// When a candidate is removed, only the keys that ranked it first move.
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
