//! The operators' bearer token, of which only the hash is kept.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Shortest token that a token file may hold, in bytes.
pub(crate) const MIN_TOKEN: usize = 16;

/// SHA-256 of a bearer token. Its `Debug` shows nothing of it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// The hash of `token`.
    pub fn of(token: &str) -> TokenHash {
        TokenHash(Sha256::digest(token.as_bytes()).into())
    }

    /// From 64 hexadecimal digits; `None` for anything else.
    pub fn from_hex(digits: &str) -> Option<TokenHash> {
        let mut hash = [0; 32];
        // The number parser alone would take a sign for a digit.
        if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(TokenHash(hash))
    }

    /// Whether `token` is the one, in a time that doesn't tell how much of it is right.
    ///
    /// Comparing hashes of equal length also keeps the token's length from showing.
    pub fn matches(&self, token: &str) -> bool {
        self.0.ct_eq(&TokenHash::of(token).0).into()
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenHash(..)")
    }
}

impl std::fmt::Display for TokenHash {
    /// The digits that settings and texts name the token by.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
