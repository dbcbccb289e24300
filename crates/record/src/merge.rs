//! Merging of records that were written under different schemas.

use crate::shape::{Field, Shape};
use crate::{Document, Schema, schema};
use serde_json::{Map, Value};

/// Field that identifies the elements of a list.
const NAME: &str = "name";

/// Merges a writer's document into the stored one that it replaces.
///
/// A writer of an older schema cannot intend to drop a field that its schema does not have. Such
/// fields keep their stored values, also in the elements of lists (which are matched by name), and
/// the document keeps its higher schema. Validate the writer's document before the merge: fields
/// that the merge adds may be of a schema that this program does not know.
///
/// # Examples
///
/// ```
/// use serde_json::{from_value, json};
///
/// let stored = from_value(json!({"schema": 2, "kind": "pipeline", "name": "review",
///     "version": 1, "deadline_ms": 500, "stages": [], "durable": true})).unwrap();
/// let new = from_value(json!({"schema": 1, "kind": "pipeline", "name": "review",
///     "version": 1, "deadline_ms": 800, "stages": []})).unwrap();
/// let merged = record::merge(&stored, &new);
/// assert_eq!(merged.schema, 2);
/// assert_eq!(merged.body["durable"], true);
/// assert_eq!(merged.body["deadline_ms"], 800);
/// ```
#[must_use]
pub fn merge(stored: &Document, new: &Document) -> Document {
    let mut merged = new.clone();
    if new.schema >= stored.schema {
        return merged;
    }
    merged.schema = stored.schema;
    if let Shape::Object(fields) = schema::shape(new.kind) {
        merge_fields(&stored.body, &mut merged.body, fields, new.schema);
    }
    merged
}

fn merge_fields(
    stored: &Map<String, Value>,
    merged: &mut Map<String, Value>,
    fields: &[Field],
    schema: Schema,
) {
    for (name, value) in stored {
        let known = fields
            .iter()
            .find(|field| field.name == name && field.since <= schema);
        match (known, merged.get_mut(name)) {
            (None, None) => {
                merged.insert(name.clone(), value.clone());
            }
            (Some(field), Some(new)) => merge_value(value, new, &field.shape, schema),
            _ => {}
        }
    }
}

fn merge_value(stored: &Value, merged: &mut Value, shape: &Shape, schema: Schema) {
    match (shape, stored, merged) {
        (Shape::Object(fields), Value::Object(stored), Value::Object(merged)) => {
            merge_fields(stored, merged, fields, schema);
        }
        (Shape::List(shape), Value::Array(stored), Value::Array(merged)) => {
            for element in merged {
                let matching = stored.iter().find(|other| same_name(other, element));
                if let Some(matching) = matching {
                    merge_value(matching, element, shape, schema);
                }
            }
        }
        _ => {}
    }
}

fn same_name(left: &Value, right: &Value) -> bool {
    left.get(NAME).is_some() && left.get(NAME) == right.get(NAME)
}
