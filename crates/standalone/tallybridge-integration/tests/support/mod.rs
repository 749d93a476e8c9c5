//! A chain of services in one process: each with a back end, a node beside it and real sockets.
#![allow(dead_code, reason = "each test file uses its own part")]

mod backend;
pub mod fleet;
pub mod switch;

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
};

use tallybridge_claims::{Candidate, PartitionMap, Presence, plan};
use tallybridge_config::{
    Edit, Revision, RevisionRecord, Settings, Template, Tenant, settings::BackendSettings,
};
use tallybridge_core::{RegionName, ServiceName, TenantName, ZoneName, header};
use tallybridge_node::{
    RunningNode,
    actor::{
        claims::{ApplyPartitionMap, GetMapRecords},
        configuration::ApplyRecords,
        status::GetStatus,
    },
    start,
};
use tokio::sync::RwLock;

use self::backend::Backend;

pub const TENANT: &str = "market";

/// Time between two looks at a state that is waited for.
const POLL: std::time::Duration = std::time::Duration::from_millis(20);

/// One service of the chain.
pub struct Hop {
    pub node: RunningNode,
    pub settings: Settings,
    pub executions: Arc<Mutex<Vec<String>>>,
    /// Back ends run a call only while nobody holds it for writing.
    pub hold: Arc<RwLock<()>>,
    /// Call tokens of the executions.
    pub tokens: Arc<Mutex<Vec<String>>>,
    /// Whether the back end answers with status 500.
    pub fails: Arc<AtomicBool>,
    /// Status with which the back end says, after its nested call, that it has not run; 0 for never.
    pub hands_on: Arc<AtomicU16>,
}

/// Which service each node's back end belongs to, and whether a back end calls the next service.
struct Layout {
    services: Vec<usize>,
    chained: bool,
    /// The store that the nodes use; without one they are given their partition map.
    store: Option<SocketAddr>,
}

/// A chain in which each back end calls the service after it, through its own node.
pub struct Chain {
    pub hops: Vec<Hop>,
    pub client: reqwest::Client,
}

/// Addresses handed out so far.
static ADDRESSES: AtomicU16 = AtomicU16::new(0);

/// A free address on a loopback IP of its own, where no outgoing connection of another test can
/// take the port between here and its use.
pub fn free_address() -> SocketAddr {
    const VALUES: u16 = 250;
    let process = u8::try_from(std::process::id() % u32::from(VALUES)).expect("fits");
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let [high, low] = [number / VALUES, number % VALUES].map(|part| 1 + part as u8);
    let ip = Ipv4Addr::new(127, 1 + process, high, low);
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

pub fn template(text: &str) -> Template {
    let file = tallybridge_config::ConfigurationFile::parse("test.toml", text);
    let mut file = file.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
    file.templates.remove(0)
}

fn service_name(position: usize) -> String {
    format!("service-{position}")
}

fn default_template(position: usize) -> Template {
    let service = service_name(position);
    template(&format!(
        "[[template]]\nname = \"{service}-any\"\nservice = \"{service}\"\n"
    ))
}

fn settings(position: usize, backend: SocketAddr) -> Settings {
    Settings {
        peer_address: free_address(),
        caller_address: free_address(),
        admin_address: free_address(),
        region: RegionName::from("south"),
        zone: ZoneName::from("a"),
        rack: String::new(),
        backend: Some(BackendSettings {
            service: ServiceName::from(service_name(position)),
            address: backend,
            max_connections: 32,
            initial_limit: 16,
        }),
        store: vec![free_address()],
        machine_list: None,
        seeds: Vec::new(),
        log: "warn".to_owned(),
        drain_ms: 5_000,
    }
}

fn candidate(hop: &Hop) -> Candidate {
    Candidate {
        node: hop.node.context.identity,
        region: hop.settings.region.clone(),
        zone: hop.settings.zone.clone(),
        rack: hop.settings.rack.clone(),
        presence: Presence::Live,
    }
}

async fn has_epoch(hop: &Hop, epoch: u64) -> bool {
    let wanted = GetMapRecords {
        reports_wanted: true,
    };
    let records = hop.node.context.ask(wanted).await.expect("records");
    let own = hop.node.context.identity;
    let partitions: Vec<_> = records.map.iter().collect();
    !partitions.is_empty()
        && partitions.iter().all(|(partition, entry)| {
            let is_synchronised = || {
                let mut synchronised = records.synchronised.iter();
                synchronised.any(|one| one.partition == *partition && one.epoch == entry.epoch)
            };
            entry.epoch >= epoch && (entry.replica(own).is_none() || is_synchronised())
        })
}

impl Chain {
    /// Starts a chain of `depth` services, with the given templates or plain ones.
    pub async fn start(depth: usize, templates: Option<Vec<Template>>) -> Self {
        let layout = Layout {
            services: (0..depth).collect(),
            chained: true,
            store: None,
        };
        Self::start_layout(&layout, templates).await
    }

    /// Starts a chain whose nodes keep their partition map in a store.
    pub async fn start_with_store(
        depth: usize,
        templates: Vec<Template>,
        store: SocketAddr,
    ) -> Self {
        let layout = Layout {
            services: (0..depth).collect(),
            chained: true,
            store: Some(store),
        };
        Self::start_layout(&layout, Some(templates)).await
    }

    /// Starts nodes whose back ends all belong to the first service.
    pub async fn start_replicated(nodes: usize, templates: Vec<Template>) -> Self {
        let layout = Layout {
            services: vec![0; nodes],
            chained: false,
            store: None,
        };
        Self::start_layout(&layout, Some(templates)).await
    }

    async fn start_layout(layout: &Layout, templates: Option<Vec<Template>>) -> Self {
        let depth = layout.services.len();
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("client");
        let listeners: Vec<_> = (0..depth)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"))
            .collect();
        let all_settings: Vec<_> = listeners
            .iter()
            .enumerate()
            .map(|(position, listener)| {
                settings(
                    layout.services[position],
                    listener.local_addr().expect("an address"),
                )
            })
            .collect();
        let addresses: Vec<_> = all_settings.iter().map(|one| one.peer_address).collect();
        let mut hops = Vec::new();
        for (position, listener) in listeners.into_iter().enumerate() {
            let executions = Arc::default();
            let next = (layout.chained && position + 1 < depth).then(|| {
                format!(
                    "http://{}/call/{}",
                    all_settings[position].caller_address,
                    service_name(position + 1)
                )
            });
            let tokens = Arc::default();
            let hold = Arc::default();
            let fails = Arc::default();
            let hands_on = Arc::default();
            let backend = Backend {
                executions: Arc::clone(&executions),
                tokens: Arc::clone(&tokens),
                hold: Arc::clone(&hold),
                fails: Arc::clone(&fails),
                hands_on: Arc::clone(&hands_on),
                next,
                client: client.clone(),
            };
            backend.spawn(listener);
            let mut settings = Settings {
                seeds: addresses.clone(),
                ..all_settings[position].clone()
            };
            settings.store.extend(layout.store);
            settings.store.reverse();
            let node = start(settings.clone()).await.expect("the node starts");
            hops.push(Hop {
                node,
                settings,
                executions,
                tokens,
                hold,
                fails,
                hands_on,
            });
        }
        let chain = Self { hops, client };
        let templates = templates.unwrap_or_else(|| (0..depth).map(default_template).collect());
        chain.configure(templates.clone()).await;
        chain.meet().await;
        if layout.store.is_none() {
            chain.place_claims().await;
        }
        chain
    }

    async fn configure(&self, templates: Vec<Template>) {
        let mut edits: Vec<_> = templates.into_iter().map(Edit::PutTemplate).collect();
        edits.push(Edit::PutTenant(Tenant {
            name: TenantName::from(TENANT),
            overrides: Vec::new(),
        }));
        let record = RevisionRecord {
            revision: Revision(1),
            change_id: uuid::Uuid::nil(),
            author: "test".to_owned(),
            made_unix_ms: 0,
            comment: String::new(),
            edits,
        };
        for hop in &self.hops {
            let records = ApplyRecords(vec![record.clone()]);
            hop.node.context.ask(records).await.expect("applies");
        }
    }

    /// Waits until every node knows every other.
    async fn meet(&self) {
        for hop in &self.hops {
            loop {
                let status = hop.node.context.ask(GetStatus).await.expect("status");
                let alive = status
                    .members
                    .iter()
                    .filter(|member| member.state == "alive");
                if alive.count() == self.hops.len() {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }

    /// Gives every node the same plan of who holds claims.
    async fn place_claims(&self) {
        let candidates: Vec<_> = self.hops.iter().map(candidate).collect();
        let map = plan(&PartitionMap::default(), &candidates, &BTreeSet::new(), 0);
        for hop in &self.hops {
            let apply = ApplyPartitionMap(map.clone());
            hop.node.context.ask(apply).await.expect("applies");
        }
    }

    /// Ends a node at once and starts another one at its addresses.
    pub async fn replace(&mut self, position: usize, templates: Vec<Template>) {
        let hop = &mut self.hops[position];
        hop.node.context.shutdown.cancel();
        // The addresses are free once the old node's tasks have ended.
        hop.node = loop {
            match start(hop.settings.clone()).await {
                Ok(node) => break node,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        self.configure(templates).await;
        self.meet().await;
    }

    /// Waits until every node has a partition map in which every partition has reached an epoch
    /// and every replica can vote.
    pub async fn wait_for_epoch(&self, epoch: u64) {
        for hop in &self.hops {
            while !has_epoch(hop, epoch).await {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }

    /// Ends a node at once, with its links.
    pub fn kill(&mut self, position: usize) {
        let hop = self.hops.remove(position);
        hop.node.context.shutdown.cancel();
    }

    /// A call to a service of the chain, entering at a node.
    pub fn call(&self, entry: usize, service: usize) -> reqwest::RequestBuilder {
        let address = self.hops[entry].settings.caller_address;
        let url = format!("http://{address}/call/{}/pay", service_name(service));
        self.client.post(url).header(header::TENANT, TENANT)
    }

    pub fn executions(&self, service: usize) -> usize {
        self.hops[service].executions.lock().expect("lock").len()
    }

    pub fn all_executions(&self) -> usize {
        (0..self.hops.len()).map(|hop| self.executions(hop)).sum()
    }

    /// Waits until no node has a call or an execution left.
    pub async fn settle(&self) {
        for hop in &self.hops {
            loop {
                let status = hop.node.context.ask(GetStatus).await.expect("status");
                if status.calls == 0 && status.executions == 0 {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
    }
}
