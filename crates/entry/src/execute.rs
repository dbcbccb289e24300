//! Runs an accepted request through the stages of its pipeline.

use crate::answer::End;
use crate::attempt::{self, Outcome, Sink};
use crate::claim as claims;
use crate::core::{Core, Platform};
use crate::job::Job;
use crate::kept;
use crate::target::Target;
use bytes::{Bytes, BytesMut};
use protocol::claim::{self, Verdict};
use protocol::{CallId, StageIndex};
use rand::Rng;
use record::Stage;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::Work;

/// First pause before another attempt when every target has refused.
const PAUSE_FIRST: Duration = Duration::from_millis(5);
/// Longest pause between attempts.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// How long an accepted request waits for a target that would take its next stage.
const PATIENCE: Duration = Duration::from_secs(60);
/// Attempts of one repeatable stage that may end with an error or without a word.
const FAILURES_MOST: u32 = 4;
/// When to come back while the table service is away.
const STORE_AWAY: Duration = Duration::from_secs(1);
/// Lowest HTTP status that blames the runner rather than the input.
const SERVER_ERROR: u16 = 500;

/// Runs a job to its end and leaves the end in its answer.
pub async fn run<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    match &job.key {
        Some(key) if !job.repeatable() => run_once(core, job, key).await,
        _ => {
            run_stages(core, job).await;
        }
    }
}

/// Runs a job whose key nobody else has run, and keeps its answer where every entry finds it.
async fn run_once<P: Platform>(core: &Arc<Core<P>>, job: &Job, key: &str) {
    let digest = kept::digest(job);
    let settled = core
        .claims
        .claim(&job.workspace, key, job.id, digest)
        .await;
    let refusal = match settled.verdict {
        Verdict::Granted => {
            let end = run_stages(core, job).await;
            return close(core, job, settled, &end).await;
        }
        Verdict::Running(request) | Verdict::Answered(request) => End::Elsewhere { request },
        Verdict::Mismatch => End::Mismatch,
        Verdict::Unavailable => End::NotRun {
            detail: "the table service is away".to_owned(),
            retry_after: STORE_AWAY,
        },
    };
    finish(core, job, refusal);
    if !settled.is_settled() {
        core.claims.close(settled, claim::Event::Retry).await;
    }
}

/// A claim of a request that may have run stays: no entry runs it again.
async fn close<P: Platform>(core: &Arc<Core<P>>, job: &Job, settled: claims::Settled, end: &End) {
    let event = match end {
        End::NotRun { .. } => claim::Event::NotRun,
        End::Whole { .. } | End::Failed { .. } => {
            kept::store(core, job, end).await;
            claim::Event::Answered
        }
        _ => return,
    };
    core.claims.close(settled, event).await;
}

async fn run_stages<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> End {
    job.answer.admit();
    let end = match stages(core, job).await {
        Ok(()) => End::Whole {
            late: Instant::now() > job.deadline,
        },
        Err(end) => end,
    };
    finish(core, job, end.clone());
    end
}

fn finish<P: Platform>(core: &Core<P>, job: &Job, end: End) {
    core.telemetry.ended(job, &end);
    job.answer.finish(end);
}

async fn stages<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> Result<(), End> {
    let last = job.pipeline.stages.len().saturating_sub(1);
    let mut input = job.input.clone();
    let mut ran = false;
    for (index, stage) in job.pipeline.stages.iter().enumerate() {
        let position = StageIndex::try_from(index).unwrap_or(StageIndex::MAX);
        let mut run = Run::new(core, job, stage, position, ran);
        if index == last {
            let streamed = job.stream && stage.stream;
            let output = run.finish(input, streamed).await?;
            if !streamed {
                job.answer.push(output);
            }
            return Ok(());
        }
        input = run.finish(input, false).await?;
        ran = true;
    }
    Ok(())
}

/// Passes chunks on to the caller as they arrive.
struct Stream<'a>(&'a Job);

impl Sink for Stream<'_> {
    fn push(&mut self, chunk: Bytes) {
        self.0.answer.push(chunk);
    }
}

/// One stage of one job, over all its attempts.
struct Run<'a, P: Platform> {
    core: &'a Arc<Core<P>>,
    job: &'a Job,
    stage: &'a Stage,
    call: CallId,
    ran: bool,
    failures: u32,
    tried: Vec<String>,
    pause: Duration,
    started: Instant,
}

impl<'a, P: Platform> Run<'a, P> {
    fn new(
        core: &'a Arc<Core<P>>,
        job: &'a Job,
        stage: &'a Stage,
        position: StageIndex,
        ran: bool,
    ) -> Self {
        Self {
            core,
            job,
            stage,
            call: CallId {
                request: job.id,
                stage: position,
                attempt: 0,
            },
            ran,
            failures: 0,
            tried: Vec::new(),
            pause: PAUSE_FIRST,
            started: Instant::now(),
        }
    }

    /// Tries until the stage has its answer or may not be tried again.
    async fn finish(&mut self, input: Bytes, streamed: bool) -> Result<Bytes, End> {
        loop {
            let target = self.target().await?;
            let began = Instant::now();
            let outcome = self.attempt(&target, input.clone(), streamed).await;
            self.core
                .telemetry
                .attempt(&self.stage.name, &outcome, began.elapsed());
            self.call = self.call.next();
            match outcome {
                Outcome::Whole { output, .. } => return Ok(output),
                Outcome::NotRun { retry_after, .. } => {
                    self.tried.push(target.vm.id.clone());
                    self.pause = self.pause.max(retry_after);
                }
                Outcome::Failed { status, body } => self.failed(&target, status, body)?,
                Outcome::Unknown => self.unknown(&target)?,
            }
        }
    }

    async fn attempt(&self, target: &Arc<Target>, input: Bytes, streamed: bool) -> Outcome {
        let work = self.work(input, streamed);
        if streamed {
            attempt::run(target, self.call, work, &mut Stream(self.job)).await
        } else {
            attempt::run(target, self.call, work, &mut Discard).await
        }
    }

    fn work(&self, input: Bytes, streamed: bool) -> Work {
        let resume = if streamed { self.job.answer.len() } else { 0 };
        Work {
            workspace: self.job.workspace.clone(),
            class: self.job.class.clone(),
            service: self.stage.service.clone(),
            stage: self.stage.name.clone(),
            repeatable: self.stage.repeatable,
            stream: streamed,
            priority: 0,
            remaining: self.job.remaining(),
            prefix: Vec::new(),
            resume: u32::try_from(resume).unwrap_or(u32::MAX),
            revision: self.job.set.revision(),
            input,
        }
    }

    /// Waits for a target that may take the stage.
    async fn target(&mut self) -> Result<Arc<Target>, End> {
        loop {
            if let Some(target) = self.choose() {
                return Ok(target);
            }
            if self.started.elapsed() > PATIENCE {
                return Err(self.gave_up("no target would take the stage"));
            }
            let most = self.pause.min(PAUSE_MOST);
            let pause = rand::rng().random_range(most / 2..=most);
            tokio::time::sleep(pause).await;
            self.pause = (self.pause * 2).min(PAUSE_MOST);
            self.tried.clear();
        }
    }

    fn choose(&self) -> Option<Arc<Target>> {
        self.core.pool.choose(
            &self.stage.service,
            &self.core.config.current(),
            &self.tried,
            &mut rand::rng(),
        )
    }

    fn failed(&mut self, target: &Target, status: u16, body: Bytes) -> Result<(), End> {
        self.failures += 1;
        let again = self.stage.repeatable && status >= SERVER_ERROR;
        if again && self.failures < FAILURES_MOST {
            self.tried.push(target.vm.id.clone());
            return Ok(());
        }
        Err(End::Failed {
            stage: self.stage.name.clone(),
            status,
            body,
        })
    }

    fn unknown(&mut self, target: &Target) -> Result<(), End> {
        self.failures += 1;
        self.ran = true;
        if self.stage.repeatable && self.failures < FAILURES_MOST {
            self.tried.push(target.vm.id.clone());
            return Ok(());
        }
        Err(End::Unknown {
            detail: format!("stage {} may have run", self.stage.name),
        })
    }

    /// A request of which any stage ran is never told as *not run*.
    fn gave_up(&self, why: &str) -> End {
        if self.ran || self.failures > 0 {
            return End::Unknown {
                detail: format!("stage {}: {why}; earlier work has run", self.stage.name),
            };
        }
        End::NotRun {
            detail: format!("stage {}: {why}", self.stage.name),
            retry_after: PAUSE_MOST,
        }
    }
}

/// Leaves joining the chunks to the attempt itself.
struct Discard;

impl Sink for Discard {
    fn push(&mut self, _chunk: Bytes) {}
}

/// Joins the chunks of a streamed answer into one JSON array, for callers that want no stream.
#[must_use]
pub fn join(chunks: &[Bytes]) -> Bytes {
    let mut joined = BytesMut::from(&b"["[..]);
    for (index, chunk) in chunks.iter().enumerate() {
        if index > 0 {
            joined.extend_from_slice(b",");
        }
        joined.extend_from_slice(chunk);
    }
    joined.extend_from_slice(b"]");
    joined.freeze()
}
