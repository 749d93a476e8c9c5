//! The nodes place the claims among themselves, and a replaced node takes over what it must know.

mod support;

use support::{Chain, template};
use tallybridge_config::Template;
use tallybridge_core::header;
use tallybridge_lab::standin::store::{FaultOrder, StoreOptions, StoreStandin};

fn templates() -> Vec<Template> {
    vec![
        template("[[template]]\nname = \"pay\"\nservice = \"service-0\"\nidempotent = false\n"),
        template("[[template]]\nname = \"one\"\nservice = \"service-1\"\n"),
        template("[[template]]\nname = \"two\"\nservice = \"service-2\"\n"),
    ]
}

async fn store() -> StoreStandin {
    let served = StoreStandin::serve(StoreOptions::default()).await;
    served.expect("the store starts")
}

/// Calls until the answer is whole and gives its text. Claims may have no majority for a moment
/// while their replicas change.
async fn answer(chain: &Chain, entry: usize, key: uuid::Uuid) -> String {
    loop {
        let request = chain.call(entry, 0).body("1");
        let request = request.header(header::IDEMPOTENCY_KEY, key.to_string());
        let response = request.send().await.expect("an answer");
        let is_completed = response.headers()[header::OUTCOME] == "completed";
        let text = response.text().await.expect("whole");
        if is_completed {
            return text;
        }
        assert!(!text.contains("not-run"), "{text}");
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_key_that_ran_does_not_run_again_when_each_replica_is_replaced_in_turn() {
    let store = store().await;
    let mut chain = Chain::start_with_store(3, templates(), store.address()).await;
    chain.wait_for_epoch(1).await;
    let key = uuid::Uuid::now_v7();
    let first = answer(&chain, 1, key).await;
    for (epoch, position) in [(2, 1), (3, 2), (4, 0)] {
        chain.replace(position, templates()).await;
        chain.wait_for_epoch(epoch).await;
        for entry in 0..3 {
            assert_eq!(answer(&chain, entry, key).await, first, "epoch {epoch}");
        }
        assert_eq!(chain.executions(0), 1, "epoch {epoch}");
    }
}

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_away_has_the_map_from_its_peers() {
    let store = store().await;
    let mut chain = Chain::start_with_store(3, templates(), store.address()).await;
    chain.wait_for_epoch(1).await;
    store.fault(&FaultOrder {
        outage_ms: Some(600_000),
        ..FaultOrder::default()
    });
    // The node beside the service that is called: it asks the replicas.
    chain.replace(0, templates()).await;
    let key = uuid::Uuid::now_v7();
    let first = answer(&chain, 1, key).await;
    assert_eq!(answer(&chain, 2, key).await, first);
    assert_eq!(chain.executions(0), 1);
}
