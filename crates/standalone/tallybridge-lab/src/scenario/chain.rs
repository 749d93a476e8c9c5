//! The calls that one root request makes, with how each is to be treated.

use std::collections::BTreeMap;

use tallybridge_config::Document;
use tallybridge_core::{Criticality, ServiceName, TenantName};

use super::{Endpoint, Kind, Scenario};
use crate::standin::backend::CallPlace;

/// One call of a root request's chain.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainCall {
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// Class: at least that of the root.
    pub criticality: Criticality,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Own work, in milliseconds; 0 where no slot is held.
    pub own_ms: f64,
}

/// Walks the call graph of one kind and tenant.
struct Walk<'a> {
    scenario: &'a Scenario,
    document: &'a Document,
    tenant: &'a TenantName,
    calls: BTreeMap<String, ChainCall>,
}

impl Scenario {
    /// The calls of a kind's chain by position.
    #[must_use]
    pub fn chain(
        &self,
        document: &Document,
        kind: &Kind,
        tenant: &TenantName,
    ) -> BTreeMap<String, ChainCall> {
        let mut walk = Walk {
            scenario: self,
            document,
            tenant,
            calls: BTreeMap::new(),
        };
        let root = CallPlace::root(&kind.path, 0);
        walk.visit(&kind.service, &root, Criticality::Sheddable);
        walk.calls
    }

    /// The class of a kind's root call.
    #[must_use]
    pub fn criticality(
        &self,
        document: &Document,
        kind: &Kind,
        tenant: &TenantName,
    ) -> Criticality {
        self.chain(document, kind, tenant)
            .get(CallPlace::ROOT)
            .map_or(Criticality::default(), |call| call.criticality)
    }
}

impl Walk<'_> {
    fn visit(&mut self, service: &ServiceName, place: &CallPlace, at_least: Criticality) {
        let endpoint = self
            .scenario
            .service(service)
            .and_then(|service| service.endpoint(&place.endpoint));
        let Some(endpoint) = endpoint else { return };
        let call = self.chain_call(service, endpoint, at_least);
        let criticality = call.criticality;
        self.calls.insert(place.position.clone(), call);
        for (number, nested) in endpoint.calls.iter().enumerate() {
            let nested_place = place.nested(&nested.path, number);
            self.visit(&nested.service, &nested_place, criticality);
        }
    }

    fn chain_call(
        &self,
        service: &ServiceName,
        endpoint: &Endpoint,
        at_least: Criticality,
    ) -> ChainCall {
        let path = format!("/{}", endpoint.path);
        let policy = self
            .document
            .policy(self.tenant, service, &endpoint.method, &path);
        ChainCall {
            service: service.clone(),
            path: endpoint.path.clone(),
            criticality: policy
                .as_ref()
                .map_or(at_least, |policy| policy.criticality.max(at_least)),
            idempotent: policy.is_none_or(|policy| policy.idempotent),
            own_ms: if endpoint.takes_slot {
                endpoint.service_time.mean_ms
            } else {
                0.0
            },
        }
    }
}
