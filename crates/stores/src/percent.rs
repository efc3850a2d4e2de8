//! Percent-encoding of keys in URL paths and queries (RFC 3986).

/// Encodes every byte of `text` that isn't an unreserved character.
pub fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

/// Decodes the output of [`percent_encode`]; `None` for an invalid escape or invalid UTF-8.
pub fn percent_decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let high = char::from(bytes.next()?).to_digit(16)?;
        let low = char::from(bytes.next()?).to_digit(16)?;
        out.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(out).ok()
}
