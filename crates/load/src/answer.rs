//! The fixed answer function of the stand-in targets, computed on its own here.
//!
//! Word `i` of an engine's answer is the first 8 hexadecimal digits of
//! `stable_hash([prompt, decimal i])`; words are joined by single spaces. A
//! plain service answers all 16 digits of `stable_hash([body])`.

use eelgrassmill_base::{Tokens, stable_hash};

const WORD_DIGITS: usize = 8;

/// Text of token `index`, with the space before it.
pub(crate) fn token(prompt: &str, index: Tokens) -> String {
    let digits = format!("{:016x}", stable_hash([prompt, index.to_string().as_str()]));
    let word = &digits[..WORD_DIGITS];
    if index == 0 {
        word.to_owned()
    } else {
        format!(" {word}")
    }
}

/// The whole answer of an engine.
pub(crate) fn whole(prompt: &str, tokens: Tokens) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// The answer of a plain service.
pub(crate) fn plain(body: &str) -> String {
    format!("{:016x}", stable_hash([body]))
}
