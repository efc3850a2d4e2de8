//! What the stand-ins answer: fixed functions that any client can compute.
//!
//! Word `i` of an engine's answer is the first 8 hexadecimal digits of
//! `stable_hash([prompt, decimal i])`; words are joined by single spaces.

use eelgrassmill_base::stable_hash;

const WORD_DIGITS: usize = 8;

/// The answer of `tokens` words to `prompt`.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    let words: Vec<String> = (0..tokens).map(|i| expected_token(prompt, i)).collect();
    words.join(" ")
}

/// Word `index` of the answer to `prompt`.
pub fn expected_token(prompt: &str, index: u64) -> String {
    let mut word = hex(&[prompt, &index.to_string()]);
    word.truncate(WORD_DIGITS);
    word
}

/// What a plain service answers to `body`.
pub fn expected_plain_answer(body: &str) -> String {
    hex(&[body])
}

/// Text of token `index` as it stands in an answer, with the space before it.
pub(crate) fn token_text(prompt: &str, index: u64) -> String {
    let word = expected_token(prompt, index);
    if index == 0 { word } else { format!(" {word}") }
}

fn hex(parts: &[&str]) -> String {
    format!("{:016x}", stable_hash(parts.iter().copied()))
}
