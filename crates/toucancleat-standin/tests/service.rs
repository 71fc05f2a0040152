//! Tests of the records and faults of the stand-in service.

mod support;

use support::{Call, get, send};
use toucancleat_standin::{Service, ServiceConfig, ServiceFaults};
use volo_http::http::Method;

fn booking_call() -> Call<'static> {
    Call {
        method: Method::POST,
        path: "/roster/book?bus=4",
        headers: &[("idempotency-key", "k-1"), ("x-request-id", "r-1")],
        body: "seat",
    }
}

#[tokio::test]
async fn faults_decide_whether_a_request_runs_and_gets_a_reply() {
    struct Case {
        name: &'static str,
        set: fn(&mut ServiceFaults),
        status: Option<u16>,
        runs: usize,
    }
    let cases = [
        Case {
            name: "no fault",
            set: |_| {},
            status: Some(200),
            runs: 1,
        },
        Case {
            name: "connection closed before the run",
            set: |faults| faults.fail_before_run = 1,
            status: None,
            runs: 0,
        },
        Case {
            name: "connection closed after the run",
            set: |faults| faults.fail_after_run = 1,
            status: None,
            runs: 1,
        },
        Case {
            name: "error before the run",
            set: |faults| faults.error_before_run = 1,
            status: Some(500),
            runs: 0,
        },
        Case {
            name: "error after the run",
            set: |faults| faults.error_after_run = 1,
            status: Some(500),
            runs: 1,
        },
        Case {
            name: "rejected",
            set: |faults| faults.reject = true,
            status: Some(503),
            runs: 0,
        },
        Case {
            name: "slow",
            set: |faults| faults.slow_ms = 5,
            status: Some(200),
            runs: 1,
        },
        Case {
            name: "crash",
            set: |faults| faults.crash_marker = Some("sea".into()),
            status: None,
            runs: 0,
        },
    ];
    for case in cases {
        let service = Service::start(ServiceConfig::default())
            .await
            .expect("a service");
        service.set_faults(case.set);
        let reply = send(service.address(), booking_call()).await;
        assert_eq!(
            reply.map(|reply| reply.status),
            case.status,
            "{}",
            case.name
        );
        let records = service.records();
        assert_eq!(records.runs.len(), case.runs, "{}", case.name);
        assert_eq!(records.arrivals, 1, "{}", case.name);
        let by_key = records.run_counts_by_key();
        assert_eq!(
            by_key.get("k-1").copied().unwrap_or(0),
            case.runs,
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn a_repeated_key_runs_again_unless_the_service_deduplicates() {
    for (deduplicates, runs) in [(true, 1), (false, 2)] {
        let config = ServiceConfig {
            deduplicates,
            ..ServiceConfig::default()
        };
        let service = Service::start(config).await.expect("a service");
        for _ in 0..2 {
            let reply = send(service.address(), booking_call())
                .await
                .expect("a reply");
            assert_eq!(reply.json()["path"], "/roster/book?bus=4");
        }
        assert_eq!(service.records().runs.len(), runs);
    }
}

#[tokio::test]
async fn a_leaving_service_fails_its_health_check_and_records_late_arrivals() {
    let service = Service::start(ServiceConfig::default())
        .await
        .expect("a service");
    let health = get(service.address(), "/healthz").await.expect("a reply");
    assert_eq!(health.status, 200);
    service.set_faults(|faults| faults.leaving = true);
    let health = get(service.address(), "/healthz").await.expect("a reply");
    assert_eq!(health.status, 503);
    send(service.address(), booking_call())
        .await
        .expect("a reply");
    let run = &service.records().runs[0];
    assert!(run.arrived_after_leaving_ms.is_some());
}
