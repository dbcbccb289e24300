//! HTTP clients of the platform.

/// HTTP client of every platform service that the settings name.
#[derive(Clone, Debug)]
pub struct Client {}
