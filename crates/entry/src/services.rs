//! All services that an entry knows, by name.

use crate::service::Service;
use foldhash::fast::RandomState;
use record::RecordSet;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};
use tokio::time::Instant;

/// All services that an entry knows.
#[derive(Debug)]
pub struct Services {
    domain: String,
    policy: setting::Policy,
    started: Instant,
    by_name: RwLock<HashMap<String, Arc<Service>, RandomState>>,
}

impl Services {
    /// Creates an empty set of services.
    pub fn new(settings: &setting::Entry, started: Instant) -> Self {
        Self {
            domain: settings.place.domain.clone(),
            policy: settings.policy,
            started,
            by_name: RwLock::default(),
        }
    }

    /// Returns the service with this name, which is added if it is not known.
    pub fn get(&self, name: &str) -> Arc<Service> {
        let known = {
            let by_name = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
            by_name.get(name).cloned()
        };
        known.unwrap_or_else(|| self.add(name))
    }

    fn add(&self, name: &str) -> Arc<Service> {
        let mut by_name = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        by_name
            .entry(name.to_owned())
            .or_insert_with(|| Service::new(name, &self.domain, self.started, self.policy))
            .clone()
    }

    /// Returns all services.
    pub fn all(&self) -> Vec<Arc<Service>> {
        let by_name = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        by_name.values().cloned().collect()
    }

    /// Applies the configuration in force to all services.
    pub fn configure(&self, set: &RecordSet) {
        for service in self.all() {
            service.configure(set);
        }
    }
}
