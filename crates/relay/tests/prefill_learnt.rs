//! The reading speed of model runners, learnt from the responses that they begin.

mod common;

use common::{Fake, body, request, with_policies};
use decide::route::prefill::PrefillSpeed;
use relay::request::Prompt;
use setting::Policy;
use setting::relay::Policies;
use std::time::Duration;

const TOKENS: u32 = 9_000;

/// The learnt time to the first event after a hundred streams that began after 15 ms each. Each client has made a
/// first attempt `waited` before its request, and counts as retrying.
async fn learnt(prefill: Policy, waited: Duration) -> Duration {
    let fake = Fake::default();
    *fake.streams.lock().expect("free") = true;
    let policy = Policies {
        prefill,
        ..Policies::default()
    };
    let relay = with_policies(fake, policy);
    for number in 0..100 {
        relay.waited_before("stream", Duration::from_secs(4) + waited);
        let mut request = request(&format!("r{number}"), "stream");
        request.prompt = Some(Prompt {
            input: TOKENS,
            ..Prompt::default()
        });
        assert_eq!(body(relay.serve(request).await).await.0, 200);
    }
    relay.prefill_speed(&"plain".into()).first_event(TOKENS)
}

/// Guards against responses that are not learnt from, against a policy that does not switch the learning off,
/// and against an estimate that is too low because runners have the prompts of repeated requests cached.
#[tokio::test(start_paused = true)]
async fn first_attempts_learnt() {
    let assumed = PrefillSpeed::default().first_event(TOKENS);
    let shipped = learnt(Policy::Shipped, Duration::ZERO).await;
    assert!(shipped < Duration::from_millis(50), "{shipped:?}");
    assert_eq!(learnt(Policy::Naive, Duration::ZERO).await, assumed);
    let retried = learnt(Policy::Shipped, Duration::from_secs(4)).await;
    assert_eq!(retried, assumed);
}
