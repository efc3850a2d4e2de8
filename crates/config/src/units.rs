//! Syntax of durations and names in texts.

use std::time::Duration;

/// Maximum length of a service, tenant, host, model or version name.
pub const MAX_NAME_BYTES: usize = 64;

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses `250ms`, `10s`, `10m` or `2h`; `None` for anything else.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*millis).map(Duration::from_millis)
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
