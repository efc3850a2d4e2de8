//! Transfer of a configuration's text, in full or as a difference.

use eelgrassmill_base::{ConfigVersion, SubmitId, value};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::error::PeerError;
use crate::wire::messages::{Body, FetchConfigReply, TextDifference};

value! {
    /// An accepted configuration text.
    pub struct ConfigText {
        /// Its version.
        pub version: ConfigVersion,
        /// SHA-256 of `text` in hexadecimal digits.
        pub checksum: SmolStr,
        /// Who submitted it.
        pub author: SmolStr,
        /// The submitter's id for the submission.
        pub submit_id: SubmitId,
        /// The text.
        pub text: String,
    }
}

impl ConfigText {
    /// Whether the text matches the checksum.
    pub fn is_intact(&self) -> bool {
        checksum(&self.text) == self.checksum
    }
}

/// SHA-256 of `text` in hexadecimal digits, the format of [`ConfigText::checksum`].
pub fn checksum(text: &str) -> SmolStr {
    let digest = Sha256::digest(text.as_bytes());
    let digits: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.into()
}

/// Builds the reply to a node that has `base`.
pub(crate) fn fetch_reply(current: ConfigText, base: Option<&ConfigText>) -> FetchConfigReply {
    let body = match base {
        Some(base) if base.checksum == current.checksum => Body::Unchanged(true),
        Some(base) => Body::Difference(difference(&base.text, &current.text)),
        None => Body::Full(current.text),
    };
    FetchConfigReply {
        version: current.version,
        checksum: current.checksum.into(),
        author: current.author.into(),
        submit_id: current.submit_id.into(),
        body: Some(body),
    }
}

/// Restores the text from a reply and the base that the request named.
///
/// # Errors
/// [`PeerError::Checksum`] if the result differs from the replying node's text, so
/// that a wrong base or a corrupt text is never applied.
pub(crate) fn restore(
    reply: FetchConfigReply,
    base: Option<&ConfigText>,
) -> Result<ConfigText, PeerError> {
    if reply.version == 0 {
        return Err(PeerError::NoConfig);
    }
    let base = base.map(|base| base.text.as_str()).unwrap_or_default();
    let text = match reply.body {
        Some(Body::Full(text)) => text,
        Some(Body::Unchanged(_)) => base.to_string(),
        Some(Body::Difference(difference)) => {
            apply_difference(base, &difference).ok_or(PeerError::Checksum)?
        }
        None => return Err(PeerError::Checksum),
    };
    let restored = ConfigText {
        version: reply.version,
        checksum: reply.checksum.into(),
        author: reply.author.into(),
        submit_id: reply.submit_id.into(),
        text,
    };
    if !restored.is_intact() {
        return Err(PeerError::Checksum);
    }
    Ok(restored)
}

/// The difference of `new` from `old`: the part between their common prefix and suffix.
fn difference(old: &str, new: &str) -> TextDifference {
    let head = common_prefix_bytes(old.chars(), new.chars());
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let tail = common_prefix_bytes(old_rest.chars().rev(), new_rest.chars().rev());
    TextDifference {
        keep_head: head as u64,
        keep_tail: tail as u64,
        middle: new_rest[..new_rest.len() - tail].to_string(),
    }
}

/// Length in bytes of the common prefix of two character sequences.
fn common_prefix_bytes(a: impl Iterator<Item = char>, b: impl Iterator<Item = char>) -> usize {
    a.zip(b)
        .take_while(|(a, b)| a == b)
        .map(|(a, _)| a.len_utf8())
        .sum()
}

fn apply_difference(old: &str, difference: &TextDifference) -> Option<String> {
    let head = usize::try_from(difference.keep_head).ok()?;
    let tail = usize::try_from(difference.keep_tail).ok()?;
    let tail_start = old.len().checked_sub(tail).filter(|&start| start >= head)?;
    let parts = [old.get(..head)?, &difference.middle, old.get(tail_start..)?];
    Some(parts.concat())
}
