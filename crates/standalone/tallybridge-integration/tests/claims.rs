//! A request runs as often as its template allows, wherever its attempts enter, and what a refusal
//! says about its execution is true.

mod support;

use std::sync::atomic::Ordering;

use support::{Chain, template};
use tallybridge_config::Template;
use tallybridge_core::header;

/// What a caller was told.
#[derive(Debug, PartialEq, Eq)]
struct Told {
    status: u16,
    outcome: String,
    kind: String,
    retry_after: bool,
    body: String,
}

impl Told {
    fn is_refused(&self, kind: &str, outcome: &str) -> bool {
        self.kind == kind && self.outcome == outcome
    }
}

async fn told(request: reqwest::RequestBuilder) -> Told {
    let response = request.send().await.expect("an answer");
    let header_of = |name: &str| {
        let value = response.headers().get(name);
        value.map_or(String::new(), |value| {
            value.to_str().expect("text").to_owned()
        })
    };
    Told {
        status: response.status().as_u16(),
        outcome: header_of(header::OUTCOME),
        kind: header_of(header::ERROR_KIND),
        retry_after: response.headers().contains_key("retry-after"),
        body: response.text().await.expect("whole"),
    }
}

fn payment() -> Template {
    template("[[template]]\nname = \"pay\"\nservice = \"service-0\"\nidempotent = false\n")
}

fn keyed(request: reqwest::RequestBuilder, key: uuid::Uuid) -> reqwest::RequestBuilder {
    request.header(header::IDEMPOTENCY_KEY, key.to_string())
}

#[tokio::test]
async fn a_key_used_at_two_nodes_runs_once_and_its_answer_is_replayed() {
    let chain = Chain::start_replicated(3, vec![payment()]).await;
    let key = uuid::Uuid::now_v7();
    let first = told(keyed(chain.call(0, 0).body("123"), key)).await;
    assert_eq!(first.status, 200, "{first:?}");
    for entry in [1, 2, 0] {
        // The answer may still be on its way to the replicas.
        let repeat = loop {
            let repeat = told(keyed(chain.call(entry, 0).body("123"), key)).await;
            if !repeat.is_refused("already-claimed", "unknown") {
                break repeat;
            }
        };
        assert_eq!(repeat, first, "entry {entry}");
    }
    assert_eq!(chain.all_executions(), 1);
}

#[tokio::test]
async fn a_key_used_for_another_request_gets_neither_its_answer_nor_a_run() {
    let chain = Chain::start_replicated(3, vec![payment()]).await;
    let key = uuid::Uuid::now_v7();
    let first = told(keyed(chain.call(0, 0).body("123"), key)).await;
    assert_eq!(first.status, 200, "{first:?}");
    let other = told(keyed(chain.call(1, 0).body("4567"), key)).await;
    assert!(other.is_refused("already-claimed", "unknown"), "{other:?}");
    assert_eq!(chain.all_executions(), 1);
}

#[tokio::test]
async fn a_repeat_while_the_call_runs_is_answered_at_once_and_does_not_run() {
    let chain = Chain::start_replicated(3, vec![payment()]).await;
    let mut held = Vec::new();
    for hop in &chain.hops {
        held.push(hop.hold.write().await);
    }
    let key = uuid::Uuid::now_v7();
    let first = tokio::spawn(told(keyed(chain.call(0, 0).body("1"), key)));
    while chain.all_executions() == 0 {
        tokio::task::yield_now().await;
    }
    for entry in 0..3 {
        let repeat = told(keyed(chain.call(entry, 0).body("1"), key)).await;
        assert!(
            repeat.is_refused("already-claimed", "unknown"),
            "{repeat:?}"
        );
        assert!(repeat.retry_after, "{repeat:?}");
    }
    drop(held);
    let first = first.await.expect("joins");
    assert_eq!(first.outcome, "completed", "{first:?}");
    assert_eq!(chain.all_executions(), 1);
}

#[tokio::test]
async fn repeats_of_an_idempotent_call_are_counted_against_its_allowance() {
    let read = template(
        "[[template]]\nname = \"read\"\nservice = \"service-0\"\nidempotent = true\n\
         retry_allowance = 1\n",
    );
    let chain = Chain::start_replicated(3, vec![read]).await;
    let key = uuid::Uuid::now_v7();
    // The back end answers with its path: an answer this long is not kept for replay.
    let path = "x".repeat(5_000);
    let call = |entry: usize| {
        let address = chain.hops[entry].settings.caller_address;
        let url = format!("http://{address}/call/service-0/{path}");
        let request = chain.client.post(url);
        keyed(request.header(header::TENANT, support::TENANT), key)
    };
    for entry in [0, 1] {
        let answered = told(call(entry)).await;
        assert_eq!(answered.outcome, "completed", "{answered:?}");
    }
    for entry in [2, 0, 1] {
        let refused = told(call(entry)).await;
        assert!(
            refused.is_refused("retry-allowance-spent", "unknown"),
            "{refused:?}"
        );
        assert!(refused.retry_after, "{refused:?}");
    }
    assert_eq!(chain.all_executions(), 2);
}

#[tokio::test]
async fn the_failure_of_an_idempotent_call_is_not_replayed() {
    let read = template(
        "[[template]]\nname = \"read\"\nservice = \"service-0\"\nidempotent = true\n\
         retry_allowance = 2\n",
    );
    let chain = Chain::start_replicated(3, vec![read]).await;
    let key = uuid::Uuid::now_v7();
    let set_failing = |fails| {
        for hop in &chain.hops {
            hop.fails.store(fails, Ordering::Relaxed);
        }
    };
    set_failing(true);
    let failed = told(keyed(chain.call(0, 0).body("1"), key)).await;
    assert_eq!(failed.status, 500, "{failed:?}");
    set_failing(false);
    let answered = told(keyed(chain.call(1, 0).body("1"), key)).await;
    assert_eq!(answered.status, 200, "{answered:?}");
    assert_eq!(chain.all_executions(), 2);
}

#[tokio::test]
async fn a_later_run_has_the_runs_before_it_taken_off_its_retries() {
    let root = "[[template]]\nname = \"root\"\nservice = \"service-0\"\nretry_allowance = 1\n";
    let chain = Chain::start(2, Some(vec![template(root), relay(1)])).await;
    let key = uuid::Uuid::now_v7();
    chain.hops[0].fails.store(true, Ordering::Relaxed);
    let failed = told(keyed(chain.call(0, 0).body("1"), key)).await;
    assert_eq!(failed.status, 500, "{failed:?}");
    let held = chain.hops[0].hold.write().await;
    let second = tokio::spawn(told(keyed(chain.call(0, 0).body("1"), key)));
    while chain.executions(0) < 2 {
        tokio::task::yield_now().await;
    }
    let token = chain.hops[0].tokens.lock().expect("lock")[1].clone();
    let nested = || {
        told(
            chain
                .call(0, 1)
                .header(header::CALL_TOKEN, &token)
                .body("1"),
        )
    };
    let answered = nested().await;
    assert_eq!(answered.outcome, "completed", "{answered:?}");
    let refused = nested().await;
    assert!(
        refused.is_refused("retry-allowance-spent", "unknown"),
        "{refused:?}"
    );
    assert_eq!(chain.executions(1), 1);
    drop(held);
    assert_eq!(second.await.expect("joins").status, 500);
}

#[tokio::test]
async fn the_failure_of_a_call_that_must_not_be_repeated_is_replayed() {
    let chain = Chain::start(1, Some(vec![payment()])).await;
    let key = uuid::Uuid::now_v7();
    chain.hops[0].fails.store(true, Ordering::Relaxed);
    let failed = told(keyed(chain.call(0, 0).body("1"), key)).await;
    assert_eq!(failed.status, 500, "{failed:?}");
    chain.hops[0].fails.store(false, Ordering::Relaxed);
    let repeat = told(keyed(chain.call(0, 0).body("1"), key)).await;
    assert_eq!(repeat, failed);
    assert_eq!(chain.all_executions(), 1);
}

/// Three nodes of which only the first has a back end of the service that is called.
async fn three_replicas() -> Chain {
    Chain::start(3, Some(vec![payment(), relay(1), relay(2)])).await
}

fn relay(service: usize) -> Template {
    template(&format!(
        "[[template]]\nname = \"relay-{service}\"\nservice = \"service-{service}\"\n"
    ))
}

#[tokio::test]
async fn claims_outlive_a_replica() {
    let mut chain = three_replicas().await;
    let before = uuid::Uuid::now_v7();
    let first = told(keyed(chain.call(1, 2).body("1"), before)).await;
    assert_eq!(first.outcome, "completed", "{first:?}");
    chain.kill(0);
    // Position 1 is now the node beside the last service, position 0 the one before.
    let repeat = told(keyed(chain.call(0, 2).body("1"), before)).await;
    assert_eq!(repeat, first);
    let fresh = told(keyed(chain.call(0, 2).body("1"), uuid::Uuid::now_v7())).await;
    assert_eq!(fresh.outcome, "completed", "{fresh:?}");
    assert_eq!(chain.executions(1), 2);
}

#[tokio::test]
async fn nothing_runs_without_a_majority_and_the_refusal_says_that_this_is_not_known() {
    let mut chain = three_replicas().await;
    chain.kill(2);
    chain.kill(1);
    let call = chain.call(0, 0).body("1");
    let refused = told(keyed(call, uuid::Uuid::now_v7())).await;
    assert!(refused.is_refused("no-quorum", "unknown"), "{refused:?}");
    assert!(refused.retry_after, "{refused:?}");
    assert_eq!(chain.executions(0), 0);
}

#[tokio::test]
async fn a_refusal_says_not_run_only_of_a_key_that_has_not_run() {
    let chain = Chain::start_replicated(3, vec![payment()]).await;
    let key = uuid::Uuid::now_v7();
    let ran = told(keyed(chain.call(0, 0).body("1"), key)).await;
    assert_eq!(ran.outcome, "completed", "{ran:?}");
    for (key, outcome) in [(key, "unknown"), (uuid::Uuid::now_v7(), "not-run")] {
        for entry in 0..3 {
            let late = chain.call(entry, 0).header(header::TIMEOUT_MS, "soon");
            let elsewhere = chain.call(entry, 7);
            let large = chain.call(entry, 0).body(vec![0_u8; (1 << 20) + 1]);
            let cases = [
                (late, "invalid-request"),
                (elsewhere, "no-template"),
                (large, "request-too-large"),
            ];
            for (request, kind) in cases {
                let refused = told(keyed(request, key)).await;
                assert!(refused.is_refused(kind, outcome), "{refused:?}");
            }
        }
    }
    assert_eq!(chain.all_executions(), 1);
}
