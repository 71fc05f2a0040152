//! Tests of the protocol and faults of the stand-in platform.

mod support;

use serde_json::json;
use support::{get, post, send};
use toucancleat_standin::{Platform, PlatformConfig, PlatformFaults, TransactionOutcome};
use volo_http::http::Method;

async fn start_platform() -> Platform {
    Platform::start(PlatformConfig::default())
        .await
        .expect("a platform")
}

const INSERT: &str = r#"{"conditions": [{"table": "t", "row": "a", "version": null}],
    "writes": [{"table": "t", "row": "a", "value": {"n": 1}}]}"#;

#[tokio::test]
async fn transactions_apply_all_writes_or_none() {
    struct Case {
        body: &'static str,
        status: u16,
        reply: serde_json::Value,
    }
    let cases = [
        Case {
            body: INSERT,
            status: 200,
            reply: json!({"versions": [1]}),
        },
        Case {
            body: INSERT,
            status: 409,
            reply: json!({"conflicts":
                [{"table": "t", "row": "a", "version": 1, "value": {"n": 1}}]}),
        },
        Case {
            body: r#"{"conditions": [{"table": "t", "row": "b", "version": 4}],
                "writes": [{"table": "t", "row": "a", "value": null}]}"#,
            status: 409,
            reply: json!({"conflicts":
                [{"table": "t", "row": "b", "version": null, "value": null}]}),
        },
        Case {
            body: r#"{"conditions": [{"table": "t", "row": "a", "version": 1}],
                "writes": [{"table": "t", "row": "a", "value": null},
                    {"table": "t", "row": "b", "value": 5}]}"#,
            status: 200,
            reply: json!({"versions": [0, 2]}),
        },
        Case {
            body: INSERT,
            status: 200,
            reply: json!({"versions": [3]}),
        },
        Case {
            body: r#"{"writes": 3}"#,
            status: 400,
            reply: json!({"detail": "invalid type: integer `3`, expected a sequence at line 1 column 12"}),
        },
    ];
    let platform = start_platform().await;
    for case in cases {
        let reply = post(platform.address(), "/v1/table/transact", case.body)
            .await
            .expect("a reply");
        assert_eq!(reply.status, case.status, "{}", case.body);
        assert_eq!(reply.json(), case.reply, "{}", case.body);
    }
}

#[tokio::test]
async fn reads_are_ordered_and_paged() {
    let platform = start_platform().await;
    let write = r#"{"writes": [{"table": "t", "row": "k/3", "value": 3},
        {"table": "t", "row": "k/1", "value": 1}, {"table": "t", "row": "k/2", "value": 2},
        {"table": "t", "row": "l/1", "value": 9}]}"#;
    post(platform.address(), "/v1/table/transact", write)
        .await
        .expect("a reply");
    struct Case {
        path: &'static str,
        body: &'static str,
        rows: &'static [&'static str],
    }
    let cases = [
        Case {
            path: "/v1/table/get",
            body: r#"{"table": "t", "rows": ["l/1", "none"]}"#,
            rows: &["l/1"],
        },
        Case {
            path: "/v1/table/scan",
            body: r#"{"table": "t", "prefix": "k/", "limit": 2}"#,
            rows: &["k/1", "k/2"],
        },
        Case {
            path: "/v1/table/scan",
            body: r#"{"table": "t", "prefix": "k/", "after": "k/2", "limit": 2}"#,
            rows: &["k/3"],
        },
        Case {
            path: "/v1/table/scan",
            body: r#"{"table": "none", "prefix": ""}"#,
            rows: &[],
        },
    ];
    for case in cases {
        let reply = post(platform.address(), case.path, case.body)
            .await
            .expect("a reply")
            .json();
        let rows = reply["rows"].as_array().expect("rows").iter();
        let names: Vec<_> = rows
            .map(|row| row["row"].as_str().expect("a row"))
            .collect();
        assert_eq!(names, case.rows, "{}", case.body);
    }
}

#[tokio::test]
async fn faults_decide_whether_a_transaction_has_an_effect() {
    struct Case {
        name: &'static str,
        set: fn(&mut PlatformFaults),
        status: Option<u16>,
        applied: bool,
    }
    let cases = [
        Case {
            name: "no fault",
            set: |_| {},
            status: Some(200),
            applied: true,
        },
        Case {
            name: "connections closed",
            set: |faults| faults.down = true,
            status: None,
            applied: false,
        },
        Case {
            name: "rejected",
            set: |faults| faults.reject = true,
            status: Some(503),
            applied: false,
        },
        Case {
            name: "request dropped",
            set: |faults| faults.drop_requests = 1,
            status: None,
            applied: false,
        },
        Case {
            name: "reply dropped",
            set: |faults| faults.drop_replies = 1,
            status: None,
            applied: true,
        },
        Case {
            name: "reply dropped by table",
            set: |faults| faults.drop_replies_of_table = Some("t".into()),
            status: None,
            applied: true,
        },
        Case {
            name: "fault limited to another table",
            set: |faults| {
                faults.drop_replies = 1;
                faults.table = Some("other".into());
            },
            status: Some(200),
            applied: true,
        },
    ];
    for case in cases {
        let platform = start_platform().await;
        platform.set_faults(case.set);
        let reply = post(platform.address(), "/v1/table/transact", INSERT).await;
        assert_eq!(
            reply.map(|reply| reply.status),
            case.status,
            "{}",
            case.name
        );
        assert_eq!(
            platform.row("t", "a").is_some(),
            case.applied,
            "{}",
            case.name
        );
        let applied = platform
            .records()
            .transactions
            .iter()
            .any(|record| record.outcome == TransactionOutcome::Applied);
        assert_eq!(applied, case.applied, "{}", case.name);
    }
}

#[tokio::test]
async fn a_closed_connection_carries_no_byte_of_a_reply() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let platform = start_platform().await;
    platform.set_faults(|faults| faults.down = true);
    let mut stream = tokio::net::TcpStream::connect(platform.address())
        .await
        .expect("a connection");
    let request = "GET /v1/hosts HTTP/1.1\r\nhost: platform\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut received = Vec::new();
    // A reset and an orderly close both mean that no reply follows.
    let _ = stream.read_to_end(&mut received).await;
    assert!(
        received.is_empty(),
        "{}",
        String::from_utf8_lossy(&received)
    );
}

#[tokio::test]
async fn host_list_changes_become_visible_after_the_lag() {
    let lagging = PlatformConfig {
        host_list_lag_ms: 3_600_000,
        ..PlatformConfig::default()
    };
    for (config, visible_hosts) in [(PlatformConfig::default(), 1), (lagging, 0)] {
        let platform = Platform::start(config).await.expect("a platform");
        let put = support::Call {
            method: Method::PUT,
            path: "/v1/hosts/entry-1",
            headers: &[],
            body: r#"{"name": "entry-1", "state": "live"}"#,
        };
        let reply = send(platform.address(), put).await.expect("a reply");
        assert_eq!(reply.status, 200);
        let hosts = get(platform.address(), "/v1/hosts")
            .await
            .expect("hosts")
            .json();
        assert_eq!(hosts["hosts"].as_array().map(Vec::len), Some(visible_hosts));
    }
}

#[tokio::test]
async fn objects_are_stored_unchanged_and_unknown_ones_get_404() {
    let platform = start_platform().await;
    let put = support::Call {
        method: Method::PUT,
        path: "/v1/objects/answers/1",
        headers: &[],
        body: "whole",
    };
    send(platform.address(), put).await.expect("a reply");
    let stored = get(platform.address(), "/v1/objects/answers/1").await;
    assert_eq!(stored.expect("a reply").text, "whole");
    let missing = get(platform.address(), "/v1/objects/answers/2").await;
    assert_eq!(missing.expect("a reply").status, 404);
}

#[tokio::test]
async fn faults_are_set_over_http_and_unknown_ones_refused() {
    let platform = start_platform().await;
    let set = post(platform.address(), "/standin/faults", r#"{"reject": true}"#).await;
    assert_eq!(set.expect("a reply").json()["reject"], true);
    let refused = get(platform.address(), "/v1/hosts").await.expect("a reply");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.headers["retry-after"], "1");
    let unknown = post(platform.address(), "/standin/faults", r#"{"rejct": true}"#).await;
    assert_eq!(unknown.expect("a reply").status, 400);
}
