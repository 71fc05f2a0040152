//! Tests of the protocol, faults and records of the stand-in engine.

mod support;

use support::{Call, generate, get, post, send};
use toucancleat_standin::model::ModelConfig;
use toucancleat_standin::{
    Engine, EngineConfig, EngineFaults, GenerationState, InvalidEvent, InvalidEventKind,
    StreamCut, fingerprint,
};
use volo_http::http::Method;

const ID: &str = "0123456789abcdef0123456789abcdef";
const BODY: &str = r#"{"prompt": "plan", "stream": true, "standin_output_tokens": 6}"#;

fn fast_config() -> EngineConfig {
    EngineConfig {
        time_scale: 10.0,
        ..EngineConfig::default()
    }
}

async fn start_engine() -> Engine {
    Engine::start(fast_config()).await.expect("an engine")
}

async fn reported_state(engine: &Engine) -> String {
    let load = get(engine.address(), "/v1/load").await.expect("a load");
    load.json()["state"].as_str().expect("a state").to_owned()
}

fn expected_ids(indices: impl Iterator<Item = u32>) -> Vec<String> {
    indices.map(|index| format!("{ID}:{index}")).collect()
}

#[tokio::test]
async fn a_generation_streams_each_token_once_in_order() {
    let engine = start_engine().await;
    let reply = generate(engine.address(), ID, BODY).await.expect("a reply");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.event_ids(), expected_ids(0..6));
    assert!(reply.text.ends_with("data: [DONE]\n\n"), "{}", reply.text);
    assert_eq!(reply.text.matches(r#""finish_reason":"stop""#).count(), 1);
    let records = engine.records();
    let record = &records.generations[0];
    assert_eq!(record.generation_id, ID);
    assert_eq!(record.body_fingerprint, fingerprint(BODY.as_bytes()));
    assert_eq!(record.prompt_fingerprint, fingerprint(b"plan"));
    assert_eq!(record.priority, 7);
    assert_eq!(record.produced_tokens, 6);
    assert_eq!(record.state, GenerationState::Finished);
}

#[tokio::test]
async fn a_stream_resumes_at_the_requested_index_and_unknown_generations_get_404() {
    let engine = start_engine().await;
    generate(engine.address(), ID, BODY).await.expect("a reply");
    struct Case {
        method: Method,
        path: String,
        status: u16,
        ids: Vec<String>,
    }
    let cases = [
        Case {
            method: Method::GET,
            path: format!("/v1/generations/{ID}/stream?from=4"),
            status: 200,
            ids: expected_ids(4..6),
        },
        Case {
            method: Method::GET,
            path: "/v1/generations/00/stream?from=0".into(),
            status: 404,
            ids: vec![],
        },
        Case {
            method: Method::DELETE,
            path: format!("/v1/generations/{ID}"),
            status: 200,
            ids: vec![],
        },
        Case {
            method: Method::DELETE,
            path: "/v1/generations/00".into(),
            status: 404,
            ids: vec![],
        },
    ];
    for case in cases {
        let call = Call {
            method: case.method,
            path: &case.path,
            headers: &[],
            body: "",
        };
        let reply = send(engine.address(), call).await.expect("a reply");
        assert_eq!(reply.status, case.status, "{}", case.path);
        assert_eq!(reply.event_ids(), case.ids, "{}", case.path);
    }
    assert_eq!(engine.records().generations[0].resumes, 1);
}

#[tokio::test]
async fn cancelling_a_generation_interrupts_its_stream() {
    let engine = start_engine().await;
    engine.set_faults(|faults| faults.freeze_steps = true);
    let address = engine.address();
    let stream = tokio::spawn(async move { generate(address, ID, BODY).await });
    while engine.records().generations.is_empty() {
        tokio::task::yield_now().await;
    }
    let cancel = Call {
        method: Method::DELETE,
        path: &format!("/v1/generations/{ID}"),
        headers: &[],
        body: "",
    };
    assert_eq!(send(address, cancel).await.expect("a reply").status, 200);
    let reply = stream.await.expect("joined");
    assert!(reply.is_none_or(|reply| !reply.is_complete));
    let record = &engine.records().generations[0];
    assert_eq!(record.state, GenerationState::Cancelled);
    assert_eq!(record.produced_tokens, 0);
}

#[tokio::test]
async fn stream_faults_take_effect_at_the_configured_token() {
    struct Case {
        name: &'static str,
        set: fn(&mut EngineFaults),
        is_complete: bool,
        ids: Vec<String>,
        engine_crashes: bool,
    }
    let reversed_id: String = ID.chars().rev().collect();
    let mut wrong_generation_ids = expected_ids(0..6);
    wrong_generation_ids[2] = format!("{reversed_id}:2");
    let mut skipped_index_ids = expected_ids(0..6);
    skipped_index_ids[2] = format!("{ID}:3");
    let mut repeated_index_ids = expected_ids(0..6);
    repeated_index_ids[2] = format!("{ID}:1");
    let mut bad_event_ids = expected_ids(0..6);
    bad_event_ids[2] = "??".into();
    macro_rules! invalid_event {
        ($kind:ident) => {
            |faults| {
                faults.nonsense = Some(InvalidEvent {
                    kind: InvalidEventKind::$kind,
                    token: 2,
                    times: 1,
                })
            }
        };
    }
    let cases = [
        Case {
            name: "crash before the first token",
            set: |faults| faults.die_at_token = Some(0),
            is_complete: false,
            ids: vec![],
            engine_crashes: true,
        },
        Case {
            name: "crash after a token",
            set: |faults| faults.die_at_token = Some(3),
            is_complete: false,
            ids: expected_ids(0..3),
            engine_crashes: true,
        },
        Case {
            name: "cut connection",
            set: |faults| faults.cut = Some(StreamCut { token: 2, times: 1 }),
            is_complete: false,
            ids: expected_ids(0..2),
            engine_crashes: false,
        },
        Case {
            name: "bad event",
            set: invalid_event!(BadEvent),
            is_complete: true,
            ids: bad_event_ids,
            engine_crashes: false,
        },
        Case {
            name: "wrong generation",
            set: invalid_event!(WrongGeneration),
            is_complete: true,
            ids: wrong_generation_ids,
            engine_crashes: false,
        },
        Case {
            name: "skipped index",
            set: invalid_event!(SkippedIndex),
            is_complete: true,
            ids: skipped_index_ids,
            engine_crashes: false,
        },
        Case {
            name: "repeated index",
            set: invalid_event!(RepeatedIndex),
            is_complete: true,
            ids: repeated_index_ids,
            engine_crashes: false,
        },
    ];
    for case in cases {
        let engine = start_engine().await;
        engine.set_faults(case.set);
        let reply = generate(engine.address(), ID, BODY).await;
        let (ids, is_complete) = match &reply {
            Some(reply) => (reply.event_ids(), reply.is_complete),
            None => (vec![], false),
        };
        assert_eq!(ids, case.ids, "{}", case.name);
        assert_eq!(is_complete, case.is_complete, "{}", case.name);
        if case.engine_crashes {
            engine.wait_until_stopped().await;
        }
        let record = &engine.records().generations[0];
        assert!(
            record.produced_tokens as usize >= ids.len(),
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn a_prompt_with_the_crash_marker_crashes_the_engine() {
    let engine = start_engine().await;
    engine.set_faults(|faults| faults.crash_marker = Some("poison".into()));
    let first = generate(engine.address(), ID, BODY).await.expect("a reply");
    assert!(first.is_complete);
    let other = "00000000000000000000000000000001";
    let reply = generate(engine.address(), other, r#"{"prompt": "a poison b"}"#).await;
    assert!(reply.is_none_or(|reply| !reply.is_complete));
    engine.wait_until_stopped().await;
    assert_eq!(engine.records().generations.len(), 2);
}

#[tokio::test]
async fn a_rejected_request_gets_the_not_run_verdict_and_is_not_recorded() {
    let engine = start_engine().await;
    engine.set_faults(|faults| faults.reject = true);
    let reply = generate(engine.address(), ID, BODY).await.expect("a reply");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.headers["x-verdict"], "NotRun");
    assert_eq!(reply.headers["retry-after"], "1");
    assert!(engine.records().generations.is_empty());
}

#[tokio::test]
async fn requests_are_recorded_with_their_delay_after_the_engine_began_to_leave() {
    let engine = start_engine().await;
    generate(engine.address(), ID, BODY).await.expect("a reply");
    engine.set_faults(|faults| faults.leaving = true);
    // Load reports are delayed, so the first ones still report that the engine is
    // serving.
    while reported_state(&engine).await != "leaving" {}
    let late_id = "00000000000000000000000000000002";
    generate(engine.address(), late_id, BODY)
        .await
        .expect("a reply");
    let records = engine.records().generations;
    assert_eq!(records[0].arrived_after_leaving_ms, None);
    assert!(records[1].arrived_after_leaving_ms.is_some());
}

#[tokio::test]
async fn stale_orders_are_refused_only_if_the_engine_checks_fencing() {
    for checks_fencing in [true, false] {
        let config = EngineConfig {
            checks_fencing,
            ..fast_config()
        };
        let engine = Engine::start(config).await.expect("an engine");
        let order = |number: u32, version: &str| {
            format!(
                r#"{{"order": "load_model", "name": "m", "version": "{version}",
                    "fencing_number": {number}, "order_id": "o-{number}"}}"#
            )
        };
        let new = post(engine.address(), "/v1/orders", &order(14, "b")).await;
        assert_eq!(new.expect("a reply").status, 200);
        let old = post(engine.address(), "/v1/orders", &order(12, "a"))
            .await
            .expect("a reply");
        let state = get(engine.address(), "/v1/orders/state")
            .await
            .expect("a state")
            .json();
        if checks_fencing {
            assert_eq!(old.status, 409);
            assert_eq!(old.json()["fencing_number"], 14);
            assert_eq!(state["models"]["m"], "b");
        } else {
            assert_eq!(old.status, 200);
            assert_eq!(state["models"]["m"], "a");
        }
        assert_eq!(state["fencing_number"], 14);
        let accepted: Vec<_> =
            engine.records().orders.iter().map(|o| o.accepted).collect();
        assert_eq!(accepted, [true, !checks_fencing]);
    }
}

#[tokio::test]
async fn a_leaving_engine_crashes_when_its_notice_has_passed() {
    let engine = start_engine().await;
    engine.set_faults(|faults| {
        faults.leaving = true;
        faults.dies_after_leaving_ms = Some(1);
    });
    engine.wait_until_stopped().await;
    assert!(generate(engine.address(), ID, BODY).await.is_none());
    assert!(engine.records().leaving_unix_ms.is_some());
}

#[tokio::test]
async fn a_generation_without_readers_is_orphaned_and_releases_its_blocks() {
    let config = EngineConfig {
        orphan_timeout_ms: 1,
        ..fast_config()
    };
    let engine = Engine::start(config).await.expect("an engine");
    engine.set_faults(|faults| faults.cut = Some(StreamCut { token: 2, times: 1 }));
    let long = r#"{"prompt": "plan", "standin_output_tokens": 20000}"#;
    let reply = generate(engine.address(), ID, long).await;
    assert!(reply.is_none_or(|reply| !reply.is_complete));
    loop {
        let record = &engine.records().generations[0];
        if record.state == GenerationState::Orphaned {
            break;
        }
        tokio::task::yield_now().await;
    }
    let other = "00000000000000000000000000000003";
    let reply = generate(engine.address(), other, BODY)
        .await
        .expect("a reply");
    assert!(reply.is_complete);
}

#[tokio::test]
async fn a_request_to_a_full_queue_is_refused_as_not_run() {
    let config = EngineConfig {
        max_waiting: Some(0),
        ..fast_config()
    };
    let engine = Engine::start(config).await.expect("an engine");
    let reply = generate(engine.address(), ID, BODY).await.expect("a reply");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.headers["x-verdict"], "NotRun");
    assert_eq!(engine.records().refused, 1);
}

#[tokio::test]
async fn cache_events_are_delayed_and_lost_as_configured() {
    struct Case {
        name: &'static str,
        lag_ms: f64,
        loss_per_1000: u32,
        is_expected_count: fn(usize) -> bool,
    }
    let cases = [
        Case {
            name: "neither delayed nor lost",
            lag_ms: 0.0,
            loss_per_1000: 0,
            is_expected_count: |events| events == 20,
        },
        Case {
            name: "half are lost",
            lag_ms: 0.0,
            loss_per_1000: 500,
            is_expected_count: |events| 0 < events && events < 20,
        },
        Case {
            name: "not yet visible",
            lag_ms: 36_000_000.0,
            loss_per_1000: 0,
            is_expected_count: |events| events == 0,
        },
    ];
    for case in cases {
        let config = EngineConfig {
            cache_event_lag_ms: case.lag_ms,
            cache_event_loss_per_1000: case.loss_per_1000,
            ..fast_config()
        };
        let engine = Engine::start(config).await.expect("an engine");
        // 20 full blocks of 16 tokens of 4 bytes each.
        let prompt = "x".repeat(20 * 64);
        let body = format!(r#"{{"prompt": "{prompt}", "standin_output_tokens": 2}}"#);
        generate(engine.address(), ID, &body)
            .await
            .expect("a reply");
        let path = "/v1/cache/events?after=0";
        let reply = get(engine.address(), path).await.expect("a reply").json();
        let events = reply["events"].as_array().expect("events");
        assert!(
            (case.is_expected_count)(events.len()),
            "{}: {reply}",
            case.name
        );
        if let Some(last) = events.last() {
            assert_eq!(last["kind"], "stored");
            assert_eq!(
                reply["next"],
                last["sequence"].as_u64().expect("a number") + 1
            );
        }
    }
}

#[tokio::test]
async fn preempted_generations_still_stream_each_token_once() {
    let config = EngineConfig {
        model: ModelConfig {
            blocks_total: 12,
            spare_blocks: 1,
            ..ModelConfig::default()
        },
        ..fast_config()
    };
    let engine = Engine::start(config).await.expect("an engine");
    let address = engine.address();
    let body = r#"{"prompt": "plan", "standin_output_tokens": 100}"#;
    let streams = (0..4).map(|index| async move {
        let id = format!("{index:032x}");
        let reply = generate(address, &id, body).await.expect("a reply");
        let expected: Vec<_> = (0..100).map(|token| format!("{id}:{token}")).collect();
        assert_eq!(reply.event_ids(), expected);
    });
    futures::future::join_all(streams).await;
    let records = engine.records();
    assert!(records.preemptions_total > 0);
    let recorded: u32 = records.generations.iter().map(|g| g.preemptions).sum();
    assert_eq!(u64::from(recorded), records.preemptions_total);
}

#[tokio::test]
async fn a_frozen_engine_stops_at_the_configured_token_and_continues_when_cleared() {
    let engine = start_engine().await;
    engine.set_faults(|faults| faults.freeze_at_token = Some(3));
    let address = engine.address();
    let stream = tokio::spawn(async move { generate(address, ID, BODY).await });
    while engine
        .records()
        .generations
        .first()
        .is_none_or(|record| record.produced_tokens < 3)
    {
        tokio::task::yield_now().await;
    }
    // The stepper runs between these requests on the engine's thread, and must not
    // produce another token.
    for _ in 0..20 {
        get(address, "/v1/load").await.expect("a load");
    }
    assert_eq!(engine.records().generations[0].produced_tokens, 3);
    engine.set_faults(|faults| faults.freeze_at_token = None);
    let reply = stream.await.expect("joined").expect("a reply");
    assert_eq!(reply.event_ids(), expected_ids(0..6));
    engine.kill().await;
    assert_eq!(engine.records().generations.len(), 1);
}
