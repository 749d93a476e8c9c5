//! A fleet of real nodes in one process, on a network and back ends in memory.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod backend;
mod caller;
mod configuration;
mod faults;
pub mod history;
mod node;
pub mod oracle;
mod planner;
pub mod switchboard;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, MutexGuard},
    time::Duration,
};

use tallybridge_core::RequestKey;
use tallybridge_node::{
    actor::configuration::{ApplyRecords, CurrentRevision},
    systems::begin::Origin,
};
use tokio_util::sync::CancellationToken;

use caller::{Request, carry};
use history::{History, Kind, SharedHistory};
use node::Node;
use planner::Planner;
use switchboard::Switchboard;

pub const TENANT: &str = "market";
/// The service of each node's back end. The last service has one back end, so that its queue is
/// the only one of its calls.
const SERVICES: [usize; 5] = [0, 0, 1, 1, 2];
/// Nodes of the fleet.
pub const NODES: usize = SERVICES.len();
/// Time for the nodes of a fresh fleet to meet.
const MEETING: Duration = Duration::from_secs(3);

/// Time between two looks of the one that plans who holds claims.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);

pub fn service_name(service: usize) -> String {
    format!("service-{service}")
}

/// A root call that a caller made.
struct Made {
    request: Request,
    key: RequestKey,
    keyed: bool,
    /// Its row in the history.
    row: usize,
    cancelled: CancellationToken,
}

pub struct Fleet {
    board: Arc<Switchboard>,
    nodes: Vec<Node>,
    history: SharedHistory,
    made: Vec<Made>,
    planner: Planner,
    frozen: BTreeSet<usize>,
    started_unix_ms: u64,
    runs: u64,
    revision: u64,
}

impl Fleet {
    pub async fn start(seed: u64) -> Self {
        let board = Switchboard::new(seed);
        let mut fleet = Self {
            nodes: Vec::new(),
            history: SharedHistory::default(),
            made: Vec::new(),
            planner: Planner::default(),
            frozen: BTreeSet::new(),
            started_unix_ms: RequestKey::generate().issued_unix_ms,
            runs: 0,
            revision: 1,
            board,
        };
        for (index, service) in SERVICES.into_iter().enumerate() {
            let node = fleet.start_node(index, service).await;
            let records = configuration::first_records();
            let context = node.context.clone();
            context.ask(ApplyRecords(records)).await.expect("applies");
            fleet.nodes.push(node);
        }
        tokio::time::sleep(MEETING).await;
        fleet.plan().await;
        fleet
    }

    async fn plan(&mut self) {
        let now = self.started_unix_ms;
        self.planner.run(&self.nodes, &self.frozen, now).await;
    }

    async fn start_node(&mut self, index: usize, service: usize) -> Node {
        self.runs += 1;
        Node::start(index, service, self.runs, &self.board, &self.history).await
    }

    pub fn call(&mut self, kind: Kind, entry: usize, keyed: bool) {
        let number = self.made.len() as u64;
        let key = RequestKey {
            issued_unix_ms: self.started_unix_ms,
            digest: u128::from(number) << 32 | 0x7_0000,
        };
        self.make(Request::root(kind, number), key, keyed, entry);
    }

    /// A caller sends a request again under its key, at any node.
    pub fn repeat(&mut self, made: usize, entry: usize) {
        let keyed: Vec<_> = self.made.iter().filter(|made| made.keyed).collect();
        if let Some(made) = pick(&keyed, made) {
            let (request, key) = (made.request, made.key);
            self.make(request, key, true, entry);
        }
    }

    fn make(&mut self, request: Request, key: RequestKey, keyed: bool, entry: usize) {
        let node = &self.nodes[entry % NODES];
        if !node.is_up() {
            return;
        }
        let cancelled = CancellationToken::new();
        let row = self.history.lock().expect("history").calls.len();
        let origin = Origin::Root {
            key,
            caller_key: keyed,
        };
        let history = Arc::clone(&self.history);
        let context = node.context.clone();
        let token = cancelled.clone();
        // Polled at once, so that its row in the history is the next one.
        let mut carrying =
            Box::pin(async move { carry(&context, &history, request, origin, token).await });
        let _ = futures::FutureExt::now_or_never(&mut carrying);
        tokio::spawn(carrying);
        self.made.push(Made {
            request,
            key,
            keyed,
            row,
            cancelled,
        });
    }

    pub fn give_up(&mut self, made: usize) {
        let history = &mut self.history.lock().expect("history");
        let open: Vec<_> = self
            .made
            .iter()
            .filter(|made| history.calls[made.row].end.is_none())
            .collect();
        if let Some(made) = pick(&open, made) {
            history.calls[made.row].gave_up = true;
            made.cancelled.cancel();
        }
    }

    /// A new revision reaches one node.
    pub async fn configure(&mut self, index: usize) {
        self.revision += 1;
        self.apply_records(index, self.revision).await;
    }

    /// Records that were held back reach a node: they end before the newest revision.
    pub async fn configure_late(&mut self, index: usize) {
        self.apply_records(index, self.revision.div_ceil(2)).await;
    }

    async fn apply_records(&self, index: usize, revision: u64) {
        let node = &self.nodes[index % NODES];
        if node.is_up() {
            let records = ApplyRecords(configuration::records_up_to(revision));
            node.context.ask(records).await.expect("applies");
        }
    }

    /// Lets time pass and notes the revisions in force.
    pub async fn advance(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        if time >= PLANNING_INTERVAL {
            self.plan().await;
        }
        for node in self.nodes.iter().filter(|node| node.is_up()) {
            let revision = node.context.ask(CurrentRevision).await.expect("answers");
            let mut history = self.history.lock().expect("history");
            history.revisions.push((node.address, node.run, revision.0));
        }
    }

    /// Everything seen so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("history")
    }

    pub fn check(&self) {
        oracle::check(&self.history());
    }
}

fn pick<T: Copy>(all: &[T], number: usize) -> Option<T> {
    (!all.is_empty()).then(|| all[number % all.len()])
}

/// The address of a node.
fn address(index: usize) -> SocketAddr {
    const FIRST_PORT: u16 = 7_000;
    let port = FIRST_PORT + u16::try_from(index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}
