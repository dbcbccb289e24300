//! Input of a later stage: the fields of the request, overlaid with those of the previous stage's
//! answer.

use bytes::Bytes;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

type Fields<'a> = BTreeMap<String, &'a RawValue>;

/// Overlays the fields of the request with those of a stage's answer, so that parameters such as
/// the number of tokens reach the stage that needs them. An answer that is not an object is used
/// alone.
///
/// # Examples
///
/// ```
/// let next = entry::fields::overlay(br#"{"text":"a","top":3}"#, r#"{"text":"b"}"#.into());
/// assert_eq!(next, r#"{"text":"b","top":3}"#);
/// ```
#[must_use]
pub fn overlay(request: &[u8], answer: Bytes) -> Bytes {
    let Ok(mut fields) = serde_json::from_slice::<Fields<'_>>(request) else {
        return answer;
    };
    match serde_json::from_slice::<Fields<'_>>(&answer) {
        Ok(answered) => fields.extend(answered),
        Err(_) => return answer,
    }
    serde_json::to_vec(&fields).map_or(answer.clone(), Bytes::from)
}
