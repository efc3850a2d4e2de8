//! Which claim a request belongs to, and whether it is the same request.

use eelgrassmill_base::value;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Prefix of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Key of a claim's row, `claim/HASH`.
///
/// A cryptographic hash, since two keys with one hash would give a caller
/// someone else's answer.
pub type ClaimKey = SmolStr;

value! { wire
    /// Tells one request body from another under the same idempotency key.
    #[serde(transparent)]
    pub struct Fingerprint(pub SmolStr);
}

/// The row key for a tenant's idempotency key at a service.
pub fn claim_key(tenant: &str, service: &str, key: &str) -> ClaimKey {
    let hash = hash_parts([tenant.as_bytes(), service.as_bytes(), key.as_bytes()]);
    SmolStr::from(format!("{CLAIM_PREFIX}{hash}"))
}

/// Fingerprint of what a request asks for.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let hash = hash_parts([method.as_bytes(), path.as_bytes(), body]);
    Fingerprint(SmolStr::from(hash))
}

/// SHA-256 over length-prefixed parts, so that ("ab", "c") and ("a", "bc") differ.
fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// SHA-256 of an answer's body as lower-case hexadecimal.
pub(crate) fn sha256(body: &[u8]) -> SmolStr {
    SmolStr::from(hex(&Sha256::digest(body)))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
