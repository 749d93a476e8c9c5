//! Tests the clients against stand-ins of the store and the machine list.

use std::time::Duration;

use tallybridge_lab::standin::{
    machine_list::{self, MachineListOptions, MachineListStandin},
    store::{FaultOrder, LossManner, StoreOptions, StoreStandin},
};
use tallybridge_store::{
    Expectation, MachineListClient, MachineState, StoreClient, StoreClientOptions, StoreError,
    client::PutOptions,
};

/// Long enough that a slow test machine never reaches this timeout.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_store() -> (StoreStandin, StoreClient) {
    let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
    let client = client_for(vec![standin.address()]);
    (standin, client)
}

fn client_for(addresses: Vec<std::net::SocketAddr>) -> StoreClient {
    let options = StoreClientOptions {
        request_timeout: LONG_TIMEOUT,
        ..StoreClientOptions::new(addresses)
    };
    StoreClient::new(options).unwrap()
}

#[tokio::test]
async fn rejects_unexpected_versions() {
    let (_standin, client) = start_store().await;
    let first = client
        .put("a/b", "1".to_owned(), Expectation::Absent)
        .await
        .unwrap();
    let rejected = client.put("a/b", "2".to_owned(), Expectation::Absent).await;
    assert_eq!(rejected, Err(StoreError::Conflict { version: first }));
    let second = client
        .put("a/b", "3".to_owned(), Expectation::Version(first))
        .await
        .unwrap();
    assert!(second > first);
    let rejected = client.delete("a/b", Expectation::Version(first)).await;
    assert_eq!(rejected, Err(StoreError::Conflict { version: second }));
    assert_eq!(client.get("a/b").await.unwrap().unwrap().value, "3");
    client
        .delete("a/b", Expectation::Version(second))
        .await
        .unwrap();
    assert_eq!(client.get("a/b").await.unwrap(), None);
}

#[tokio::test]
async fn list_returns_pages() {
    let (_standin, client) = start_store().await;
    for number in 0..5 {
        let key = format!("list/{number}");
        client
            .put(&key, key.clone(), Expectation::Any)
            .await
            .unwrap();
    }
    client
        .put("other", String::new(), Expectation::Any)
        .await
        .unwrap();
    let page = client.list("list/", "list/1", 2).await.unwrap();
    let keys: Vec<&str> = page
        .entries
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    assert_eq!(keys, ["list/2", "list/3"]);
    assert_eq!(page.version, 6);
}

#[tokio::test]
async fn watch_returns_writes_and_removals() {
    let (_standin, client) = start_store().await;
    let watch_task = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("w/", 0, LONG_TIMEOUT).await })
    };
    let version = client
        .put("w/a", "1".to_owned(), Expectation::Any)
        .await
        .unwrap();
    let changes = watch_task.await.unwrap().unwrap();
    assert_eq!(changes.entries[0].value.as_deref(), Some("1"));
    client.delete("w/a", Expectation::Any).await.unwrap();
    let changes = client.watch("w/", version, LONG_TIMEOUT).await.unwrap();
    assert_eq!(changes.entries[0].value, None);
    let unchanged = client
        .watch("w/", changes.version, Duration::ZERO)
        .await
        .unwrap();
    assert!(unchanged.entries.is_empty());
}

#[tokio::test]
async fn revoked_lease_removes_its_keys() {
    let (_standin, client) = start_store().await;
    let lease = client.grant_lease(LONG_TIMEOUT).await.unwrap();
    let options = PutOptions {
        expectation: Expectation::Absent,
        lease: Some(lease),
    };
    client.put("l", String::new(), options).await.unwrap();
    client.renew_lease(lease).await.unwrap();
    client.revoke_lease(lease).await.unwrap();
    assert_eq!(client.get("l").await.unwrap(), None);
    assert_eq!(
        client.renew_lease(lease).await,
        Err(StoreError::LeaseLapsed)
    );
    let expired = client.put("l", String::new(), options).await;
    assert_eq!(expired, Err(StoreError::LeaseLapsed));
}

#[tokio::test]
async fn lease_expires_without_renewal() {
    let (_standin, client) = start_store().await;
    let lease = client.grant_lease(Duration::from_millis(20)).await.unwrap();
    let options = PutOptions {
        expectation: Expectation::Absent,
        lease: Some(lease),
    };
    // On a slow machine the lease may expire before the write.
    match client.put("l", String::new(), options).await {
        Ok(version) => {
            let changes = client.watch("l", version, LONG_TIMEOUT).await.unwrap();
            assert_eq!(changes.entries[0].value, None);
        }
        Err(error) => assert_eq!(error, StoreError::LeaseLapsed),
    }
    assert_eq!(
        client.renew_lease(lease).await,
        Err(StoreError::LeaseLapsed)
    );
}

#[tokio::test]
async fn lost_response_leaves_outcome_unknown() {
    let (standin, client) = start_store().await;
    for (number, loss_manner) in [LossManner::Close, LossManner::Unavailable]
        .into_iter()
        .enumerate()
    {
        standin.fault(&FaultOrder {
            lose_answers: Some(1),
            loss_manner,
            ..FaultOrder::default()
        });
        let key = format!("lost/{number}");
        let result = client.put(&key, String::new(), Expectation::Absent).await;
        assert!(
            matches!(result, Err(StoreError::OutcomeUnknown { .. })),
            "{result:?}"
        );
        assert!(client.get(&key).await.unwrap().is_some());
    }
    assert_eq!(standin.requests().lost_answers, 2);
    assert_eq!(standin.requests().put, 2, "a write was sent twice");
}

#[tokio::test]
async fn rate_limit_returns_retry_after() {
    let options = StoreOptions {
        // Refills one token in more than ten days, so none becomes available during the test.
        requests_per_second: Some(1e-6),
        burst: 1,
        ..StoreOptions::default()
    };
    let standin = StoreStandin::serve(options).await.unwrap();
    let client = client_for(vec![standin.address()]);
    client.get("k").await.unwrap();
    let Err(StoreError::RateLimited { retry_after }) = client.get("k").await else {
        panic!("the second request was not limited");
    };
    assert!(retry_after > Duration::from_secs(999_000));
    assert_eq!(standin.requests().limited, 1);
}

#[tokio::test]
async fn skips_address_in_outage() {
    let (broken, _) = start_store().await;
    let (working, writer) = start_store().await;
    writer
        .put("k", String::new(), Expectation::Any)
        .await
        .unwrap();
    broken.fault(&FaultOrder {
        outage_ms: Some(3_600_000),
        ..FaultOrder::default()
    });
    let client = client_for(vec![broken.address(), working.address()]);
    assert!(client.get("k").await.unwrap().is_some());
    let broken_only = client_for(vec![broken.address()]);
    let result = broken_only.get("k").await;
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
    assert_eq!(broken.requests().unavailable, 2);
}

#[tokio::test]
async fn refused_connection_means_write_not_sent() {
    // A bound socket that does not listen refuses connections and keeps the port from other tests.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let result = client_for(vec![address])
        .put("k", String::new(), Expectation::Any)
        .await;
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn rejects_keys_that_need_encoding() {
    let (_standin, client) = start_store().await;
    for key in ["", "a//b", "a/../b", "a b", "a?b", "ä"] {
        let rejected = client.get(key).await;
        assert!(
            matches!(rejected, Err(StoreError::InvalidKey { .. })),
            "accepted invalid key {key:?}"
        );
    }
}

#[tokio::test]
async fn reads_list_of_lagging_server() {
    let options = MachineListOptions {
        lag: Duration::from_secs(3_600),
        ..MachineListOptions::default()
    };
    let lagging = MachineListStandin::serve(options).await.unwrap();
    let prompt = MachineListStandin::serve(MachineListOptions::default())
        .await
        .unwrap();
    let machine = machine_list::Machine {
        peer_address: "127.0.0.1:1".parse().unwrap(),
        service: "billing".into(),
        region: "north".into(),
        zone: "a".into(),
        state: machine_list::MachineState::Leaving,
    };
    lagging.put(vec![machine.clone()]);
    prompt.put(vec![machine]);
    let lagging_client = MachineListClient::new(lagging.address(), LONG_TIMEOUT).unwrap();
    assert!(lagging_client.machines().await.unwrap().is_empty());
    let prompt_client = MachineListClient::new(prompt.address(), LONG_TIMEOUT).unwrap();
    assert_eq!(
        prompt_client.machines().await.unwrap()[0].state,
        MachineState::Leaving
    );
}
