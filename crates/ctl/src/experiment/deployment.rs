//! Services, runners and requests of the two deployments.

use crate::load::arrival::{Source, Work};
use standin::{Kind, Options};
use std::sync::Arc;
use std::time::Duration;

/// Tokens of each streamed answer.
const TOKENS: u32 = 16;
/// Sequences that an engine batches.
const BATCH: usize = 8;
/// Time of an engine's step with one sequence, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Growth of the step with each further sequence.
const STEP_GROWTH: f64 = 0.1;
/// Load in scenarios without a burst, as a share of the capacity.
const USUAL_LOAD: f64 = 0.6;

/// A pool of runners.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name in the records.
    pub name: &'static str,
    /// Stage that it runs, and operation of its stand-ins.
    pub stage: &'static str,
    /// Kind of its runners.
    pub kind: Kind,
    /// Number of runners.
    pub runners: usize,
    /// Calls given to one runner at once.
    pub concurrency: u32,
    /// Median time at work for one call in milliseconds; engines go by their steps.
    pub service_ms: f64,
}

/// Requests to one pipeline.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Name of the pipeline.
    pub pipeline: &'static str,
    /// Operations of its stages.
    pub operations: &'static [&'static str],
    /// Whether it ends in a stream.
    pub stream: bool,
    /// Whether its calls may run at most once.
    pub once: bool,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Requests a second; `None` for the usual share of what the engines can do.
    pub rate: Option<f64>,
}

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of its directory in `examples/`.
    pub name: &'static str,
    /// Region.
    pub region: &'static str,
    /// Failure domains.
    pub domains: &'static [&'static str],
    /// Pools.
    pub services: &'static [Service],
    /// Requests.
    pub flows: &'static [Flow],
    /// Workspaces with their shares in percent.
    pub workspaces: &'static [(&'static str, f64)],
}

const CHECK: &[&str] = &["encode", "retrieve", "rerank", "generate"];

const fn pool(name: &'static str, stage: &'static str, runners: usize, service_ms: f64) -> Service {
    Service {
        name,
        stage,
        kind: Kind::Pool,
        runners,
        concurrency: 8,
        service_ms,
    }
}

const fn engine(name: &'static str, runners: usize) -> Service {
    Service {
        name,
        stage: "generate",
        kind: Kind::Engine,
        runners,
        concurrency: BATCH as u32,
        service_ms: 0.0,
    }
}

const fn plain(
    name: &'static str,
    stage: &'static str,
    runners: usize,
    concurrency: u32,
) -> Service {
    Service {
        name,
        stage,
        kind: Kind::Plain,
        runners,
        concurrency,
        service_ms: 10.0,
    }
}

const fn streamed(pipeline: &'static str) -> Flow {
    Flow {
        pipeline,
        operations: CHECK,
        stream: true,
        once: false,
        deadline_ms: 1_000,
        rate: None,
    }
}

const fn once(pipeline: &'static str, operations: &'static [&'static str], rate: f64) -> Flow {
    Flow {
        pipeline,
        operations,
        stream: false,
        once: true,
        deadline_ms: 500,
        rate: Some(rate),
    }
}

/// Both deployments. The load-reporting services are left out: they share nothing with the rest.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "harness",
        region: "ee-north",
        domains: &["a", "b", "c", "d"],
        services: &[
            pool("encoder", "encode", 3, 5.0),
            pool("retriever", "retrieve", 3, 8.0),
            pool("reranker", "rerank", 4, 10.0),
            engine("assistant", 8),
            plain("label", "print", 4, 1),
        ],
        flows: &[
            streamed("drawing-check"),
            once("label-print", &["print"], 20.0),
        ],
        workspaces: &[
            ("tractor-line", 40.0),
            ("ferry-yard", 30.0),
            ("rail-cabinets", 20.0),
            ("rework", 5.0),
            ("training", 5.0),
        ],
    },
    Deployment {
        name: "proofreading",
        region: "khomas",
        domains: &["a", "b", "c"],
        services: &[
            pool("encoder", "encode", 2, 5.0),
            pool("retriever", "retrieve", 2, 8.0),
            pool("reranker", "rerank", 2, 10.0),
            engine("critic", 3),
            plain("marketplace", "post", 3, 16),
            plain("payout", "confirm", 3, 4),
        ],
        flows: &[
            streamed("review"),
            once("posting", &["post"], 15.0),
            once("payout", &["confirm"], 10.0),
        ],
        workspaces: &[
            ("omaheke-press", 35.0),
            ("thesis-desk", 30.0),
            ("tender-office", 20.0),
            ("night-readers", 10.0),
            ("trial", 5.0),
        ],
    },
];

impl Service {
    /// Options of its stand-ins.
    #[must_use]
    pub fn options(&self, seed: u64) -> Options {
        Options {
            name: self.stage.to_owned(),
            seed,
            service_ms: self.service_ms,
            jitter: 0.3,
            slots: self.concurrency as usize,
            step_ms: STEP_MS,
            step_growth: STEP_GROWTH,
            batch: BATCH,
            tokens: TOKENS,
            ..Options::default()
        }
    }

    /// Whether its calls may run at most once.
    #[must_use]
    pub fn once(&self) -> bool {
        self.kind == Kind::Plain
    }
}

impl Deployment {
    /// The pool of engines.
    #[must_use]
    pub fn engines(&self) -> &Service {
        let mut services = self.services.iter();
        let engines = services.find(|service| service.kind == Kind::Engine);
        engines.unwrap_or(&self.services[0])
    }

    /// Streamed requests a second that the engines can answer, with all batches full.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let step_ms = STEP_MS * (1.0 + STEP_GROWTH * (BATCH - 1) as f64);
        let answer_ms = step_ms * f64::from(TOKENS);
        self.engines().runners as f64 * BATCH as f64 * 1_000.0 / answer_ms
    }

    /// Requests of all workspaces over `span`; `crowd` is the part of it in which one workspace
    /// brings so much that all streamed requests are twice the capacity.
    #[must_use]
    pub fn sources(
        &self,
        span: Duration,
        crowd: Option<&std::ops::Range<Duration>>,
        prefixes: u32,
    ) -> Vec<Source> {
        let flows = self.flows.iter();
        flows
            .flat_map(|flow| {
                let work = Arc::new(self.work(flow, prefixes));
                let workspaces = self.workspaces.iter().enumerate();
                workspaces.map(move |(place, (name, share))| Source {
                    work: work.clone(),
                    workspace: (*name).into(),
                    phases: self.phases(flow, place, share / 100.0, span, crowd),
                })
            })
            .collect()
    }

    fn work(&self, flow: &Flow, prefixes: u32) -> Work {
        Work {
            pipeline: flow.pipeline.to_owned(),
            operations: flow.operations.to_vec(),
            stream: flow.stream,
            once: flow.once,
            deadline: Duration::from_millis(flow.deadline_ms),
            tokens: TOKENS,
            prefixes: if flow.stream { prefixes } else { 0 },
        }
    }

    fn phases(
        &self,
        flow: &Flow,
        place: usize,
        share: f64,
        span: Duration,
        crowd: Option<&std::ops::Range<Duration>>,
    ) -> Vec<(std::ops::Range<Duration>, f64)> {
        let usual = flow.rate.unwrap_or(self.capacity() * USUAL_LOAD);
        let own = usual * share;
        match crowd {
            Some(crowd) if place == CROWD && flow.stream => {
                let burst = 2.0 * self.capacity() - (usual - own);
                vec![
                    (Duration::ZERO..crowd.start, own),
                    (crowd.clone(), burst),
                    (crowd.end..span, own),
                ]
            }
            _ => vec![(Duration::ZERO..span, own)],
        }
    }
}

/// Place of the workspace that the crowd comes from.
const CROWD: usize = 2;
