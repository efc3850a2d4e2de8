//! The difference of two texts, so that a small change travels as a few bytes.

use eelgrassmill_base::value;
use smol_str::SmolStr;

use crate::canonical::checksum;
use crate::document::MAX_TEXT;

value! { wire
    /// What replaces the middle of one text to give another.
    ///
    /// Operators change a few neighbouring lines at a time, so one replaced
    /// stretch is nearly as short as a full difference, and can't go wrong.
    pub struct TextDelta {
        /// Checksum of the text it starts from.
        pub base: SmolStr,
        /// Bytes kept at the start.
        pub prefix: usize,
        /// Bytes kept at the end.
        pub suffix: usize,
        /// What stands between them in the new text.
        pub middle: String,
        /// Checksum of the new text.
        pub checksum: SmolStr,
    }
}

/// Why a difference can't be applied; the receiver then asks for the whole text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It starts from another text.
    #[error("the difference starts from another text")]
    Base,
    /// It does not fit the text or gives a wrong one.
    #[error("the difference is damaged")]
    Damaged,
}

impl TextDelta {
    /// The difference from `old` to `new`.
    pub fn between(old: &str, new: &str) -> TextDelta {
        let prefix = common_prefix(old, new);
        let suffix = common_suffix(&old[prefix..], &new[prefix..]);
        TextDelta {
            base: checksum(old),
            prefix,
            suffix,
            middle: new[prefix..new.len() - suffix].to_owned(),
            checksum: checksum(new),
        }
    }

    /// The new text from `old`.
    ///
    /// # Errors
    /// When `old` isn't its base or the result hasn't its checksum.
    pub fn apply(&self, old: &str) -> Result<String, DeltaError> {
        if checksum(old) != self.base {
            return Err(DeltaError::Base);
        }
        let kept = self
            .prefix
            .checked_add(self.suffix)
            .ok_or(DeltaError::Damaged)?;
        if kept > old.len() || self.middle.len() > MAX_TEXT {
            return Err(DeltaError::Damaged);
        }
        let start = old.get(..self.prefix).ok_or(DeltaError::Damaged)?;
        let end = old
            .get(old.len() - self.suffix..)
            .ok_or(DeltaError::Damaged)?;
        let new = [start, &self.middle, end].concat();
        if checksum(&new) == self.checksum {
            Ok(new)
        } else {
            Err(DeltaError::Damaged)
        }
    }
}

fn common_prefix(a: &str, b: &str) -> usize {
    let same = a.chars().zip(b.chars()).take_while(|(x, y)| x == y);
    same.map(|(c, _)| c.len_utf8()).sum()
}

fn common_suffix(a: &str, b: &str) -> usize {
    let same = a
        .chars()
        .rev()
        .zip(b.chars().rev())
        .take_while(|(x, y)| x == y);
    same.map(|(c, _)| c.len_utf8()).sum()
}
