//! Tests the timeline of running entry hosts.

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use serde_json::Value;
use support::{file, run};
use toucancleat_core::settings::api_key_sha256;
use toucancleat_entry::http::{HttpCall, HttpClient};
use toucancleat_entry::platform::{ListedHost, PlatformClient};
use toucancleat_entry::{Config, EntryHost};
use toucancleat_standin::{
    Engine, EngineConfig, Platform, PlatformConfig, Service, ServiceConfig,
};
use volo_http::body::Body;
use volo_http::client::sse::SseReader;

/// Maximum number of polls of the timeline for a record.
const POLLS_MAX: usize = 400;

/// Two entry hosts with one engine and one service.
struct Fleet {
    platform: Platform,
    engine: Option<Engine>,
    _service: Service,
    hosts: [EntryHost; 2],
}

impl Fleet {
    async fn start() -> Fleet {
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("a platform");
        let engine = Engine::start(EngineConfig::default())
            .await
            .expect("an engine");
        let service = Service::start(ServiceConfig::default())
            .await
            .expect("a service");
        let settings = file(
            &format!("timeline-{}.jsonc", platform.address().port()),
            &format!(
                r#"{{"zones": ["a"], "pools": {{"llm": {{"class": "model_engine", "targets": {{
                "llm-1": {{"zone": "a", "address": "{}", "memory_tokens": 65536, "max_batch": 8}}
                }}}}, "books": {{"class": "service", "targets": {{
                "books-1": {{"zone": "a", "address": "{}"}}}}}}}},
                "fleet": {{"kinds": {{"check": {{"pool": "llm"}},
                "booking": {{"pool": "books", "idempotent": false}}}}}},
                "live_events": {{"e": {{"starts_at_unix_ms": 1, "ends_at_unix_ms": 9000000000000,
                "organisations": {{"sl": {{"api_key_sha256": ["{}"]}}}}}}}}}}"#,
                engine.address(),
                service.address(),
                api_key_sha256("key"),
            ),
        );
        let apply = ["settings", "apply", &settings.display().to_string()];
        run(Some(platform.address()), &apply).await.expect(0);
        let [one, two] = [("entry-1", "a"), ("entry-2", "a")].map(|(name, zone)| {
            EntryHost::start(Config::loopback(name, zone, platform.address()))
        });
        let hosts = [one.await.expect("a host"), two.await.expect("a host")];
        let fleet = Fleet {
            platform,
            engine: Some(engine),
            _service: service,
            hosts,
        };
        fleet.wait_listed_and_ready().await;
        fleet
    }

    async fn wait_listed_and_ready(&self) {
        let list = PlatformClient::new(self.platform.address());
        while list.list_hosts().await.map_or(0, |hosts| hosts.len()) < 2
            || !self.hosts.iter().all(EntryHost::is_ready)
        {
            tokio::task::yield_now().await;
        }
    }

    fn platform(&self) -> Option<SocketAddr> {
        Some(self.platform.address())
    }

    async fn complete_request(&self, host: usize) {
        let body = r#"{"prompt": "stop 4", "standin_output_tokens": 3}"#;
        let call = self.call(host, body, None);
        let reply = HttpClient::unpooled()
            .exchange(call, 30_000, usize::MAX)
            .await;
        let reply = reply.expect("a reply");
        assert_eq!(reply.status(), StatusCode::OK, "{reply:?}");
    }

    /// Sends a booking under a fixed idempotency key and returns the request id.
    async fn send_booking(&self, host: usize) -> String {
        let mut call = self.call(host, "{}", None);
        call.path = "/services/booking/coaches";
        let key = HeaderName::from_static("idempotency-key");
        call.headers.push((key, HeaderValue::from_static("one")));
        let reply = HttpClient::unpooled()
            .exchange(call, 30_000, usize::MAX)
            .await;
        let reply = reply.expect("a reply");
        let request = reply.headers()["x-request-id"].to_str().expect("text");
        request.to_owned()
    }

    /// Opens a stream, or resumes one from a cursor; returns it with the request id.
    async fn open_stream(
        &self,
        host: usize,
        cursor: Option<&str>,
    ) -> (SseReader<Body>, String) {
        let body = r#"{"prompt": "plan", "stream": true, "standin_output_tokens": 5000}"#;
        let call = self.call(host, body, cursor);
        let response = HttpClient::unpooled().send(call).await.expect("a reply");
        assert_eq!(response.status(), StatusCode::OK);
        let request = response.headers()["x-request-id"]
            .to_str()
            .expect("text")
            .to_owned();
        (SseReader::into_sse(response).expect("a stream"), request)
    }

    fn call(
        &self,
        host: usize,
        body: &'static str,
        cursor: Option<&str>,
    ) -> HttpCall<'static> {
        let header = HeaderValue::from_static;
        let mut headers = vec![
            (AUTHORIZATION, header("Bearer key")),
            (HeaderName::from_static("x-request-kind"), header("check")),
        ];
        if let Some(cursor) = cursor {
            let value = HeaderValue::from_str(cursor).expect("a cursor is a header");
            headers.push((HeaderName::from_static("last-event-id"), value));
        }
        HttpCall {
            address: self.hosts[host].callers_address(),
            method: Method::POST,
            path: "/v1/completions",
            headers,
            body: Bytes::from_static(body.as_bytes()),
        }
    }

    /// Reads the records of a kind until each host has at least one: the answer may reach the
    /// caller before its end is recorded.
    async fn records_of_both(&self, kind: &str) -> Vec<Value> {
        for _ in 0..POLLS_MAX {
            let run = run(self.platform(), &["timeline", "--kind", kind, "--json"]).await;
            let lines = run.expect(0).stdout;
            let records = lines
                .lines()
                .map(|line| serde_json::from_str(line).expect("JSON"));
            let records: Vec<Value> = records.collect();
            let has = |host: &str| records.iter().any(|record| record["host"] == host);
            if has("entry-1") && has("entry-2") {
                return records;
            }
        }
        panic!("expected {kind} records of both hosts");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_finished_request_is_listed_explained_and_drawn() {
    let fleet = Fleet::start().await;
    for host in 0..2 {
        fleet.complete_request(host).await;
    }
    let finished = fleet.records_of_both("request_finished").await;
    assert!(
        finished
            .iter()
            .all(|record| record["kind"] == "request_finished")
    );
    let request = finished[0]["request"].as_str().expect("an id").to_owned();

    let explained = run(fleet.platform(), &["explain", &request])
        .await
        .expect(0)
        .stdout;
    let kinds = ["request_admitted", "request_dispatched", "request_finished"];
    let positions = kinds.map(|kind| explained.find(kind));
    assert!(
        positions.is_sorted() && positions[0].is_some(),
        "{explained}"
    );
    assert!(explained.contains("of sl"), "{explained}");

    let svg = file("timeline.svg", "");
    let svg_name = svg.display().to_string();
    let draw = ["timeline", "--request", &request, "--svg", &svg_name];
    run(fleet.platform(), &draw).await.expect(0);
    let picture = std::fs::read_to_string(&svg).expect("a picture");
    assert_eq!(
        picture.matches("<circle").count(),
        explained.lines().count() - 1
    );
    assert!(picture.contains("request_dispatched llm-1"), "{picture}");
}

async fn next_cursor(stream: &mut SseReader<Body>) -> String {
    let event = stream.read().await.expect("an event").expect("a token");
    event.id().expect("a cursor").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumed_at_another_host_and_interrupted_is_drawn_whole() {
    let mut fleet = Fleet::start().await;
    let (mut stream, request) = fleet.open_stream(0, None).await;
    let cursor = next_cursor(&mut stream).await;
    drop(stream);
    let (mut stream, resuming_request) = fleet.open_stream(1, Some(&cursor)).await;
    next_cursor(&mut stream).await;
    fleet.engine = None;
    while let Ok(Some(_)) = stream.read().await {}

    // The end of the stream may reach the caller before the host has recorded it.
    let mut explained = String::new();
    for _ in 0..POLLS_MAX {
        explained = run(fleet.platform(), &["explain", &request])
            .await
            .expect(0)
            .stdout;
        if explained.contains("attempt_failed") {
            break;
        }
    }
    for expected in [
        "entry-1",
        "entry-2",
        "request_dispatched",
        "stream_resumed",
        "attempt_failed",
    ] {
        assert!(explained.contains(expected), "{expected}: {explained}");
    }
    let svg = file("crossed.svg", "").display().to_string();
    for id in [request, resuming_request] {
        run(
            fleet.platform(),
            &["timeline", "--request", &id, "--svg", &svg],
        )
        .await
        .expect(0);
        let picture = std::fs::read_to_string(&svg).expect("a picture");
        assert_eq!(
            picture.matches("font-weight=\"bold\"").count(),
            2,
            "two lanes: {picture}"
        );
        assert_eq!(
            picture.matches("<circle").count(),
            explained.lines().count() - 1
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_booking_is_explained_without_a_dispatch() {
    let fleet = Fleet::start().await;
    let first = fleet.send_booking(0).await;
    let explained = run(fleet.platform(), &["explain", &first])
        .await
        .expect(0)
        .stdout;
    assert!(explained.contains("claim_made"), "{explained}");
    let repeated = fleet.send_booking(1).await;
    let explained = run(fleet.platform(), &["explain", &repeated])
        .await
        .expect(0)
        .stdout;
    // The repetition may arrive before the first answer is stored; it doesn't run either way.
    let not_run_kinds = ["answer_replayed", "claim_refused"];
    assert!(
        not_run_kinds.iter().any(|kind| explained.contains(kind)),
        "{explained}"
    );
    assert!(!explained.contains("request_dispatched"), "{explained}");
}

#[tokio::test(flavor = "multi_thread")]
async fn filters_apply_and_unreachable_hosts_are_reported() {
    let fleet = Fleet::start().await;
    for host in 0..2 {
        fleet.complete_request(host).await;
    }
    fleet.records_of_both("request_finished").await;
    let lines = |arguments: &'static [&'static str]| async {
        run(fleet.platform(), arguments)
            .await
            .expect(0)
            .stdout
            .lines()
            .count()
    };
    assert_eq!(lines(&["timeline", "--organisation", "nobody"]).await, 0);
    assert_eq!(
        lines(&[
            "timeline",
            "--target",
            "llm-1",
            "--kind",
            "request_dispatched"
        ])
        .await,
        2
    );

    let unknown = ["explain", "00000000000000000000000000000000"];
    run(fleet.platform(), &unknown).await.expect(5);
    run(fleet.platform(), &["timeline", "--kind", "tea_time"])
        .await
        .expect(1);

    let unreachable = ListedHost {
        name: "entry-gone".to_owned(),
        zone: "a".to_owned(),
        role: "entry".to_owned(),
        state: "live".to_owned(),
        peer_address: None,
        operator_address: Some("127.0.0.1:9".parse().expect("an address")),
        address: None,
    };
    let list = PlatformClient::new(fleet.platform.address());
    list.put_host(&unreachable)
        .await
        .expect("the platform lists the host");
    let shown = run(
        fleet.platform(),
        &["timeline", "--kind", "request_finished"],
    )
    .await
    .expect(4);
    assert_eq!(shown.stdout.lines().count(), 2);
    assert!(
        shown.stderr.contains("could not reach entry-gone"),
        "{shown:?}"
    );
}
