//! Query strings.

/// The percent-decoded value of a parameter.
pub(crate) fn get(query: Option<&str>, name: &str) -> Option<String> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// The value of a numeric parameter; zero if it is missing or invalid.
pub(crate) fn number(query: Option<&str>, name: &str) -> u64 {
    let value = get(query, name);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Decodes percent-encoding; invalid sequences are left unchanged.
pub(crate) fn decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| hex(tail)).flatten();
        decoded.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
