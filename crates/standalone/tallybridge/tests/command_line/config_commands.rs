//! `config` against a stand-in of the store.

use crate::support::{Files, Node, Store, tallybridge};
use tallybridge_lab::standin::store::FaultOrder;

const FIRST: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\ndeadline_ms = 900\n";
const SECOND: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\ndeadline_ms = 800\n";
const THIRD: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\ndeadline_ms = 700\n";

#[tokio::test]
async fn a_file_is_applied_read_back_and_told_in_the_history() {
    let (files, store) = (Files::new(), Store::start().await);
    let first = files.write("first.toml", FIRST);
    let second = files.write("second.toml", SECOND);
    assert_eq!(store.config(&["get"]).await.output(), "# revision 0\n");
    let made = store.apply(&first, "0", "alice", &[]).await.output();
    assert_eq!(made, "revision 1 is made\n");
    let again = store.apply(&first, "0", "alice", &[]).await.output();
    assert_eq!(again, "revision 1 holds this file already\n");

    let second_path = second.to_str().expect("text");
    let difference = store.config(&["diff", second_path]).await.output();
    assert!(
        difference.contains("-deadline_ms = 900\n+deadline_ms = 800\n"),
        "{difference}"
    );
    store.apply(&second, "1", "bob", &[]).await.output();
    let difference = store
        .config(&["diff", "--from", "2", "--to", "1"])
        .await
        .output();
    assert!(
        difference.contains("--- revision 2\n+++ revision 1\n"),
        "{difference}"
    );
    assert!(
        difference.contains("-deadline_ms = 800\n+deadline_ms = 900\n"),
        "{difference}"
    );

    let history = store.config(&["history"]).await.output();
    let lines: Vec<_> = history.lines().collect();
    assert_eq!(lines.len(), 3, "{history}");
    assert!(
        lines[1].starts_with("2 ") && lines[1].contains("bob"),
        "{history}"
    );
    assert!(
        lines[2].starts_with("1 ") && lines[2].contains("alice"),
        "{history}"
    );
    assert!(lines[2].ends_with("put template pay  a test"), "{history}");
    let newest = store
        .config(&["history", "--limit", "1", "--json"])
        .await
        .output();
    assert_eq!(newest.lines().count(), 1, "{newest}");
    assert!(newest.contains("\"author\":\"bob\""), "{newest}");
}

#[tokio::test]
async fn an_older_revision_is_applied_again_as_a_new_one() {
    let (files, store) = (Files::new(), Store::start().await);
    store
        .apply(&files.write("1.toml", FIRST), "0", "alice", &[])
        .await
        .output();
    store
        .apply(&files.write("2.toml", SECOND), "1", "alice", &[])
        .await
        .output();
    let before = store.config(&["get", "--revision", "1"]).await.output();
    let made = store
        .apply(&files.write("3.toml", &before), "2", "alice", &[])
        .await;
    assert_eq!(made.output(), "revision 3 is made\n");
    let now = store.config(&["get"]).await.output();
    assert_eq!(now.replace("# revision 3", "# revision 1"), before);
    let report = store.config(&["get", "--revision", "4"]).await.refusal(64);
    assert!(
        report.contains("revision 4 does not exist: the newest is 3"),
        "{report}"
    );
}

#[tokio::test]
async fn an_edit_against_an_old_revision_is_refused_with_the_difference() {
    let (files, store) = (Files::new(), Store::start().await);
    store
        .apply(&files.write("1.toml", FIRST), "0", "alice", &[])
        .await
        .output();
    store
        .apply(&files.write("2.toml", SECOND), "1", "bob", &[])
        .await
        .output();
    let third = files.write("3.toml", THIRD);
    let report = store.apply(&third, "1", "alice", &[]).await.refusal(85);
    for part in [
        "revision 1 is no longer the newest: revision 2 is",
        "revision 2 by bob: a test",
        "changed since and by you: template pay",
        "-deadline_ms = 900\n+deadline_ms = 800\n",
    ] {
        assert!(report.contains(part), "{part} is not in:\n{report}");
    }
    assert!(
        store
            .config(&["get"])
            .await
            .output()
            .contains("deadline_ms = 800")
    );
    let report = store.apply(&third, "9", "alice", &[]).await.refusal(64);
    assert!(report.contains("revision 9 does not exist"), "{report}");
}

#[tokio::test]
async fn a_wrong_file_is_not_applied() {
    let (files, store) = (Files::new(), Store::start().await);
    let wrong = files.write("wrong.toml", &FIRST.replace("900", "0"));
    let report = store.apply(&wrong, "0", "alice", &[]).await.refusal(84);
    assert!(report.contains("wrong.toml:4:15"), "{report}");
    assert_eq!(store.config(&["get"]).await.output(), "# revision 0\n");
}

#[tokio::test]
async fn of_two_operators_at_once_one_is_told_that_it_won() {
    let (files, store) = (Files::new(), Store::start().await);
    let first = files.write("1.toml", FIRST);
    let second = files.write("2.toml", SECOND);
    let (one, other) = tokio::join!(
        store.apply(&first, "0", "alice", &[]),
        store.apply(&second, "0", "bob", &[]),
    );
    let mut codes = [one.exit_code, other.exit_code];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(85)], "{one:?} {other:?}");
    let wins = if one.exit_code == Some(0) {
        "900"
    } else {
        "800"
    };
    let now = store.config(&["get"]).await.output();
    assert!(now.starts_with("# revision 1\n"), "{now}");
    assert!(now.contains(&format!("deadline_ms = {wins}")), "{now}");
}

#[tokio::test]
async fn a_lost_confirmation_is_settled_by_itself() {
    let (files, store) = (Files::new(), Store::start().await);
    store.fault(&FaultOrder {
        lose_answers: Some(1),
        ..FaultOrder::default()
    });
    let made = store
        .apply(&files.write("1.toml", FIRST), "0", "alice", &[])
        .await;
    assert_eq!(made.output(), "revision 1 is made\n");
    assert_eq!(store.config(&["history"]).await.output().lines().count(), 2);
}

#[tokio::test]
async fn an_unsettled_change_is_found_again_by_its_identity() {
    let (files, store) = (Files::new(), Store::start().await);
    store.fault(&FaultOrder {
        lose_answers: Some(1),
        ..FaultOrder::default()
    });
    let first = files.write("1.toml", FIRST);
    let report = store
        .apply(&first, "0", "alice", &["--timeout", "0"])
        .await
        .refusal(86);
    let change_id = report
        .split("--change-id ")
        .nth(1)
        .expect("the report names it");
    let change_id = change_id.split_whitespace().next().expect("it is a word");
    store
        .apply(&files.write("2.toml", SECOND), "1", "bob", &[])
        .await
        .output();
    store.apply(&first, "0", "carol", &[]).await.refusal(85);
    let settled = store
        .apply(&first, "0", "alice", &["--change-id", change_id])
        .await;
    assert_eq!(settled.output(), "revision 1 is made\n");
    assert_eq!(store.config(&["history"]).await.output().lines().count(), 3);
}

#[tokio::test]
async fn an_unreachable_store_is_told_as_such() {
    // A port that is held and never listened on refuses every connection. One that is given back
    // may be another test's by the time it is called.
    let held = tokio::net::TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    held.bind(any_port).expect("a port");
    let address = held.local_addr().expect("an address").to_string();
    let report = tallybridge(&["config", "get", "--timeout", "0", "--store", &address])
        .await
        .refusal(86);
    assert!(report.contains("store-unavailable"), "{report}");
}

#[tokio::test]
async fn a_read_is_tried_again_after_failures_that_pass() {
    let store = Store::start().await;
    let fault = FaultOrder {
        unavailable_requests: Some(2),
        ..FaultOrder::default()
    };
    store.fault(&fault);
    assert_eq!(store.config(&["get"]).await.output(), "# revision 0\n");
    store.fault(&fault);
    store.config(&["get", "--timeout", "0"]).await.refusal(86);
}

#[tokio::test]
async fn apply_waits_until_the_revision_is_in_force_and_names_who_lags() {
    let (files, store) = (Files::new(), Store::start().await);
    let (ahead, behind) = (Node::start(7, 0).await, Node::start(0, 0).await);
    let admin = format!("{},{}", ahead.address, behind.address);
    let first = files.write("1.toml", FIRST);
    let report = store
        .apply(&first, "0", "alice", &["--admin", &admin, "--wait", "0"])
        .await;
    let report = report.refusal(87);
    let lag = format!(
        "in force at 1 of 2 nodes; lagging: {} is at revision 0",
        behind.address
    );
    assert!(report.contains(&lag), "{report}");

    let more = ["--admin", admin.as_str(), "--wait", "60"];
    let second = files.write("2.toml", SECOND);
    let made = store.apply(&second, "1", "alice", &more);
    let catch_up = async {
        while !store
            .config(&["get"])
            .await
            .output()
            .starts_with("# revision 2")
        {}
        behind.set_revision(2);
    };
    let (made, ()) = tokio::join!(made, catch_up);
    assert_eq!(
        made.output(),
        "revision 2 is made\nrevision 2 is in force at 2 of 2 nodes\n"
    );
}
