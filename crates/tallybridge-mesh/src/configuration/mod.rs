//! The configuration that the platform's operator owns: routes, services and limits, by version.

pub mod tenants;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use self::tenants::TenantDirectory;
use crate::http::HttpLimits;

/// What may be done with a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// A large answer; it may run more than once.
    Download,
}

impl RouteKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePart {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// How requests of one host and path prefix are treated.
#[derive(Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// What its paths begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time in which an answer is worth most.
    pub target_latency: Duration,
    /// Its rank; 0 is the most important.
    pub priority: u8,
    /// Most back ends that a request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// The services that share its requests.
    pub parts: Vec<RoutePart>,
    /// Requests that took a part so far, for an even spread.
    pub taken: AtomicU64,
}

impl Route {
    /// A number that all nodes give to calls of this route.
    #[must_use]
    pub fn number(&self) -> u16 {
        (xxh3_64(self.name.as_bytes()) >> (u64::BITS - u16::BITS)) as u16
    }

    /// The service of the next request. The parts are spread by their weights over each run of
    /// requests, not by chance, so that few requests already show the weights.
    pub fn next_service(&self) -> Option<&Arc<str>> {
        if let [part] = &self.parts[..] {
            return Some(&part.service);
        }
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.parts.first().map(|part| &part.service);
        }
        // A step that shares no factor with the total visits each residue once in a round.
        let step = coprime_step(total);
        let taken = self.taken.fetch_add(1, Ordering::Relaxed);
        let mut point = (taken % total) * step % total;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(&part.service);
            }
            point -= weight;
        }
        None
    }
}

/// A step near the golden section of `total` that shares no factor with it.
fn coprime_step(total: u64) -> u64 {
    let golden = (total as f64 * 0.618) as u64;
    (golden.max(1)..total.max(2))
        .find(|step| greatest_common_divisor(*step, total) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        left
    } else {
        greatest_common_divisor(right, left % right)
    }
}

/// How back ends of one service are spoken to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The service.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that a back end accepts from all callers together.
    pub max_connections: usize,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Its version; versions only grow.
    pub version: u64,
    /// Its services by name.
    pub services: HashMap<Arc<str>, ServicePolicy>,
    /// What callers may send.
    pub limits: HttpLimits,
    /// Whose key each is; `None` where requests carry no keys.
    pub tenants: Option<TenantDirectory>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// A configuration with an index of its routes.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServicePolicy>,
        limits: HttpLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in hosts.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            services,
            limits,
            tenants: None,
            hosts,
        }
    }

    /// The same configuration, where requests carry keys of these tenants.
    #[must_use]
    pub fn with_tenants(mut self, tenants: TenantDirectory) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// The route of a request: of its host's routes the one with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let path = path_of(target);
        let host = host_name(host);
        let of_host = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        of_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// The path of a target, which may be in absolute form.
fn path_of(target: &str) -> &str {
    let path = target
        .strip_prefix("http://")
        .and_then(|rest| rest.find('/').map(|start| &rest[start..]))
        .unwrap_or(target);
    path.split('?').next().unwrap_or(path)
}

/// The name in a host header, without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
