//! Services, runners and requests of the two deployments.

use crate::load::arrival::{Source, Work};
use standin::{Kind, Options};
use std::sync::Arc;
use std::time::Duration;

/// Number of tokens of each streamed answer.
const TOKENS: u32 = 16;
/// Maximum sequences in an engine's batch.
const BATCH: usize = 8;
/// Duration of an engine's step with one sequence, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Relative growth of the step's duration with each further sequence.
const STEP_GROWTH: f64 = 0.1;
/// Load without a burst, as a fraction of the capacity.
const USUAL_LOAD: f64 = 0.6;

/// A service with its pool of runners.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name in the records.
    pub name: &'static str,
    /// Name of the stage that it runs, and of the operation of its stand-ins.
    pub stage: &'static str,
    /// Kind of its runners.
    pub kind: Kind,
    /// Number of runners.
    pub runners: usize,
    /// Number of concurrent calls to one runner.
    pub concurrency: u32,
    /// Median service time of a call in milliseconds. The time of an engine depends on its steps.
    pub service_ms: f64,
}

/// The requests to one pipeline.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// Name of the pipeline.
    pub pipeline: &'static str,
    /// Operations of its stages.
    pub operations: &'static [&'static str],
    /// Whether the answers are streamed.
    pub stream: bool,
    /// Whether the calls may run at most once.
    pub once: bool,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Requests per second; `None` for the usual fraction of the engines' capacity.
    pub rate: Option<f64>,
}

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of its directory in `examples/`.
    pub name: &'static str,
    /// Region.
    pub region: &'static str,
    /// Failure domains.
    pub domains: &'static [&'static str],
    /// Services.
    pub services: &'static [Service],
    /// Requests.
    pub flows: &'static [Flow],
    /// Workspaces with their shares of the requests, in percent.
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

/// Both deployments, without the load-reporting services, which share nothing with the others.
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
    /// Returns the options of its stand-ins.
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
    /// Returns the service of the engines.
    #[must_use]
    pub fn engines(&self) -> &Service {
        let mut services = self.services.iter();
        let engines = services.find(|service| service.kind == Kind::Engine);
        engines.unwrap_or(&self.services[0])
    }

    /// Returns the streamed requests per second that the engines can answer with full batches.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let step_ms = STEP_MS * (1.0 + STEP_GROWTH * (BATCH - 1) as f64);
        let answer_ms = step_ms * f64::from(TOKENS);
        self.engines().runners as f64 * BATCH as f64 * 1_000.0 / answer_ms
    }

    /// Returns the requests of all workspaces over `span`. During `burst`, one workspace sends so many
    /// requests that the total of streamed requests is twice the capacity.
    #[must_use]
    pub fn sources(
        &self,
        span: Duration,
        burst: Option<&std::ops::Range<Duration>>,
        prefixes: u32,
    ) -> Vec<Source> {
        let flows = self.flows.iter();
        flows
            .flat_map(|flow| {
                let work = Arc::new(self.work(flow, prefixes));
                let workspaces = self.workspaces.iter().enumerate();
                workspaces.map(move |(index, (name, share))| Source {
                    work: work.clone(),
                    workspace: (*name).into(),
                    phases: self.phases(flow, index, share / 100.0, span, burst),
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
        index: usize,
        share: f64,
        span: Duration,
        burst: Option<&std::ops::Range<Duration>>,
    ) -> Vec<(std::ops::Range<Duration>, f64)> {
        let usual = flow.rate.unwrap_or(self.capacity() * USUAL_LOAD);
        let rate = usual * share;
        match burst {
            Some(burst) if index == BURST_WORKSPACE && flow.stream => {
                let burst_rate = 2.0 * self.capacity() - (usual - rate);
                vec![
                    (Duration::ZERO..burst.start, rate),
                    (burst.clone(), burst_rate),
                    (burst.end..span, rate),
                ]
            }
            _ => vec![(Duration::ZERO..span, rate)],
        }
    }
}

/// Index of the workspace that sends the burst.
const BURST_WORKSPACE: usize = 2;
