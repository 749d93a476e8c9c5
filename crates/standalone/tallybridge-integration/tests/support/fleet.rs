//! Nodes without back ends and their store in one process, with an operator.

use std::{net::SocketAddr, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_config::{
    Document, Edit, Revision, RevisionRecord, Settings, Tenant, revision::RECORD_PREFIX,
};
use tallybridge_core::{RegionName, TenantName, ZoneName};
use tallybridge_lab::standin::store::{StoreOptions, StoreStandin};
use tallybridge_node::{
    NodeParts, RunningNode, StoreTimes,
    actor::{
        configuration::{CurrentDocument, CurrentRevision},
        status::{GetStatus, Status},
    },
    start_with,
};
use tallybridge_store::{
    AppendError, AppendOutcome, ChangeRequest, ConfigurationLog, StoreClient, StoreClientOptions,
    log::LogOptions,
};
use uuid::Uuid;

use super::{POLL, free_address, switch::Switch, template};

/// Longest wait for something that must come; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// Times short enough for a test.
pub const TIMES: StoreTimes = StoreTimes {
    first_wait: Duration::from_millis(300),
    look_spacing: Duration::from_millis(50),
    shortest_look: Duration::from_millis(200),
    succession_spacing: Duration::from_millis(10),
    watch_wait: Duration::from_millis(500),
    duty_ttl: Duration::from_millis(1_000),
    first_retry: Duration::from_millis(20),
    longest_retry: Duration::from_millis(200),
};

pub struct Fleet {
    pub store: StoreStandin,
    pub switch: Switch,
    pub nodes: Vec<RunningNode>,
    pub settings: Vec<Settings>,
    times: StoreTimes,
}

impl Fleet {
    /// Starts `count` nodes of one zone that know each other's addresses.
    pub async fn start(count: usize, times: StoreTimes) -> Self {
        let store = StoreStandin::serve(StoreOptions::default()).await;
        let store = store.expect("the store listens");
        let peers: Vec<_> = (0..count).map(|_| free_address()).collect();
        let settings = peers.iter().map(|peer| Settings {
            peer_address: *peer,
            caller_address: free_address(),
            admin_address: free_address(),
            region: RegionName::from("south"),
            zone: ZoneName::from("a"),
            rack: String::new(),
            backend: None,
            store: vec![store.address()],
            machine_list: None,
            seeds: peers.clone(),
            log: "off".to_owned(),
            drain_ms: 1_000,
        });
        let mut fleet = Self {
            settings: settings.collect(),
            store,
            switch: Switch::default(),
            nodes: Vec::new(),
            times,
        };
        for position in 0..count {
            let node = fleet.start_node(position).await;
            fleet.nodes.push(node);
        }
        fleet
    }

    async fn start_node(&self, position: usize) -> RunningNode {
        let settings = &self.settings[position];
        let parts = NodeParts {
            network: self.switch.network_of(settings.peer_address),
            store_times: self.times,
            ..NodeParts::real(settings).expect("an HTTP client")
        };
        let deadline = tokio::time::Instant::now() + PATIENCE;
        loop {
            match start_with(settings.clone(), parts.clone()).await {
                Ok(node) => return node,
                Err(error) if tokio::time::Instant::now() > deadline => {
                    panic!("node {position} does not start: {error:?}")
                }
                // The run before may not have let go of the addresses yet.
                Err(_) => tokio::time::sleep(POLL).await,
            }
        }
    }

    /// Ends a node without a word and starts another run of it.
    pub async fn restart(&mut self, position: usize) {
        self.nodes[position].context.shutdown.cancel();
        self.nodes[position] = self.start_node(position).await;
    }

    pub fn address(&self, position: usize) -> SocketAddr {
        self.settings[position].peer_address
    }

    pub fn client(&self) -> StoreClient {
        let mut options = StoreClientOptions::new(vec![self.store.address()]);
        options.request_timeout = Duration::from_millis(300);
        StoreClient::new(options).expect("a client")
    }

    /// Changes one tenant as an operator does. `None` when the change was not made or its fate is
    /// not known.
    pub async fn append(&self, number: u64, patience: Duration) -> Option<(Revision, Uuid)> {
        let log = ConfigurationLog::new(self.client(), LogOptions::default());
        let mut edits = vec![Edit::PutTenant(Tenant {
            name: TenantName::from(format!("tenant-{}", number % 5)),
            overrides: Vec::new(),
        })];
        if number.is_multiple_of(3) {
            edits.push(Edit::PutTemplate(template(&format!(
                "[[template]]\nname = \"pay\"\nservice = \"billing\"\ndeadline_ms = {}\n",
                1_000 + number
            ))));
        }
        let change = ChangeRequest {
            base: Revision(self.log().len() as u64),
            edits,
            author: "operator".to_owned(),
            comment: String::new(),
            change_id: Uuid::from_u128(u128::from(number)),
        };
        let deadline = tokio::time::Instant::now() + patience;
        let mut random = SmallRng::seed_from_u64(number);
        match log.append(&change, deadline, &mut random).await {
            Ok(AppendOutcome::Appended { revision }) => Some((revision, change.change_id)),
            Ok(AppendOutcome::Conflict(_))
            | Err(AppendError::NotMade { .. } | AppendError::Unsettled { .. }) => None,
            Err(error) => panic!("a good change is refused: {error}"),
        }
    }

    /// The log as the store holds it, past all faults.
    pub fn log(&self) -> Vec<RevisionRecord> {
        let entries = self.store.entries(RECORD_PREFIX);
        let records = entries.iter().map(|entry| {
            let value = entry.value.as_ref().expect("records are never removed");
            serde_json::from_str(value).expect("a record")
        });
        records.collect()
    }

    pub async fn revision(&self, position: usize) -> Revision {
        let context = &self.nodes[position].context;
        context.ask(CurrentRevision).await.expect("the node runs")
    }

    /// The document in force, which must be the log's at its revision.
    pub async fn check(&self, position: usize) -> Revision {
        let context = &self.nodes[position].context;
        let document = context.ask(CurrentDocument).await.expect("the node runs");
        let at = usize::try_from(document.revision.0).expect("small");
        let log = self.log();
        assert!(at <= log.len(), "node {position} made revision {at} up");
        assert_eq!(*document, fold(&log[..at]), "node {position} at {at}");
        document.revision
    }

    pub async fn status(&self, position: usize) -> Status {
        let context = &self.nodes[position].context;
        context.ask(GetStatus).await.expect("the node runs")
    }

    /// Waits until every node is at the revision.
    pub async fn reach(&self, revision: Revision) {
        for position in 0..self.nodes.len() {
            self.wait_for(&format!("node {position} at {revision}"), async || {
                self.revision(position).await == revision
            })
            .await;
        }
    }

    pub async fn wait_for(&self, what: &str, is_so: impl AsyncFn() -> bool) {
        let waiting = async {
            while !is_so().await {
                tokio::time::sleep(POLL).await;
            }
        };
        if tokio::time::timeout(PATIENCE, waiting).await.is_err() {
            for position in 0..self.nodes.len() {
                eprintln!("{:?}", self.status(position).await);
            }
            panic!("{what} did not come about");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.context.shutdown.cancel();
        }
    }
}

pub fn fold(log: &[RevisionRecord]) -> Document {
    let mut document = Document::default();
    for record in log {
        document.apply(record).expect("the log has no gap");
    }
    document
}
