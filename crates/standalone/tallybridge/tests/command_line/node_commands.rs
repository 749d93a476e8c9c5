//! `status` and `explain` against stand-ins of nodes' admin addresses.

use serde_json::json;

use crate::support::{FleetNode, Node, tallybridge};

/// An address at which nothing listens.
async fn gone() -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the system gives a port");
    listener
        .local_addr()
        .expect("it has an address")
        .to_string()
}

#[tokio::test]
async fn status_shows_each_node_as_a_row() {
    let node = Node::start(5, 0).await;
    let admin = node.address.to_string();
    let table = tallybridge(&["status", "--admin", &admin]).await.output();
    let rows: Vec<Vec<_>> = table
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(rows.len(), 2, "{table}");
    assert_eq!(rows[0].len(), rows[1].len(), "{table}");
    assert_eq!(
        rows[1],
        [
            &admin,
            "ready",
            "127.0.0.1:1/00",
            "billing",
            "5",
            "3",
            "2/8",
            "1",
            "critical+",
            "2"
        ]
    );
}

#[tokio::test]
async fn status_shows_the_others_when_a_node_does_not_answer() {
    let node = Node::start(5, 0).await;
    let admin = format!("{},{}", gone().await, node.address);
    let run = tallybridge(&["status", "--admin", &admin]).await;
    assert!(run.stdout.contains("no answer"), "{run:?}");
    assert!(run.stdout.contains("billing"), "{run:?}");
    assert!(run.refusal(87).contains("1 of 2 nodes did not answer"));
}

#[tokio::test]
async fn status_passes_the_whole_answer_on_as_json() {
    let node = Node::start(5, 0).await;
    let admin = node.address.to_string();
    let line = tallybridge(&["status", "--json", "--admin", &admin])
        .await
        .output();
    let line: serde_json::Value = serde_json::from_str(&line).expect("it is JSON");
    assert_eq!(line["admin"], admin);
    assert_eq!(line["status"]["revision"], 5);
    assert_eq!(line["status"]["unheard_of"], 1);
}

#[tokio::test]
async fn explain_gathers_the_decisions_in_the_order_of_time() {
    let late = Node::start(0, 1_709_164_800_250).await;
    let early = Node::start(0, 920_332_799_999).await;
    let admin = format!("{},{}", late.address, early.address);
    let table = tallybridge(&["explain", "0190-1", "--admin", &admin])
        .await
        .output();
    let lines: Vec<_> = table.lines().collect();
    assert_eq!(lines.len(), 3, "{table}");
    assert!(lines[1].starts_with("1999-03-01T23:59:59.999Z"), "{table}");
    assert!(
        lines[1].ends_with(&format!("4         refused at {}", early.address)),
        "{table}"
    );
    assert!(lines[2].starts_with("2024-02-29T00:00:00.250Z"), "{table}");
    let json = tallybridge(&["explain", "0190-1", "--json", "--admin", &admin])
        .await
        .output();
    assert_eq!(json.lines().count(), 2, "{json}");
}

#[tokio::test]
async fn explain_says_when_no_node_remembers_the_request_or_the_id_is_none() {
    let node = Node::start(0, 0).await;
    let admin = node.address.to_string();
    let report = tallybridge(&["explain", "0190-2", "--admin", &admin])
        .await
        .refusal(64);
    assert!(
        report.contains("none of the 1 nodes remembers request 0190-2"),
        "{report}"
    );
    let report = tallybridge(&["explain", "../x", "--admin", &admin])
        .await
        .refusal(64);
    assert!(report.contains("is no request id"), "{report}");
}

#[tokio::test]
async fn one_address_shows_the_fleet_with_who_lags_and_who_is_silent() {
    let status = |node: &str, revision: u64| {
        json!({ "node": node, "ready": true, "revision": revision, "limit": 8, "live_members": 3,
            "configuration_confirmed_ms_ago": 40 })
    };
    let nodes = [status("127.0.0.1:1/0a", 7), status("127.0.0.1:2/0b", 6)];
    let whole = FleetNode::start(json!({ "nodes": nodes, "unanswered": [] })).await;
    let partial =
        FleetNode::start(json!({ "nodes": [nodes[0]], "unanswered": ["127.0.0.1:2/0b"] })).await;

    let both = format!("{},{}", whole.address, partial.address);
    let run = tallybridge(&["status", "--fleet", "--admin", &both]).await;
    let table = run.output();
    assert_eq!(table.lines().count(), 5, "{table}");
    assert!(
        table.ends_with(
            "revision 7 is in force at 1 of 2 nodes\n\
             lagging: 127.0.0.1:2/0b is at revision 6, last confirmed 40 ms ago\n"
        ),
        "{table}"
    );

    let admin = partial.address.to_string();
    let run = tallybridge(&["status", "--fleet", "--admin", &admin]).await;
    assert!(run.stdout.contains("1 of 2 nodes"), "{run:?}");
    let report = run.refusal(87);
    assert!(report.contains("127.0.0.1:2/0b: no answer"), "{report}");
}

#[tokio::test]
async fn explain_shows_a_decision_once_however_many_nodes_tell_it() {
    let decision = |node: &str, unix_ms: u64| {
        json!({ "node": node, "request_id": "0190-1", "unix_ms": unix_ms, "phase": "entry",
            "decision": "refused", "revision": 4 })
    };
    let rows = [decision("127.0.0.1:1/0a", 5), decision("127.0.0.1:2/0b", 5)];
    let answer = json!({ "decisions": rows, "unanswered": [] });
    let (one, other) = (
        FleetNode::start(answer.clone()).await,
        FleetNode::start(answer).await,
    );
    let admin = format!("{},{}", one.address, other.address);
    let run = tallybridge(&["explain", "0190-1", "--admin", &admin]).await;
    let table = run.output();
    assert_eq!(table.lines().count(), 3, "{table}");
    assert!(table.contains("127.0.0.1:1/0a"), "{table}");
    assert!(table.contains("127.0.0.1:2/0b"), "{table}");
}
