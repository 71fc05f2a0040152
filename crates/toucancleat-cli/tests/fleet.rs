//! The commands about entry hosts against running ones.

mod support;

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use support::{run, sample};
use toucancleat_entry::http::{Call, HttpClient};
use toucancleat_entry::platform::{ListedHost, Platform as PlatformClient};
use toucancleat_entry::{Config, EntryHost};
use toucancleat_standin::{Platform, PlatformConfig};

async fn start() -> (Platform, SocketAddr, [EntryHost; 2]) {
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
    // Other exit codes than 0 only mean here that a host is still starting.
    while member(
        &run(Some(address), &["hosts", "--json"]).await.json(),
        "revision",
    ) != [1, 1]
    {
        tokio::task::yield_now().await;
    }
    (platform, address, hosts.try_into().expect("two hosts"))
}

fn member(list: &Value, name: &str) -> Vec<Value> {
    let entries = list.as_array().expect("a list").iter();
    entries.map(|entry| entry[name].clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_at_every_host_before_wait_returns() {
    let (_platform, address, _hosts) = start().await;
    let set = ["settings", "set", "/fleet/values/priority", "3", "--wait"];
    let set = run(Some(address), &set).await.expect(0);
    assert!(set.stdout.contains("in force at 2 entry hosts"), "{set:?}");
    let hosts = run(Some(address), &["hosts", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(member(&hosts, "host"), ["entry-1", "entry-2"]);
    assert_eq!(member(&hosts, "revision"), [2, 2]);
    let table = run(Some(address), &["hosts"]).await.expect(0).stdout;
    assert!(
        table.starts_with("HOST"),
        "no colours into a pipe: {table:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_listed_but_gone_is_named() {
    let (_platform, address, _hosts) = start().await;
    let gone: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let listed = ListedHost {
        name: "entry-gone".to_owned(),
        zone: "upp-a".to_owned(),
        role: "entry".to_owned(),
        state: "live".to_owned(),
        peer_address: None,
        operator_address: Some(gone),
        address: None,
    };
    PlatformClient::new(address)
        .put_host(&listed)
        .await
        .expect("the list takes it");
    let hosts = run(Some(address), &["hosts", "--json"]).await.expect(4);
    assert!(
        hosts.stderr.contains("could not reach entry-gone"),
        "{hosts:?}"
    );
    assert_eq!(
        member(&hosts.json(), "listed_as"),
        ["entry-1", "entry-2", "entry-gone"]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_takes_a_host_out() {
    let (_platform, address, hosts) = start().await;
    run(Some(address), &["drain", "entry-9"]).await.expect(5);
    run(Some(address), &["drain", "entry-1"]).await.expect(0);
    let listed = run(Some(address), &["hosts", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(member(&listed, "draining"), [true, false]);
    assert!(!hosts[0].is_ready());
    assert!(hosts[1].is_ready());
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_are_listed_with_their_pools() {
    let (_platform, address, _hosts) = start().await;
    let targets = run(Some(address), &["targets", "--json"])
        .await
        .expect(0)
        .json();
    assert_eq!(targets.as_array().map(Vec::len), Some(16));
    assert_eq!(targets[0]["pool"], "plan-llm");
}

/// Returns the names of a host's metrics, as the text format declares them.
async fn metric_names(host: &EntryHost) -> Vec<String> {
    let call = Call {
        address: host.operators_address(),
        method: Method::GET,
        path: "/metrics",
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let reply = HttpClient::fresh()
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

/// Each metric has its place in the operators' page, so that whoever adds one tells them
/// what it means.
#[tokio::test(flavor = "multi_thread")]
async fn each_metric_is_in_the_operators_page() {
    let (_platform, _address, hosts) = start().await;
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
