//! What a later stage is given: the request's fields under what the stage before it answered.

use bytes::Bytes;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

type Fields<'a> = BTreeMap<String, &'a RawValue>;

/// Lays the fields of a stage's answer over those of the request, so that parameters such as the
/// number of tokens reach the stage that needs them. An answer that is no object stands alone.
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
