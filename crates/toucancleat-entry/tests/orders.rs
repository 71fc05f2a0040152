//! Orders from the declared state reach stand-in engines under the lease of the zone.

mod support;

use serde_json::json;
use support::client::Request;
use support::deployment::Deployment;
use support::settings::commit_edits;
use support::wait_until;
use toucancleat_core::settings::Edit;

/// Returns the edit that declares the models of an engine.
fn declare(engine: usize, version: &str) -> Edit {
    let path = format!("/pools/plan-llm/targets/plan-llm-{engine}/models");
    Edit::set(&path, json!({ "plan-llm": version }))
}

/// Returns the fencing numbers of the orders that an engine accepted, in order.
fn fencing_numbers(deployment: &Deployment, engine: usize) -> Vec<u64> {
    let records = deployment.engines[engine].records();
    records
        .orders
        .iter()
        .map(|order| order.fencing_number)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_declared_version_is_loaded_and_the_engine_serves_again() {
    let deployment = Deployment::start(2, 1).await;
    commit_edits(&deployment.client, vec![declare(0, "v2")]).await;
    wait_until("the engine has accepted an order", async || {
        !fencing_numbers(&deployment, 0).is_empty()
    })
    .await;
    assert!(fencing_numbers(&deployment, 1).is_empty());
    wait_until("the engine serves again", async || {
        let request = Request::draft("draft", "Plan", 3);
        let before = deployment.engines[0].records().generations.len();
        let result = request.stream(deployment.callers_address(0)).await;
        let whole = match result {
            Ok(mut stream) => stream.read_all().await.1,
            Err(_) => false,
        };
        whole && deployment.engines[0].records().generations.len() > before
    })
    .await;
    assert_eq!(fencing_numbers(&deployment, 0).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_leaseholder_sends_orders_with_a_higher_fencing_number() {
    let mut deployment = Deployment::start(1, 1).await;
    commit_edits(&deployment.client, vec![declare(0, "v2")]).await;
    wait_until("the first leaseholder's order is accepted", async || {
        fencing_numbers(&deployment, 0).len() == 1
    })
    .await;
    deployment.hosts[0].signal(support::process::Signal::Terminate);
    deployment.add_host("entry-9", "upp-a").await;
    commit_edits(&deployment.client, vec![declare(0, "v3")]).await;
    wait_until("the second leaseholder's order is accepted", async || {
        fencing_numbers(&deployment, 0).len() == 2
    })
    .await;
    let numbers = fencing_numbers(&deployment, 0);
    assert!(numbers[1] > numbers[0], "{numbers:?}");
}
