//! The client against the stand-in of the store.

use std::time::Duration;

use tallybridge_lab::standin::{
    machine_list::{self, MachineListOptions, MachineListStandin},
    store::{FaultOrder, LossManner, StoreOptions, StoreStandin},
};
use tallybridge_store::{
    Expectation, MachineListClient, MachineState, StoreClient, StoreClientOptions, StoreError,
    client::PutOptions,
};

/// Far longer than any step takes, so that no verdict hangs on the machine's speed.
const LONG: Duration = Duration::from_secs(30);

async fn start() -> (StoreStandin, StoreClient) {
    let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
    let client = client_of(vec![standin.address()]);
    (standin, client)
}

fn client_of(addresses: Vec<std::net::SocketAddr>) -> StoreClient {
    let options = StoreClientOptions {
        request_timeout: LONG,
        ..StoreClientOptions::new(addresses)
    };
    StoreClient::new(options).unwrap()
}

#[tokio::test]
async fn expectations_are_checked() {
    let (_standin, client) = start().await;
    let first = client
        .put("a/b", "1".to_owned(), Expectation::Absent)
        .await
        .unwrap();
    let refused = client.put("a/b", "2".to_owned(), Expectation::Absent).await;
    assert_eq!(refused, Err(StoreError::Conflict { version: first }));
    let second = client
        .put("a/b", "3".to_owned(), Expectation::Version(first))
        .await
        .unwrap();
    assert!(second > first);
    let refused = client.delete("a/b", Expectation::Version(first)).await;
    assert_eq!(refused, Err(StoreError::Conflict { version: second }));
    assert_eq!(client.get("a/b").await.unwrap().unwrap().value, "3");
    client
        .delete("a/b", Expectation::Version(second))
        .await
        .unwrap();
    assert_eq!(client.get("a/b").await.unwrap(), None);
}

#[tokio::test]
async fn lists_come_in_pages() {
    let (_standin, client) = start().await;
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
async fn a_watch_sees_writes_and_removals() {
    let (_standin, client) = start().await;
    let watching = {
        let client = client.clone();
        tokio::spawn(async move { client.watch("w/", 0, LONG).await })
    };
    let version = client
        .put("w/a", "1".to_owned(), Expectation::Any)
        .await
        .unwrap();
    let seen = watching.await.unwrap().unwrap();
    assert_eq!(seen.entries[0].value.as_deref(), Some("1"));
    client.delete("w/a", Expectation::Any).await.unwrap();
    let seen = client.watch("w/", version, LONG).await.unwrap();
    assert_eq!(seen.entries[0].value, None);
    let quiet = client
        .watch("w/", seen.version, Duration::ZERO)
        .await
        .unwrap();
    assert!(quiet.entries.is_empty());
}

#[tokio::test]
async fn keys_end_with_their_lease() {
    let (_standin, client) = start().await;
    let lease = client.grant_lease(LONG).await.unwrap();
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
    let late = client.put("l", String::new(), options).await;
    assert_eq!(late, Err(StoreError::LeaseLapsed));
}

#[tokio::test]
async fn a_lease_lapses_by_itself() {
    let (_standin, client) = start().await;
    let lease = client.grant_lease(Duration::from_millis(20)).await.unwrap();
    let options = PutOptions {
        expectation: Expectation::Absent,
        lease: Some(lease),
    };
    // On a slow machine the lease may lapse before the write, which then says so.
    match client.put("l", String::new(), options).await {
        Ok(version) => {
            let seen = client.watch("l", version, LONG).await.unwrap();
            assert_eq!(seen.entries[0].value, None);
        }
        Err(error) => assert_eq!(error, StoreError::LeaseLapsed),
    }
    assert_eq!(
        client.renew_lease(lease).await,
        Err(StoreError::LeaseLapsed)
    );
}

#[tokio::test]
async fn a_lost_answer_is_told_from_a_write_not_done() {
    let (standin, client) = start().await;
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
        let lost = client.put(&key, String::new(), Expectation::Absent).await;
        assert!(
            matches!(lost, Err(StoreError::OutcomeUnknown { .. })),
            "{lost:?}"
        );
        assert!(client.get(&key).await.unwrap().is_some());
    }
    assert_eq!(standin.requests().lost_answers, 2);
    assert_eq!(standin.requests().put, 2, "a write is never sent twice");
}

#[tokio::test]
async fn the_rate_limit_says_when_to_come_back() {
    let options = StoreOptions {
        // One token in more than ten days, so that none comes back during the test.
        requests_per_second: Some(1e-6),
        burst: 1,
        ..StoreOptions::default()
    };
    let standin = StoreStandin::serve(options).await.unwrap();
    let client = client_of(vec![standin.address()]);
    client.get("k").await.unwrap();
    let Err(StoreError::RateLimited { retry_after }) = client.get("k").await else {
        panic!("the second request is over the limit");
    };
    assert!(retry_after > Duration::from_secs(999_000));
    assert_eq!(standin.requests().limited, 1);
}

#[tokio::test]
async fn an_address_in_an_outage_is_passed_over() {
    let (broken, _) = start().await;
    let (working, writer) = start().await;
    writer
        .put("k", String::new(), Expectation::Any)
        .await
        .unwrap();
    broken.fault(&FaultOrder {
        outage_ms: Some(3_600_000),
        ..FaultOrder::default()
    });
    let both = client_of(vec![broken.address(), working.address()]);
    assert!(both.get("k").await.unwrap().is_some());
    let alone = client_of(vec![broken.address()]);
    let failure = alone.get("k").await;
    assert!(
        matches!(failure, Err(StoreError::Unavailable { .. })),
        "{failure:?}"
    );
    assert_eq!(broken.requests().unavailable, 2);
}

#[tokio::test]
async fn a_store_that_is_gone_did_not_take_the_write() {
    // Held and never listened on: the port refuses connections and can't become another test's.
    let held = tokio::net::TcpSocket::new_v4().unwrap();
    held.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let gone = held.local_addr().unwrap();
    let failure = client_of(vec![gone])
        .put("k", String::new(), Expectation::Any)
        .await;
    assert!(
        matches!(failure, Err(StoreError::Unavailable { .. })),
        "{failure:?}"
    );
}

#[tokio::test]
async fn keys_that_a_path_would_change_are_refused() {
    let (_standin, client) = start().await;
    for key in ["", "a//b", "a/../b", "a b", "a?b", "ä"] {
        let refused = client.get(key).await;
        assert!(
            matches!(refused, Err(StoreError::InvalidKey { .. })),
            "{key}"
        );
    }
}

#[tokio::test]
async fn the_machine_list_lags() {
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
    let of_lagging = MachineListClient::new(lagging.address(), LONG).unwrap();
    assert!(of_lagging.machines().await.unwrap().is_empty());
    let of_prompt = MachineListClient::new(prompt.address(), LONG).unwrap();
    assert_eq!(
        of_prompt.machines().await.unwrap()[0].state,
        MachineState::Leaving
    );
}
