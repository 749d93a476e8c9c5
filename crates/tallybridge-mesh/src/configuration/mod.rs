//! The configuration that the platform's operator owns: routes, services, limits and tenants, by version.
//!
//! Owns the types and the look-up of a request's route; the adapter decodes the operator's document
//! into them ([`Platform::configuration`](crate::platform::Platform::configuration)). Which version
//! is in force, and how it is learned: [`tasks::configuration`](crate::tasks::configuration).

mod route;
pub mod tenants;

use std::{collections::HashMap, sync::Arc};

pub use self::route::{Route, RouteKind, RoutePart};
use self::tenants::TenantDirectory;
use crate::http::HttpLimits;

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Its version; versions only grow.
    pub version: u64,
    /// Its services by name.
    pub services: HashMap<Arc<str>, ServicePolicy>,
    /// Bounds of what callers may send.
    pub limits: HttpLimits,
    /// The tenants, by their keys; `None` where requests carry no keys.
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

/// How back ends of one service are called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The service.
    pub name: Arc<str>,
    /// Path of their health check.
    pub health_path: String,
    /// Most connections that one of its back ends accepts from all callers together.
    pub max_connections: usize,
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
