//! Syntax of durations and names in texts.

use std::time::Duration;

/// Maximum length of a service, tenant, host, model or version name.
pub const MAX_NAME_BYTES: usize = 64;

/// Digits of a fraction that count.
const MAX_FRACTION_DIGITS: usize = 9;
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses `250ms`, `10s`, `4.5s`, `10m` or `2h`; `None` for anything else. Fractions are rounded down
/// to milliseconds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let is_number = |b: &u8| b.is_ascii_digit() || *b == b'.';
    let length = text.bytes().take_while(is_number).count();
    let (number, unit) = text.split_at(length);
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let whole: u64 = whole.parse().ok()?;
    let whole = whole.checked_mul(*millis)?;
    whole
        .checked_add(fraction_of(fraction, *millis)?)
        .map(Duration::from_millis)
}

/// `0.digits` of `size`, rounded down; `None` if `digits` is empty or has other characters.
fn fraction_of(digits: &str, size: u64) -> Option<u64> {
    let is_valid = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    // The digits after these are less than a millisecond of the largest unit.
    let digits = &digits[..digits.len().min(MAX_FRACTION_DIGITS)];
    let scale = 10_u64.pow(digits.len() as u32);
    is_valid.then(|| digits.parse::<u64>().ok().map(|n| n * size / scale))?
}

/// Formats `d`, rounded down to milliseconds, in the largest unit that gives a whole number.
pub fn format_duration(d: Duration) -> String {
    let millis = u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    let (unit, size) = UNITS
        .iter()
        .rev()
        .find(|(_, size)| millis >= *size && millis % size == 0)
        .unwrap_or(&UNITS[0]);
    format!("{}{unit}", millis / size)
}

/// Whether `name` is valid: letters, digits, `.`, `_` and `-`, starting with a letter or digit.
///
/// Names are used in paths, table keys and header values, where a slash or a
/// space would make them ambiguous.
pub fn is_valid_name(name: &str) -> bool {
    let mut bytes = name.bytes();
    let first = bytes.next().is_some_and(|b| b.is_ascii_alphanumeric());
    let rest = bytes.all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    first && rest && name.len() <= MAX_NAME_BYTES
}
