//! The settings commands against the stand-in platform.

mod support;

use std::net::SocketAddr;

use futures::future::join_all;
use serde_json::json;
use support::{CommandOutput, file, run, sample};
use toucancleat_standin::{Platform, PlatformConfig};

const STALL_WEIGHT: &str = "/fleet/values/weight_stall_time";

async fn start_platform() -> Platform {
    Platform::start(PlatformConfig::default())
        .await
        .expect("a platform")
}

async fn settings(platform: SocketAddr, arguments: &[&str]) -> CommandOutput {
    let mut all = vec!["settings"];
    all.extend(arguments);
    run(Some(platform), &all).await
}

/// Starts a platform whose settings are a sample at revision 1.
async fn start_platform_with_sample() -> (Platform, SocketAddr) {
    let platform = start_platform().await;
    let address = platform.address();
    settings(address, &["apply", &sample("ersattningstrafik.jsonc")])
        .await
        .expect(0);
    (platform, address)
}

#[tokio::test]
async fn check_reports_problems_with_line_and_column() {
    let bad = file("bad.jsonc", "{\n  // comment\n  \"zones\": [3]\n}");
    let bad = bad.display().to_string();
    let failed = run(None, &["settings", "check", &bad]).await.expect(2);
    assert!(
        failed.stderr.contains("3:13: /zones/0: invalid type"),
        "{failed:?}"
    );
    let failed = run(None, &["settings", "check", "--json", &bad])
        .await
        .expect(2);
    assert_eq!(failed.json()["problems"][0]["line"], 3);
    run(None, &["settings", "check", &sample("hakata.jsonc")])
        .await
        .expect(0);
    run(None, &["settings", "check", "no-such-file"])
        .await
        .expect(1);
    run(None, &["settings", "chek"]).await.expect(1);
}

#[tokio::test]
async fn apply_set_unset_and_undo_change_the_accepted_tree() {
    let (_platform, address) = start_platform_with_sample().await;
    let repeated_apply =
        settings(address, &["apply", &sample("ersattningstrafik.jsonc")])
            .await
            .expect(0);
    assert_eq!(repeated_apply.stdout, "nothing to change\n");

    let before = settings(address, &["get", STALL_WEIGHT])
        .await
        .expect(0)
        .json();
    settings(address, &["set", STALL_WEIGHT, "7.5", "--dry-run"])
        .await
        .expect(0);
    settings(address, &["set", STALL_WEIGHT, "7.5"])
        .await
        .expect(0);
    assert_eq!(
        settings(address, &["get", STALL_WEIGHT]).await.json(),
        json!(7.5)
    );
    let diff = settings(address, &["diff", "--from", "1", "--json"])
        .await
        .expect(0);
    assert_eq!(diff.json(), json!([{"path": STALL_WEIGHT, "value": 7.5}]));

    settings(address, &["undo"]).await.expect(0);
    assert_eq!(
        settings(address, &["get", STALL_WEIGHT]).await.json(),
        before
    );
    let log = settings(address, &["log", "--json"]).await.expect(0).json();
    let revisions: Vec<u64> = log
        .as_array()
        .expect("a list")
        .iter()
        .map(|change| change["revision"].as_u64().expect("a number"))
        .collect();
    assert_eq!(revisions, [3, 2, 1]);
    assert_eq!(log[0]["author"], "asa");

    settings(address, &["unset", STALL_WEIGHT]).await.expect(0);
    settings(address, &["get", STALL_WEIGHT]).await.expect(5);
    let undo = settings(address, &["undo", "2"]).await.expect(3);
    assert!(
        undo.stderr.contains("was changed again after revision 2"),
        "{undo:?}"
    );
}

#[tokio::test]
async fn an_invalid_change_is_not_committed() {
    let (platform, address) = start_platform_with_sample().await;
    let cases = [
        (
            vec!["set", "/fleet/values/priority", "12"],
            "expected a number from 0 to 9",
        ),
        (
            vec!["set", "/fleet/values/pool", "nowhere"],
            "expected one of `pools`",
        ),
        (
            vec!["set", "/fleet/values/timeout_s", "3"],
            "unknown field `timeout_s`",
        ),
        (
            vec!["unset", "/pools/plan-llm"],
            "expected one of `pools`, found `plan-llm`",
        ),
        (
            vec!["unset", "/fleet/values/priority"],
            "expected a value to remove, found none",
        ),
    ];
    for (arguments, expected) in cases {
        let refused = settings(address, &arguments).await.expect(2);
        assert!(
            refused.stderr.contains(expected),
            "{arguments:?}: {refused:?}"
        );
    }
    assert_eq!(
        platform.records().transactions.len(),
        1,
        "only the sample was committed"
    );
}

#[tokio::test]
async fn why_names_the_level_of_each_value() {
    let (_platform, address) = start_platform_with_sample().await;
    let scope = "closure-ostkustbanan-w50/uppland-transit/timetable-draft";
    let explained =
        settings(address, &["show", "--effective", scope, "--why", "--json"]).await;
    let explained = explained.expect(0).json();
    assert_eq!(explained["weight_stall_time"]["set_by"], "fleet");
    assert_eq!(
        explained["priority"],
        json!({
            "value": 8,
            "set_by": "live event closure-ostkustbanan-w50, organisation uppland-transit, \
                       kind timetable-draft",
            "path": "/live_events/closure-ostkustbanan-w50/organisations/uppland-transit/level/\
                     kinds/timetable-draft/priority",
        })
    );
    settings(address, &["show", "--effective", "a/b/c"])
        .await
        .expect(5);
}

/// Guards against a lost change when operators commit concurrently: each accepted commit is
/// one revision, and each rejected one names the author of the change that came first.
#[tokio::test]
async fn concurrent_commits_never_lose_an_accepted_change() {
    const OPERATORS: usize = 8;
    let (_platform, address) = start_platform_with_sample().await;
    let paths: Vec<String> = (0..OPERATORS)
        .map(|n| format!("/fleet/kinds/race-{n}/pool"))
        .collect();
    let sets = paths.iter().map(|path| async move {
        (path, settings(address, &["set", path, "plan-llm"]).await)
    });
    let mut accepted = 0;
    for (path, set) in join_all(sets).await {
        let get_code = settings(address, &["get", path]).await.code;
        match set.code {
            0 => {
                accepted += 1;
                assert_eq!(get_code, 0, "{path} was accepted: {set:?}");
            }
            3 => {
                assert_eq!(get_code, 5, "{path} was rejected: {set:?}");
                assert!(set.stderr.contains("came first, by asa"), "{set:?}");
            }
            _ => panic!("{set:?}"),
        }
    }
    let log = settings(address, &["log", "--json"]).await.expect(0).json();
    assert_eq!(log[0]["revision"], 1 + accepted);
}

#[tokio::test]
async fn a_commit_with_a_lost_reply_is_accepted_once() {
    let (platform, address) = start_platform_with_sample().await;
    platform.set_faults(|faults| faults.drop_replies = 2);
    let set = settings(address, &["set", STALL_WEIGHT, "2"])
        .await
        .expect(0);
    assert!(set.stdout.contains("revision 2 accepted"), "{set:?}");
    let log = settings(address, &["log", "--json"]).await.expect(0).json();
    assert_eq!(log[0]["revision"], 2);
}

#[tokio::test]
async fn an_unavailable_platform_is_reported_as_unreachable() {
    let (platform, address) = start_platform_with_sample().await;
    platform.set_faults(|faults| faults.down = true);
    settings(address, &["set", STALL_WEIGHT, "2"])
        .await
        .expect(4);
    run(None, &["settings", "log"]).await.expect(1);
}
