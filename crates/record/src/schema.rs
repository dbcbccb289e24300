//! The fields of each schema, for each kind of record.
//!
//! Fields without a mark are part of schema 1; a field marked `since(2)` is part of schema 2 and
//! later. Documents of both schemas coexist.

use crate::shape::{Field, Shape};
use crate::{Kind, Schema};

/// Oldest supported schema.
pub const OLDEST: Schema = 1;
/// Newest supported schema.
pub const NEWEST: Schema = 2;
/// Maximum end-to-end deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum number of concurrent calls to one runner.
const MAX_CONCURRENCY: u64 = 65_536;
/// Maximum share of a workspace.
const MAX_SHARE: u64 = 1_000_000;
/// Maximum number of replicas of a model.
const MAX_REPLICAS: u64 = 100_000;

const SCHEMA: Field = Field::required(
    "schema",
    Shape::Integer {
        min: OLDEST as u64,
        max: NEWEST as u64,
    },
);
const KIND: Field = Field::required(
    "kind",
    Shape::OneOf(&["pipeline", "current", "service", "workspace", "drain"]),
);
const NAME: Field = Field::required("name", Shape::Name);
const VERSION: Field = Field::required(
    "version",
    Shape::Integer {
        min: 1,
        max: u32::MAX as u64,
    },
);
const NO_VERSION: Field = Field::optional("version", Shape::Integer { min: 0, max: 0 });

const STAGE: Shape = Shape::Object(&[
    NAME,
    Field::required("service", Shape::Name),
    Field::optional("repeatable", Shape::Bool),
    Field::optional("stream", Shape::Bool),
    Field::optional("model", Shape::Name).since(2),
]);

const MODEL: Shape = Shape::Object(&[
    NAME,
    Field::required(
        "min",
        Shape::Integer {
            min: 0,
            max: MAX_REPLICAS,
        },
    ),
    Field::required(
        "max",
        Shape::Integer {
            min: 1,
            max: MAX_REPLICAS,
        },
    ),
]);

const PIPELINE: Shape = Shape::Object(&[
    SCHEMA,
    KIND,
    NAME,
    VERSION,
    Field::required(
        "deadline_ms",
        Shape::Integer {
            min: 1,
            max: MAX_DEADLINE_MS,
        },
    ),
    Field::required("stages", Shape::List(&STAGE)),
    Field::optional("durable", Shape::Bool).since(2),
    Field::optional("attainment", Shape::Ratio).since(2),
]);

const CURRENT: Shape = Shape::Object(&[SCHEMA, KIND, NAME, VERSION]);

const SERVICE: Shape = Shape::Object(&[
    SCHEMA,
    KIND,
    NAME,
    NO_VERSION,
    Field::required("runner", Shape::OneOf(&["engine", "pool", "plain"])),
    Field::required(
        "concurrency",
        Shape::Integer {
            min: 1,
            max: MAX_CONCURRENCY,
        },
    ),
    Field::optional("fencing", Shape::OneOf(&["checked", "unchecked"])),
    Field::optional("models", Shape::List(&MODEL)).since(2),
]);

const WORKSPACE: Shape = Shape::Object(&[
    SCHEMA,
    KIND,
    NAME,
    NO_VERSION,
    Field::required(
        "share",
        Shape::Integer {
            min: 1,
            max: MAX_SHARE,
        },
    ),
]);

const DRAIN: Shape = Shape::Object(&[SCHEMA, KIND, NAME, NO_VERSION]);

/// Shape of a document of a kind, covering all schemas.
#[must_use]
pub fn shape(kind: Kind) -> &'static Shape {
    match kind {
        Kind::Pipeline => &PIPELINE,
        Kind::Current => &CURRENT,
        Kind::Service => &SERVICE,
        Kind::Workspace => &WORKSPACE,
        Kind::Drain => &DRAIN,
    }
}

/// Shape of the fields that documents of all kinds have in common.
pub(crate) const COMMON: Shape = Shape::OpenObject(&[SCHEMA, KIND, NAME]);
