//! The configuration of the fleet: routes, services, limits and tenants.
//!
//! The platform's operator owns the configuration, and the platform adapter decodes its document
//! into these types ([`Platform::configuration`](crate::platform::Platform::configuration)). This
//! module finds the route of a request. [`tasks::configuration`](crate::tasks::configuration)
//! decides which version is in force.

mod route;
mod split;
pub mod tenants;

use std::{collections::HashMap, sync::Arc};

use self::tenants::TenantDirectory;
pub use self::{
    route::{Route, RouteKind},
    split::{TrafficSplit, WeightedService},
};
use crate::http::HttpLimits;

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServicePolicy>,
    /// Limits on the HTTP requests of callers.
    pub limits: HttpLimits,
    /// Tenants by key, or `None` if requests need no keys.
    pub tenants: Option<TenantDirectory>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Creates a configuration without tenants, and indexes its routes by host.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServicePolicy>,
        limits: HttpLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = hosts.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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

    /// Sets the tenants whose keys requests must carry.
    #[must_use]
    pub fn with_tenants(mut self, tenants: TenantDirectory) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// Returns the route of the host with the longest prefix that matches the path of `target`.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let path = target_path(target);
        let host = without_port(host);
        let host_routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Iterates over the routes of all hosts, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

/// Rules for calls to the back ends of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the health check of its back ends.
    pub health_path: String,
    /// Maximum number of connections that one back end accepts from all callers together.
    pub max_connections: usize,
}

/// Returns the path of a request target, which may be in absolute form, without its query.
fn target_path(target: &str) -> &str {
    let path = target
        .strip_prefix("http://")
        .and_then(|authority_and_path| {
            authority_and_path
                .find('/')
                .map(|start| &authority_and_path[start..])
        })
        .unwrap_or(target);
    path.split('?').next().unwrap_or(path)
}

/// Returns the name in a host header without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
