//! Parts that the settings of several roles have in common.

use crate::check::{Field, Shape};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) const PLACE: Shape = Shape::Object(&[
    Field::required("region", Shape::Name),
    Field::required("domain", Shape::Name),
]);
pub(crate) const PLATFORM: Shape = Shape::Object(&[
    Field::required("table", Shape::Address),
    Field::required("objects", Shape::Address),
    Field::required("vms", Shape::Address),
    Field::optional("weights", Shape::Address).nullable(),
]);
pub(crate) const TLS: Shape = Shape::Object(&[
    Field::required("certificate", Shape::Text),
    Field::required("key", Shape::Text),
    Field::optional("ca", Shape::Text).nullable(),
]);
pub(crate) const OPERATOR: Shape = Shape::Object(&[
    Field::required("name", Shape::Name),
    Field::required("token", Shape::Text),
]);
pub(crate) const POLICY: Shape = Shape::OneOf(&["naive", "shipped"]);

/// Location of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Region, such as `ee-north`.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Weight store, from which engines load models.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}

/// Certificate and key of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tls {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
    /// PEM file with the authorities that verify the certificates of the other entries; `None`
    /// uses the file of the own certificate.
    #[serde(default)]
    pub ca: Option<PathBuf>,
}

/// An operator who may change records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name in the change log.
    pub name: String,
    /// Bearer token.
    pub token: String,
}

/// Which algorithms a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The baseline: round robin, unbounded queues, retry on every error.
    Naive,
    /// The algorithms of the `decide` crate.
    #[default]
    Shipped,
}
