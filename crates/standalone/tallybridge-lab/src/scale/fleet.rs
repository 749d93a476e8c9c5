//! Hollow nodes in this process.

use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use tallybridge_claims::{
    PartitionMap,
    plan::{Candidate, Presence, plan},
};
use tallybridge_config::{
    Edit, Revision, RevisionRecord, Settings, Tenant, settings::BackendSettings,
};
use tallybridge_core::{InstanceId, NodeId, RegionName, ServiceName, TenantName, ZoneName};
use tallybridge_node::{
    NodeParts, RunningNode,
    actor::{
        claims::ApplyPartitionMap,
        configuration::{ApplyRecords, CurrentRevision},
        fleet::{Leave, Seeds},
        status::{CountMembers, MemberStateOf},
    },
    connections::store::StoreTimes,
    context::NodeContext,
    start_core,
};

use super::{
    counting::{CountingNetwork, Sent, Traffic},
    options::FleetOptions,
    summary::Spread,
};

/// Nodes through which all others join.
const SEEDS: usize = 3;
/// Time between two looks at what the nodes know.
const POLL: Duration = Duration::from_millis(20);
/// Regions that the zones are spread over.
const REGIONS: usize = 2;

struct HollowNode {
    identity: NodeId,
    /// `None` once the node is dead.
    running: Option<RunningNode>,
    traffic: Arc<Traffic>,
}

/// Hollow nodes in this process.
pub struct Fleet {
    nodes: Vec<HollowNode>,
    revision: Revision,
}

impl Fleet {
    /// Starts all nodes at once; few of them are known to the others.
    ///
    /// # Errors
    ///
    /// An error when an address can't be bound.
    pub async fn start(options: &FleetOptions) -> io::Result<Self> {
        let mut networks = Vec::with_capacity(options.nodes);
        for _ in 0..options.nodes {
            networks.push(CountingNetwork::bind().await?);
        }
        let seeds: Vec<SocketAddr> = networks
            .iter()
            .take(SEEDS)
            .map(CountingNetwork::address)
            .collect();
        let mut nodes = Vec::with_capacity(options.nodes);
        for (position, network) in networks.into_iter().enumerate() {
            nodes.push(start_node(position, network, &seeds, options).await?);
        }
        let fleet = Self {
            nodes,
            revision: Revision::default(),
        };
        fleet.share_partition_map().await;
        Ok(fleet)
    }

    /// Gives every node a partition map, as the store would; a node without one looks for it.
    async fn share_partition_map(&self) {
        let candidates: Vec<Candidate> = self
            .live()
            .map(|node| Candidate {
                node: node.identity,
                region: node.settings.region.clone(),
                zone: node.settings.zone.clone(),
                rack: node.settings.rack.clone(),
                presence: Presence::Live,
            })
            .collect();
        let map = plan(&PartitionMap::default(), &candidates, &BTreeSet::new(), 0);
        let asked = self
            .live()
            .map(|node| node.ask(ApplyPartitionMap(map.clone())));
        join_all(asked).await;
    }

    fn live(&self) -> impl Iterator<Item = &NodeContext> {
        let running = self.nodes.iter().filter_map(|node| node.running.as_ref());
        running.map(|node| &node.context)
    }

    /// What each live node has sent so far.
    #[must_use]
    pub fn sent(&self) -> Vec<Sent> {
        let live = self.nodes.iter().filter(|node| node.running.is_some());
        live.map(|node| node.traffic.sent()).collect()
    }

    /// Links that a node has open, mean of the live nodes.
    #[must_use]
    pub fn mean_links(&self) -> f64 {
        let open: usize = self.live().map(|node| node.links.len()).sum();
        open as f64 / self.live().count() as f64
    }

    /// Waits until every node knows every other; `None` when that takes longer than `limit`.
    pub async fn meet(&self, limit: Duration) -> Option<Duration> {
        /// A look at all tables is dear, so it is taken rarely.
        const MEET_POLL: Duration = Duration::from_millis(500);
        let count = self.nodes.len();
        let began = Instant::now();
        while began.elapsed() < limit {
            tokio::time::sleep(MEET_POLL).await;
            let asked = join_all(self.live().map(|node| node.ask(CountMembers))).await;
            if asked.iter().all(|known| *known == Ok(count)) {
                return Some(began.elapsed());
            }
        }
        None
    }

    /// Puts the next revision in force at one node, as if it had read it from the store.
    pub async fn change(&mut self, position: usize) {
        let record = RevisionRecord {
            revision: self.revision.next(),
            change_id: uuid::Uuid::nil(),
            author: "scale".to_owned(),
            made_unix_ms: 0,
            comment: "one parameter of one tenant".to_owned(),
            edits: vec![Edit::PutTenant(Tenant {
                name: TenantName::from("tenant"),
                overrides: Vec::new(),
            })],
        };
        self.revision = record.revision;
        if let Some(node) = &self.nodes[position].running {
            // Fails only when the node is stopping.
            let _ = node.context.ask(ApplyRecords(vec![record])).await;
        }
    }

    /// Times until the newest revision is in force at each node.
    pub async fn time_revision(&self, limit: Duration) -> Spread {
        let revision = self.revision;
        self.time_until(limit, async |node: &NodeContext| {
            node.ask(CurrentRevision).await == Ok(revision)
        })
        .await
    }

    /// Ends a node without a word and times until each other node knows.
    pub async fn time_death(&mut self, position: usize, limit: Duration) -> Spread {
        let dead = self.nodes[position].identity;
        if let Some(node) = self.nodes[position].running.take() {
            node.context.shutdown.cancel();
        }
        self.time_until(limit, async |node: &NodeContext| {
            !takes_work(node, dead).await
        })
        .await
    }

    /// Makes a node leave and times until each other node knows.
    pub async fn time_leave(&self, position: usize, limit: Duration) -> Spread {
        let leaver = self.nodes[position].identity;
        if let Some(node) = &self.nodes[position].running {
            // Fails only when the node is stopping.
            let _ = node.context.ask(Leave).await;
        }
        self.time_until(limit, async |node: &NodeContext| {
            !takes_work(node, leaver).await
        })
        .await
    }

    /// Members that live and are held dead, over all nodes.
    pub async fn wrongly_dead(&self) -> usize {
        let live = self.live().count();
        let counts = join_all(self.live().map(|node| node.ask(CountMembers))).await;
        let known = counts.into_iter().map(|count| count.unwrap_or(0));
        known.map(|known| live.saturating_sub(known)).sum()
    }

    async fn time_until(
        &self,
        limit: Duration,
        holds: impl AsyncFn(&NodeContext) -> bool,
    ) -> Spread {
        let began = Instant::now();
        let mut waiting: Vec<&NodeContext> = self.live().collect();
        let mut seconds = Vec::with_capacity(waiting.len());
        while !waiting.is_empty() && began.elapsed() < limit {
            let hold = join_all(waiting.iter().map(|node| holds(node))).await;
            let elapsed = began.elapsed().as_secs_f64();
            let mut hold = hold.into_iter();
            waiting.retain(|_| {
                let done = hold.next().unwrap_or(false);
                if done {
                    seconds.push(elapsed);
                }
                !done
            });
            tokio::time::sleep(POLL).await;
        }
        Spread::of(seconds, waiting.len())
    }
}

async fn takes_work(node: &NodeContext, member: NodeId) -> bool {
    use tallybridge_membership::MemberState;
    let state = node.ask(MemberStateOf(member)).await;
    matches!(state, Ok(Some(MemberState::Alive | MemberState::Suspect)))
}

async fn start_node(
    position: usize,
    network: CountingNetwork,
    seeds: &[SocketAddr],
    options: &FleetOptions,
) -> io::Result<HollowNode> {
    let settings = settings(position, network.address(), options);
    let traffic = network.traffic();
    let parts = NodeParts {
        network: Arc::new(network),
        backend: None,
        instance: InstanceId::random(),
        store_times: StoreTimes::default(),
    };
    let running = start_core(settings, parts)
        .await
        .map_err(io::Error::other)?;
    let seeds = Seeds(seeds.to_vec());
    running.context.ask(seeds).await.map_err(io::Error::other)?;
    Ok(HollowNode {
        identity: running.context.identity,
        running: Some(running),
        traffic,
    })
}

fn settings(position: usize, address: SocketAddr, options: &FleetOptions) -> Settings {
    // A hollow node serves neither callers nor operators.
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let zone = position % options.zones;
    Settings {
        peer_address: address,
        caller_address: unused,
        admin_address: unused,
        region: RegionName::from(format!("region-{}", zone % REGIONS)),
        zone: ZoneName::from(format!("zone-{zone}")),
        rack: String::new(),
        backend: Some(BackendSettings {
            service: ServiceName::from(format!("service-{}", position % options.services)),
            address: unused,
            max_connections: 64,
            initial_limit: 8,
        }),
        store: Vec::new(),
        machine_list: None,
        seeds: Vec::new(),
        log: String::new(),
        drain_ms: 0,
    }
}
