//! Configurations.

use super::{CALL, PIECE};
use relay::Configuration;
use relay::configuration::{BatchSettings, Kind, Limits, Route, Service, Share, Stage, Workspace};
use std::time::Duration;

/// The configuration of [`configuration`] with additional routes of these names.
pub(crate) fn configuration_with_routes(version: u64, names: &[&str]) -> Configuration {
    let more = names.iter().map(|name| route(name, Kind::Safe));
    configuration_of(version, more)
}

/// A configuration with routes of each kind: `/unsafe/`, `/safe/`, `/stream/` (resumable), `/once/` (a
/// stream that is not resumable), `/staged/` (one stage) and `/chained/` (two).
pub(crate) fn configuration(version: u64) -> Configuration {
    configuration_of(version, [])
}

fn configuration_of(version: u64, more: impl IntoIterator<Item = Route>) -> Configuration {
    let staged = Route {
        stages: vec![Stage {
            service: "stage".into(),
            after: vec![],
            result: 100,
        }],
        ..route("staged", Kind::Streaming)
    };
    let chained = Route {
        stages: vec![
            Stage {
                service: "stage".into(),
                after: vec![],
                result: 100,
            },
            Stage {
                service: "stage".into(),
                after: vec![0],
                result: 100,
            },
        ],
        ..route("chained", Kind::Streaming)
    };
    let mut routes = vec![
        route("unsafe", Kind::Unsafe),
        route("safe", Kind::Safe),
        route("stream", Kind::Streaming),
        Route {
            resumable: false,
            ..route("once", Kind::Streaming)
        },
        staged,
        chained,
    ];
    routes.extend(more);
    let batches = BatchSettings {
        slots: 1,
        shape: decide::batch::Shape {
            size: 4,
            call: CALL,
            piece: PIECE,
        },
        room: 1_200,
        keep: Duration::from_secs(4),
    };
    let services = vec![
        Service {
            name: "plain".into(),
            connections: 64,
            batches: None,
            warmup: None,
        },
        Service {
            name: "stage".into(),
            connections: 64,
            batches: Some(batches),
            warmup: None,
        },
    ];
    let workspace = Workspace {
        homes: Default::default(),
        name: "coop".into(),
        rank: None,
    };
    Configuration::new(
        version,
        routes,
        services,
        vec![(workspace, vec!["key".to_owned()])],
        Limits::default(),
    )
}

fn route(name: &str, kind: Kind) -> Route {
    Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_secs(5),
        target: Duration::from_secs(1),
        rank: 1,
        split: vec![Share {
            service: "plain".into(),
            weight: 1,
        }],
        attempts: 2,
        stages: Vec::new(),
        public: false,
        resumable: true,
        gap: Duration::from_millis(400),
        homes: Default::default(),
    }
}
