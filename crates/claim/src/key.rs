//! Row keys of claims, and fingerprints that tell requests under one key apart.

use eelgrassmill_base::value;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Prefix of the keys of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Key of a claim's row, `claim/HASH`.
///
/// The hash is cryptographic, since a collision would give a caller the response to
/// another caller's request.
pub type ClaimKey = SmolStr;

value! { wire
    /// Distinguishes requests under the same idempotency key.
    #[serde(transparent)]
    pub struct Fingerprint(pub SmolStr);
}

/// Returns the row key for a tenant's idempotency key at a service.
pub fn claim_key(tenant: &str, service: &str, key: &str) -> ClaimKey {
    let hash = hash_parts([tenant.as_bytes(), service.as_bytes(), key.as_bytes()]);
    SmolStr::from(format!("{CLAIM_PREFIX}{hash}"))
}

/// Returns the fingerprint of a request's method, path and body.
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

/// SHA-256 of a response body in lowercase hexadecimal.
pub(crate) fn sha256(body: &[u8]) -> SmolStr {
    SmolStr::from(hex(&Sha256::digest(body)))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
