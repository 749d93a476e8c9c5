//! A fleet with a broken revision, without its store, and without one of its watchers.

mod support;

use std::time::Duration;

use support::{
    fleet::{Fleet, TIMES},
    switch::Cut,
};
use tallybridge_config::{Edit, Revision, RevisionRecord, Tenant, revision::record_key};
use tallybridge_core::TenantName;
use tallybridge_lab::standin::store::FaultOrder;
use tallybridge_store::Expectation;
use uuid::Uuid;

const NODES: usize = 3;

/// A record as a program with other rules may write it.
fn broken_record(revision: Revision) -> RevisionRecord {
    let file = tallybridge_config::ConfigurationFile::parse(
        "test.toml",
        "[[template]]\nname = \"pay\"\nservice = \"billing\"\n\
         [[tenant]]\nname = \"tenant-9\"\n[[tenant.override]]\ntemplate = \"pay\"\n",
    );
    let mut tenant: Tenant = file.expect("parses").tenants.remove(0);
    tenant.overrides[0].template = "missing".into();
    RevisionRecord {
        revision,
        change_id: Uuid::from_u128(99),
        author: "other program".to_owned(),
        made_unix_ms: 0,
        comment: String::new(),
        edits: vec![Edit::PutTenant(tenant)],
    }
}

async fn write(fleet: &Fleet, record: &RevisionRecord) {
    let value = serde_json::to_string(record).expect("writes");
    let key = record_key(record.revision);
    let written = fleet.client().put(&key, value, Expectation::Absent).await;
    written.expect("the store is there");
}

#[tokio::test]
async fn a_broken_revision_is_refused_by_every_node_until_it_is_mended() {
    let fleet = Fleet::start(NODES, TIMES).await;
    fleet.append(1, Duration::from_secs(5)).await.expect("made");
    fleet.reach(Revision(1)).await;
    write(&fleet, &broken_record(Revision(2))).await;
    fleet
        .wait_for("a watcher refuses it", async || {
            for node in 0..NODES {
                if let Some(refused) = fleet.status(node).await.configuration_refused {
                    return refused.revision == Revision(2) && refused.reason.contains("missing");
                }
            }
            false
        })
        .await;
    for node in 0..NODES {
        assert_eq!(fleet.check(node).await, Revision(1));
    }
    let mended = RevisionRecord {
        change_id: Uuid::from_u128(100),
        edits: vec![Edit::RemoveTenant(TenantName::from("tenant-9"))],
        ..broken_record(Revision(3))
    };
    write(&fleet, &mended).await;
    fleet.reach(Revision(3)).await;
    for node in 0..NODES {
        assert_eq!(fleet.status(node).await.configuration_refused, None);
    }
}

#[tokio::test]
async fn without_store_and_peers_a_node_serves_from_what_it_has_or_not_at_all() {
    let mut fleet = Fleet::start(2, TIMES).await;
    fleet.append(1, Duration::from_secs(5)).await.expect("made");
    fleet.reach(Revision(1)).await;
    fleet
        .wait_for("a node is ready", async || fleet.status(0).await.ready)
        .await;
    fleet.store.fault(&FaultOrder {
        outage_ms: Some(600_000),
        ..FaultOrder::default()
    });
    fleet.switch.cut(fleet.address(0), Cut::All);
    fleet.restart(1).await;
    let call = |node: usize| {
        let address = fleet.settings[node].caller_address;
        let client = reqwest::Client::builder().no_proxy().build();
        let request = client
            .expect("client")
            .get(format!("http://{address}/call/billing/x"));
        request.header("tallybridge-tenant", "tenant-1")
    };
    let refused_as = async |node: usize| {
        let response = call(node).send().await.expect("answer");
        response.headers()["tallybridge-error"]
            .to_str()
            .expect("text")
            .to_owned()
    };
    assert_eq!(refused_as(1).await, "no-configuration");
    assert!(!fleet.status(1).await.ready);
    // There is no template for the tenant's call at revision 1, which the node knows.
    assert_eq!(refused_as(0).await, "no-template");
    let status = fleet.status(0).await;
    assert_eq!(status.revision, 1);
    assert!(status.configuration_confirmed_ms_ago.is_some());
    fleet.switch.heal();
    fleet.reach(Revision(1)).await;
    assert!(fleet.status(1).await.store_confirmed_ms_ago.is_none());
}

#[tokio::test]
async fn at_most_two_nodes_watch_and_a_lost_watcher_is_replaced() {
    let mut fleet = Fleet::start(4, TIMES).await;
    let watchers = async |fleet: &Fleet| {
        let mut watchers = Vec::new();
        for node in 0..fleet.nodes.len() {
            if fleet.status(node).await.watches_store {
                watchers.push(node);
            }
        }
        watchers
    };
    fleet
        .wait_for("two watch", async || watchers(&fleet).await.len() == 2)
        .await;
    let lost = watchers(&fleet).await[0];
    fleet.restart(lost).await;
    fleet
        .wait_for("two watch again", async || {
            watchers(&fleet).await.len() == 2
        })
        .await;
    fleet.append(1, Duration::from_secs(5)).await.expect("made");
    fleet.reach(Revision(1)).await;
    assert_eq!(watchers(&fleet).await.len(), 2);
}
