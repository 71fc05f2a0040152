//! Orders from declared state, through the lease, to stand-in engines.

mod support;

use serde_json::json;
use support::client::Ask;
use support::deployment::Deployment;
use support::settings::commit_edits;
use support::wait_until;
use toucancleat_core::settings::Edit;

/// Returns the edit that declares the models of an engine.
fn declare(engine: usize, version: &str) -> Edit {
    let path = format!("/pools/plan-llm/targets/plan-llm-{engine}/models");
    Edit::set(&path, json!({ "plan-llm": version }))
}

/// Returns the fencing numbers of the orders that an engine obeyed, in order.
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
    wait_until("the engine has obeyed an order", async || {
        !fencing_numbers(&deployment, 0).is_empty()
    })
    .await;
    assert!(fencing_numbers(&deployment, 1).is_empty());
    wait_until("the engine serves again", async || {
        let ask = Ask::draft("draft", "Plan", 3);
        let before = deployment.engines[0].records().generations.len();
        let served = ask.stream(deployment.callers(0)).await;
        let whole = match served {
            Ok(mut stream) => stream.read_all().await.1,
            Err(_) => false,
        };
        whole && deployment.engines[0].records().generations.len() > before
    })
    .await;
    assert_eq!(fencing_numbers(&deployment, 0).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_holder_orders_under_a_higher_number() {
    let mut deployment = Deployment::start(1, 1).await;
    commit_edits(&deployment.client, vec![declare(0, "v2")]).await;
    wait_until("the first holder's order", async || {
        fencing_numbers(&deployment, 0).len() == 1
    })
    .await;
    deployment.hosts[0].signal(support::process::Signal::Terminate);
    deployment.add_host("entry-9", "upp-a").await;
    commit_edits(&deployment.client, vec![declare(0, "v3")]).await;
    wait_until("the second holder's order", async || {
        fencing_numbers(&deployment, 0).len() == 2
    })
    .await;
    let numbers = fencing_numbers(&deployment, 0);
    assert!(numbers[1] > numbers[0], "{numbers:?}");
}
