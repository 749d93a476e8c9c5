//! A call goes through as many nodes as its chain is deep, and bad input harms nobody else.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use support::Chain;
use tallybridge_core::header;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// After which a state that is waited for will never come; far above what it takes.
const TEST_PATIENCE: Duration = Duration::from_secs(20);

fn header_of<'a>(response: &'a reqwest::Response, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

#[tokio::test]
async fn a_call_three_hops_deep_is_answered_through_three_nodes() {
    let chain = Chain::start(3, None).await;
    let response = chain.call(2, 0).body("12345").send().await.expect("answer");
    assert_eq!(response.status(), 200);
    assert_eq!(header_of(&response, header::OUTCOME), "completed");
    let request_id = header_of(&response, header::REQUEST_ID).to_owned();
    assert_eq!(response.text().await.expect("whole"), "via via leaf /pay 5");
    for service in 0..3 {
        let executions = chain.hops[service].executions.lock().expect("lock");
        assert_eq!(*executions, vec![request_id.clone()], "service {service}");
    }
}

#[tokio::test]
async fn a_body_larger_than_many_frames_arrives_whole() {
    let chain = Chain::start(2, None).await;
    let body = vec![7_u8; 1_000_000];
    let response = chain.call(1, 0).body(body).send().await.expect("answer");
    assert_eq!(
        response.text().await.expect("whole"),
        "via leaf /pay 1000000"
    );
}

#[tokio::test]
async fn what_cannot_be_served_is_refused_with_its_kind_and_did_not_run() {
    let chain = Chain::start(1, None).await;
    let no_tenant = chain.client.get(format!(
        "http://{}/call/service-0/x",
        chain.hops[0].settings.caller_address
    ));
    let unknown_service = chain.call(0, 7);
    let bad_key = chain.call(0, 0).header(header::IDEMPOTENCY_KEY, "17");
    let bad_timeout = chain.call(0, 0).header(header::TIMEOUT_MS, "soon");
    let bad_token = chain.call(0, 0).header(header::CALL_TOKEN, "?");
    let stale_token = chain
        .call(0, 0)
        .header(header::CALL_TOKEN, "0000000000000001-1");
    let too_large = chain.call(0, 0).body(vec![0_u8; (1 << 20) + 1]);
    let cases = [
        (no_tenant, 400, "invalid-request"),
        (unknown_service, 403, "no-template"),
        (bad_key, 400, "invalid-request"),
        (bad_timeout, 400, "invalid-request"),
        (bad_token, 400, "invalid-request"),
        (stale_token, 409, "unknown-parent"),
        (too_large, 413, "request-too-large"),
    ];
    for (request, status, kind) in cases {
        let response = request.send().await.expect("answer");
        assert_eq!(response.status(), status, "{kind}");
        assert_eq!(header_of(&response, header::ERROR_KIND), kind);
        assert_eq!(header_of(&response, header::OUTCOME), "not-run");
    }
    assert_eq!(chain.executions(0), 0);
}

#[tokio::test]
async fn malformed_http_and_frames_harm_no_other_call() {
    let chain = Chain::start(2, None).await;
    let mut caller = TcpStream::connect(chain.hops[0].settings.caller_address)
        .await
        .expect("connects");
    caller.write_all(b"NOT HTTP\r\n\r\n").await.expect("sends");
    let mut peer = TcpStream::connect(chain.hops[0].settings.peer_address)
        .await
        .expect("connects");
    peer.write_all(&[0xff; 64]).await.expect("sends");
    let mut rest = Vec::new();
    peer.read_to_end(&mut rest)
        .await
        .expect("the node closes it");
    let mut answer = Vec::new();
    caller
        .read_to_end(&mut answer)
        .await
        .expect("the node closes it");
    assert!(answer.starts_with(b"HTTP/1.1 400"));
    let response = chain.call(1, 0).body("1").send().await.expect("answer");
    assert_eq!(response.text().await.expect("whole"), "via leaf /pay 1");
}

#[tokio::test]
async fn a_planned_stop_finishes_the_call_in_flight() {
    let mut chain = Chain::start(2, None).await;
    let call = chain.call(0, 0).body("1").send();
    let answering = tokio::spawn(call);
    while chain.executions(0) == 0 {
        tokio::task::yield_now().await;
    }
    let leaver = chain.hops.remove(0);
    leaver.node.stop().await.expect("stops with nothing left");
    let response = answering.await.expect("joins").expect("answer");
    assert_eq!(response.text().await.expect("whole"), "via leaf /pay 1");
}

/// Rounds of calls that callers give up on at every moment of their way.
const GIVE_UP_ROUNDS: u64 = 20;
/// Calls of a round; several times the back end's slots, so that most wait in the queue.
const GIVE_UP_CALLS: u64 = 100;

#[tokio::test]
async fn calls_that_their_callers_give_up_on_give_their_slots_back() {
    let chain = Chain::start(1, None).await;
    for round in 0..GIVE_UP_ROUNDS {
        let calls = (0..GIVE_UP_CALLS).map(|number| {
            let patience = Duration::from_micros(500 + 200 * number + round);
            chain.call(0, 0).timeout(patience).send()
        });
        futures::future::join_all(calls).await;
    }
    let settled = tokio::time::timeout(TEST_PATIENCE, chain.settle()).await;
    settled.expect("no slot stays taken");
    let response = chain.call(0, 0).send().await.expect("answer");
    assert_eq!(header_of(&response, header::OUTCOME), "completed");
}

#[tokio::test]
async fn a_back_end_that_made_a_call_is_not_believed_that_it_has_not_run() {
    let chain = Chain::start(2, None).await;
    for status in [503, 500] {
        let before = chain.executions(1);
        chain.hops[0].hands_on.store(status, Ordering::Relaxed);
        let response = chain.call(1, 0).body("1").send().await.expect("answer");
        assert!(chain.executions(1) > before, "its nested call ran");
        let outcomes: Vec<_> = response.headers().get_all(header::OUTCOME).iter().collect();
        assert_eq!(outcomes.len(), 1, "one outcome: {outcomes:?}");
        assert_ne!(header_of(&response, header::OUTCOME), "not-run", "{status}");
    }
}
