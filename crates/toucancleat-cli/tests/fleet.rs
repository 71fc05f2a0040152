//! Tests the commands about entry hosts and targets against running hosts.

mod support;

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use support::{run, sample};
use toucancleat_entry::http::{HttpCall, HttpClient};
use toucancleat_entry::platform::{ListedHost, PlatformClient};
use toucancleat_entry::{Config, EntryHost};
use toucancleat_standin::{Platform, PlatformConfig};

async fn start_fleet() -> (Platform, SocketAddr, [EntryHost; 2]) {
    let platform = Platform::start(PlatformConfig::default())
        .await
        .expect("a platform");
    let address = platform.address();
    let arguments = ["settings", "apply", &sample("ersattningstrafik.jsonc")];
    run(Some(address), &arguments).await.expect(0);
    let mut hosts = Vec::new();
    for (name, zone) in [("entry-1", "upp-a"), ("entry-2", "upp-b")] {
        let config = Config::loopback(name, zone, address);
        hosts.push(EntryHost::start(config).await.expect("an entry host"));
    }
    // An exit code other than 0 only means here that a host is still starting.
    while field_of_each(
        &run(Some(address), &["hosts", "--json"]).await.json(),
        "revision",
    ) != [1, 1]
    {
        tokio::task::yield_now().await;
    }
    (platform, address, hosts.try_into().expect("two hosts"))
}

fn field_of_each(list: &Value, name: &str) -> Vec<Value> {
    let entries = list.as_array().expect("a list").iter();
    entries.map(|entry| entry[name].clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_returns_only_when_the_change_is_in_force_at_every_host() {
    let (_platform, address, _hosts) = start_fleet().await;
    let set = ["settings", "set", "/fleet/values/priority", "3", "--wait"];
    let set = run(Some(address), &set).await.expect(0);
    assert!(set.stdout.contains("in force at 2 entry hosts"), "{set:?}");
    let hosts = run(Some(address), &["hosts", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(field_of_each(&hosts, "host"), ["entry-1", "entry-2"]);
    assert_eq!(field_of_each(&hosts, "revision"), [2, 2]);
    let table = run(Some(address), &["hosts"]).await.expect(0).stdout;
    assert!(
        table.starts_with("HOST"),
        "no colours into a pipe: {table:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_host_that_is_unreachable_is_named() {
    let (_platform, address, _hosts) = start_fleet().await;
    let unreachable: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let listed = ListedHost {
        name: "entry-gone".to_owned(),
        zone: "upp-a".to_owned(),
        role: "entry".to_owned(),
        state: "live".to_owned(),
        peer_address: None,
        operator_address: Some(unreachable),
        address: None,
    };
    PlatformClient::new(address)
        .put_host(&listed)
        .await
        .expect("the platform lists the host");
    let hosts = run(Some(address), &["hosts", "--json"]).await.expect(4);
    assert!(
        hosts.stderr.contains("could not reach entry-gone"),
        "{hosts:?}"
    );
    assert_eq!(
        field_of_each(&hosts.json(), "listed_as"),
        ["entry-1", "entry-2", "entry-gone"]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_host_is_not_ready_and_the_other_is() {
    let (_platform, address, hosts) = start_fleet().await;
    run(Some(address), &["drain", "entry-9"]).await.expect(5);
    run(Some(address), &["drain", "entry-1"]).await.expect(0);
    let listed = run(Some(address), &["hosts", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(field_of_each(&listed, "draining"), [true, false]);
    assert!(!hosts[0].is_ready());
    assert!(hosts[1].is_ready());
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_of_the_settings_are_listed_with_their_pools() {
    let (_platform, address, _hosts) = start_fleet().await;
    let targets = run(Some(address), &["targets", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(targets.as_array().map(Vec::len), Some(16));
    assert_eq!(targets[0]["pool"], "plan-llm");
}

/// Returns the names of a host's metrics from the `TYPE` lines of the text format.
async fn metric_names(host: &EntryHost) -> Vec<String> {
    let call = HttpCall {
        address: host.operators_address(),
        method: Method::GET,
        path: "/metrics",
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let reply = HttpClient::unpooled()
        .exchange(call, 10_000, usize::MAX)
        .await
        .expect("a reply");
    let text = String::from_utf8(reply.into_body().to_vec()).expect("text");
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    names
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect()
}

/// Guards against a metric whose meaning isn't documented for operators.
#[tokio::test(flavor = "multi_thread")]
async fn each_metric_is_documented_for_operators() {
    let (_platform, _address, hosts) = start_fleet().await;
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATING.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let names = metric_names(&hosts[0]).await;
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        assert!(
            page.contains(&format!("`{name}")),
            "{name} isn't in docs/OPERATING.md"
        );
    }
}
