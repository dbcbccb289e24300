//! Requests that share a prompt part which crashes the runners that begin to answer them.

mod common;

use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    Reply, WORKSPACE, attempt_on, failures, maintain_list, relay, reply, send, serve,
};
use common::{Behavior, Fake, Sent, StreamEnd};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::request::{Prompt, part_content};
use relay::{Relay, Request, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Prefix of the names of requests with the harmful part.
const HARMFUL: &str = "harmful";
/// Interval between two requests with the harmful part, and between two others.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(600);
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(30);
/// Runners of the model, and the time that one needs to restart.
const RUNNERS: usize = 12;
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which requests with the part must be recognized, the time that this may take,
/// and the number of such requests that may reach runners later.
const CRASHES: usize = 5;
const RECOGNITION_TIME: Duration = Duration::from_secs(3);
const MAX_LATER: usize = 3;
/// Upper limit for a step, even on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last crash for which a part is held at first.
const INITIAL_HOLD: Duration = Duration::from_secs(5);
/// Share of the other requests that must be answered once the part is recognized.
const MIN_SERVED_SHARE: f64 = 0.9;

/// A streaming request whose prompt has these shared parts; no two requests have the same body.
fn request(id: &str, parts: &[&str]) -> Request {
    let prompt = Prompt {
        input: 1_000,
        output: 100,
        shared: Vec::new(),
        part_contents: parts.iter().map(|part| part_content(part)).collect(),
    };
    Request {
        prompt: Some(prompt),
        ..attempt_on("once", id, id)
    }
}

fn is_harmful(sent: &&Sent) -> bool {
    sent.id.starts_with(HARMFUL)
}

/// Sends requests with these parts for a while, one every `interval`. Returns when each was sent and its
/// reply.
async fn send_for(
    relay: Arc<Relay<Fake>>,
    name: &'static str,
    parts: &[&str],
    interval: Duration,
) -> Vec<(Instant, Reply)> {
    let begun = Instant::now();
    let mut attempts = Vec::new();
    while begun.elapsed() < DURATION {
        let id = format!("{name}-{}", attempts.len());
        attempts.push((Instant::now(), send(&relay, request(&id, parts)).await));
        sleep(interval).await;
    }
    let mut replies = Vec::new();
    for (sent, attempt) in attempts {
        replies.push((sent, reply(attempt).await));
    }
    replies
}

/// A relay at which each runner crashes that begins to answer a request with the harmful part.
fn relay_with_fault() -> Arc<Relay<Fake>> {
    let relay = relay(2, RUNNERS);
    let fault = Fault::new(HARMFUL, FaultSite::Answer, Effect::Exits);
    relay.downstream.faults.set([fault]);
    maintain_list(&[&relay], Some(RESTART_TIME));
    relay
}

/// Guards against requests that crash one runner after the other because they share only a part of their
/// prompts, while sound requests with the same caller and the same other parts must be served.
#[tokio::test(start_paused = true)]
async fn shared_part_recognized() {
    let relay = relay_with_fault();
    let harmful = ["system", "deadly", "subject"];
    let (_, sound) = tokio::join!(
        send_for(relay.clone(), HARMFUL, &harmful, HARMFUL_INTERVAL),
        send_for(
            relay.clone(),
            "sound",
            &["system", "subject"],
            SOUND_INTERVAL
        ),
    );
    let crashes = relay.downstream.faults.failures();
    let Some(fifth) = crashes.get(CRASHES - 1).or(crashes.last()) else {
        panic!("no runner has crashed");
    };
    let recognized = fifth.at + RECOGNITION_TIME;
    let sent = relay.downstream.sent();
    let later = sent.iter().filter(is_harmful);
    let later = later.filter(|sent| sent.at > recognized).count();
    assert!(later <= MAX_LATER, "{later} of {:?}", failures(&relay));
    let after = sound.iter().filter(|(sent, _)| *sent > recognized);
    let after: Vec<&Reply> = after.map(|(_, reply)| reply).collect();
    let served = after.iter().filter(|reply| reply.is_served()).count();
    assert!(
        served as f64 >= MIN_SERVED_SHARE * after.len() as f64,
        "{served} of {}",
        after.len()
    );
}

/// Guards against holding the parts of a request that crashes runners by itself, however often it is repeated:
/// other requests with the same parts are sound.
#[tokio::test(start_paused = true)]
async fn parts_of_repeated_request() {
    let relay = relay_with_fault();
    for number in 0..CRASHES {
        let id = format!("{HARMFUL}-{number}");
        let attempt = Request {
            message: request(HARMFUL, &[]).message,
            ..request(&id, &["system", "subject"])
        };
        serve(&relay, attempt).await;
        sleep(HARMFUL_INTERVAL).await;
    }
    assert!(relay.is_quarantined(request(HARMFUL, &[]).content(Some(WORKSPACE))));
    for part in ["system", "subject"] {
        assert!(!relay.is_quarantined(part_content(part)), "{part}");
    }
}

/// Sends a request whose stream stops after its first event, and lets its runner exit after `delay`.
async fn exit_during(relay: &Arc<Relay<Fake>>, id: &str, delay: Duration) {
    let silent = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Silent,
    };
    let fake = &relay.downstream;
    fake.behaviors.lock().expect("free").push_back(silent);
    let attempt = send(relay, request(id, &["system"])).await;
    sleep(delay).await;
    let sent = fake.sent();
    let call = sent.iter().find(|call| call.id == id).expect("sent");
    fake.faults.end(&call.runner);
    assert!(!reply(attempt).await.is_served());
}

/// Guards against holding a part because runners exit in the middle of long responses to it, while one under
/// which runners exit as they begin to respond is held.
#[tokio::test(start_paused = true)]
async fn exits_in_long_responses() {
    for (delay, is_held) in [(1_000, false), (50, true)] {
        let relay = relay(2, RUNNERS);
        for number in 0..CRASH_THRESHOLD {
            let id = format!("r-{number}");
            exit_during(&relay, &id, Duration::from_millis(delay)).await;
            sleep(HARMFUL_INTERVAL).await;
        }
        let part = part_content("system");
        assert_eq!(relay.is_quarantined(part), is_held, "{delay} ms");
    }
}

/// Guards against a sound part that is held for long because it was tried together with a harmful one: a
/// request that contains only the sound part must get the chance to clear it.
#[tokio::test(start_paused = true)]
async fn parts_tried_apart() {
    let relay = relay_with_fault();
    let harmful = |id: &str| request(&format!("{HARMFUL}-{id}"), &["deadly", "subject"]);
    for number in 0..CRASH_THRESHOLD {
        serve(&relay, harmful(&number.to_string())).await;
        sleep(HARMFUL_INTERVAL).await;
    }
    assert!(relay.is_quarantined(part_content("subject")));
    sleep(INITIAL_HOLD).await;
    assert_eq!(serve(&relay, harmful("due")).await.status, 503);
    let sound = |id: &str| request(id, &["subject"]);
    assert!(serve(&relay, sound("trial")).await.is_served());
    assert!(!serve(&relay, harmful("trial")).await.is_served());
    assert!(serve(&relay, sound("later")).await.is_served());
}

/// Guards against parts that are never tried because all requests contain both of them.
#[tokio::test(start_paused = true)]
async fn parts_tried_together() {
    let relay = relay_with_fault();
    let parts = ["deadly", "subject"];
    for number in 0..CRASH_THRESHOLD {
        serve(&relay, request(&format!("{HARMFUL}-{number}"), &parts)).await;
        sleep(HARMFUL_INTERVAL).await;
    }
    sleep(INITIAL_HOLD * 3).await;
    assert!(serve(&relay, request("mended", &parts)).await.is_served());
}

/// Guards against a part that is cleared by the failure of a request: the runner may have failed it before it
/// processed the part.
#[tokio::test(start_paused = true)]
async fn not_cleared_by_failure() {
    let relay = relay_with_fault();
    let parts = ["system", "deadly"];
    for number in 0..CRASH_THRESHOLD {
        serve(&relay, request(&format!("{HARMFUL}-{number}"), &parts)).await;
        sleep(HARMFUL_INTERVAL).await;
        let failure = Behavior::Answer {
            status: 500,
            proven: true,
            body: "failed",
        };
        let behaviors = &relay.downstream.behaviors;
        behaviors.lock().expect("free").push_back(failure);
        let failed = serve(&relay, request(&format!("failed-{number}"), &parts)).await;
        assert!(number + 1 == CRASH_THRESHOLD || failed.status == 500);
        sleep(HARMFUL_INTERVAL).await;
    }
    assert!(relay.is_quarantined(part_content("deadly")));
}

/// Guards against announcing parts that cannot have crashed a runner, since other requests with them were
/// answered meanwhile: each crash would be announced to all processes for every popular part, and cleared
/// again.
#[tokio::test]
async fn answered_part_not_announced() {
    let relay = relay(2, RUNNERS);
    let (_sender, mut receiver) = common::link::open(&relay).await;
    let silent = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Silent,
    };
    let fake = &relay.downstream;
    fake.behaviors.lock().expect("free").push_back(silent);
    let first = send(&relay, request("first", &["system", "deadly"])).await;
    let sent = async {
        while fake.sent().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(STEP_TIMEOUT, sent).await.expect("sent");
    let runner = fake.sent()[0].runner.clone();
    assert!(
        serve(&relay, request("second", &["system"]))
            .await
            .is_served()
    );
    fake.faults.end(&runner);
    assert!(!reply(first).await.is_served());
    let announced = async {
        let mut contents = Vec::new();
        while !contents.contains(&part_content("deadly")) {
            let frame = receiver.recv().await.expect("linked").expect("open");
            if let peer::Frame::Suspicion(suspicion) = frame {
                contents.push(suspicion.content);
            }
        }
        contents
    };
    let contents = timeout(STEP_TIMEOUT, announced).await.expect("announced");
    assert!(!contents.contains(&part_content("system")), "{contents:?}");
}

/// Guards against a part that many requests share and that is held because runners crash for other reasons
/// while they process it.
#[tokio::test(start_paused = true)]
async fn popular_part_served() {
    let relay = relay_with_fault();
    let crashing = {
        let relay = relay.clone();
        async move {
            for number in 1..=RUNNERS {
                sleep(HARMFUL_INTERVAL).await;
                let id = format!("a-{number}");
                relay.downstream.faults.end(&id);
            }
        }
    };
    let (_, popular) = tokio::join!(
        crashing,
        send_for(relay.clone(), "popular", &["system"], SOUND_INTERVAL)
    );
    let held = popular.iter().filter(|(_, reply)| reply.status == 503);
    assert_eq!(held.count(), 0);
}
