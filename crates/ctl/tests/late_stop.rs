//! Relays that do not run for a part of the time in which they stop.

#![allow(clippy::unwrap_used, missing_docs)]

mod relays;

use ctl::fleet::Signal;
use platform::name;
use relays::{Bench, KEY, TIMEOUT, run};
use serde_json::json;
use std::time::Duration;
use stub::config::{self, HOST, PLAIN};
use stub::server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Grace period of the relay.
const GRACE: Duration = Duration::from_secs(6);
/// When the relay is paused after the signal to stop, and for how long: connections should be closed meanwhile.
const PAUSE_AFTER: Duration = Duration::from_millis(2_300);
const PAUSE: Duration = Duration::from_millis(1_500);

/// Guards against a process whose stop takes longer by each pause, so that the platform kills it with requests in
/// progress, which nobody is told of.
#[test]
fn paused_stop() {
    run(async {
        let mut bench = Bench::start("late_stop").await;
        let mut configuration = config::configuration(1, &[KEY.to_owned()]);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(TIMEOUT.as_millis() as u64);
        }
        bench.store.configure(&configuration);
        let (listener, runner) = server::listen().await.unwrap();
        server::spawn(listener, |_| std::future::pending());
        bench.list("silent-0", PLAIN, runner);
        let address = bench.relay("relay-1", 1.0, GRACE.as_secs_f64()).await;
        let mut client = TcpStream::connect(address).await.unwrap();
        let (id, key, deadline) = (name::ATTEMPT_ID, name::API_KEY, name::DEADLINE);
        let milliseconds = TIMEOUT.as_millis();
        let text = format!(
            "POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{id}: slow\r\n{key}: {KEY}\r\n\
             {deadline}: {milliseconds}\r\nContent-Length: 0\r\n\r\n"
        );
        client.write_all(text.as_bytes()).await.unwrap();
        let asked_at = Instant::now();
        bench.fleet.signal("relay-1", Signal::Terminate).unwrap();
        sleep(PAUSE_AFTER).await;
        bench.fleet.signal("relay-1", Signal::Stop).unwrap();
        sleep(PAUSE).await;
        bench.fleet.signal("relay-1", Signal::Continue).unwrap();
        let mut bytes = Vec::new();
        // The connection is cut, with or without a reset.
        let _ = timeout(TIMEOUT, client.read_to_end(&mut bytes))
            .await
            .unwrap();
        let cut_after = asked_at.elapsed();
        let status = bench.exit("relay-1").await;
        assert!(status.success(), "{status}");
        assert!(
            cut_after > GRACE / 2,
            "{cut_after:?}, the runner was still at work"
        );
        assert!(
            asked_at.elapsed() < GRACE,
            "cut {cut_after:?}, exit {:?}",
            asked_at.elapsed()
        );
    });
}
