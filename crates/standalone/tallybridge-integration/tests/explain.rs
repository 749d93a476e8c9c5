//! One admin address is enough to learn what the whole fleet decided and how it is.

mod support;

use support::Chain;
use tallybridge_core::{RequestKey, header};
use tallybridge_node::tables::decisions::DecisionLog;
use uuid::Uuid;

/// A key whose request is sampled, or one whose request is not.
fn key(sampled: bool) -> (Uuid, String) {
    loop {
        let uuid = Uuid::now_v7();
        let request_id = RequestKey::from_uuid(uuid).expect("version 7").to_string();
        if DecisionLog::is_sampled(&request_id) == sampled {
            return (uuid, request_id);
        }
    }
}

async fn get(chain: &Chain, node: usize, path: &str) -> serde_json::Value {
    let address = chain.hops[node].settings.admin_address;
    let response = chain.client.get(format!("http://{address}{path}"));
    let response = response.send().await.expect("answer");
    serde_json::from_str(&response.text().await.expect("whole")).expect("JSON")
}

fn phases_at(explanation: &serde_json::Value, node: &str) -> Vec<String> {
    let rows = explanation["decisions"].as_array().expect("rows");
    let rows = rows.iter().filter(|row| row["node"] == node);
    rows.map(|row| row["phase"].as_str().expect("text").to_owned())
        .collect()
}

#[tokio::test]
async fn a_sampled_call_is_followed_through_every_node_from_one_address() {
    let chain = Chain::start(2, None).await;
    let (uuid, request_id) = key(true);
    let call = chain
        .call(0, 0)
        .header(header::IDEMPOTENCY_KEY, uuid.to_string());
    let response = call.body("1").send().await.expect("answer");
    assert_eq!(response.status(), 200);
    chain.settle().await;
    for asked in 0..2 {
        let path = format!("/explain/{request_id}?fleet=true");
        let explanation = get(&chain, asked, &path).await;
        assert_eq!(explanation["unanswered"], serde_json::json!([]));
        let first = chain.hops[0].node.context.identity.to_string();
        let second = chain.hops[1].node.context.identity.to_string();
        let mut at_first = phases_at(&explanation, &first);
        at_first.sort();
        // The root call's start and answer, the nested call's, and one execution.
        let expected = ["admission", "backend", "entry", "entry", "entry", "entry"];
        assert_eq!(at_first, expected, "{explanation:#}");
        let mut at_second = phases_at(&explanation, &second);
        at_second.sort();
        assert_eq!(at_second, ["admission", "backend"], "{explanation:#}");
    }
}

#[tokio::test]
async fn a_refusal_is_kept_though_the_call_is_not_sampled_and_an_answer_is_not() {
    let chain = Chain::start(2, None).await;
    let (uuid, request_id) = key(false);
    let call = chain
        .call(1, 7)
        .header(header::IDEMPOTENCY_KEY, uuid.to_string());
    assert_eq!(call.send().await.expect("answer").status(), 403);
    let path = format!("/explain/{request_id}?fleet=true");
    let explanation = get(&chain, 0, &path).await;
    let rows = explanation["decisions"].as_array().expect("rows");
    assert_eq!(rows.len(), 1, "{explanation:#}");
    assert_eq!(rows[0]["revision"], 1);
    let text = rows[0]["decision"].as_str().expect("text");
    assert!(text.contains("no-template"), "{text}");

    let (uuid, request_id) = key(false);
    let call = chain
        .call(1, 1)
        .header(header::IDEMPOTENCY_KEY, uuid.to_string());
    assert_eq!(call.body("1").send().await.expect("answer").status(), 200);
    chain.settle().await;
    let path = format!("/explain/{request_id}?fleet=true");
    let explanation = get(&chain, 0, &path).await;
    assert_eq!(explanation["decisions"], serde_json::json!([]));
}

#[tokio::test]
async fn the_status_of_the_fleet_comes_from_one_address() {
    let chain = Chain::start(3, None).await;
    let status = get(&chain, 1, "/status?fleet=true").await;
    let nodes = status["nodes"].as_array().expect("rows");
    let mut names: Vec<_> = nodes.iter().map(|node| node["node"].clone()).collect();
    names.dedup();
    assert_eq!(names.len(), 3, "{status:#}");
    for node in nodes {
        assert_eq!(node["revision"], 1);
        assert_eq!(node["live_members"], 3);
        assert!(node["members"].is_null(), "{node}");
    }
    assert_eq!(status["unanswered"], serde_json::json!([]));
}
