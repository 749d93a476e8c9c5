//! Checks of a whole scenario: every mistake in one report.

use std::collections::BTreeSet;

use miette::Diagnostic;
use tallybridge_core::ServiceName;
use thiserror::Error;

use super::{FaultAction, Scenario};

/// One mistake of a scenario.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{field}: given {given}, allowed: {allowed}")]
pub struct Mistake {
    /// Field, with the entry it belongs to.
    pub field: String,
    /// What was given.
    pub given: String,
    /// What is allowed.
    pub allowed: String,
}

/// Most back ends of a scenario: each is two processes on one machine.
const MAX_BACKENDS: usize = 100;

/// Longest run, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Highest rate of root requests, in requests a second.
const MAX_RATE: f64 = 20_000.0;

struct Checker<'a> {
    scenario: &'a Scenario,
    mistakes: Vec<Mistake>,
}

impl Scenario {
    /// Every mistake of the scenario, in the order of the file.
    #[must_use]
    pub fn mistakes(&self) -> Vec<Mistake> {
        let mut checker = Checker {
            scenario: self,
            mistakes: Vec::new(),
        };
        checker.check_deployment();
        checker.check_call_graph();
        checker.check_kinds();
        checker.check_phases();
        checker.check_faults();
        checker.mistakes
    }
}

impl Checker<'_> {
    fn require(&mut self, holds: bool, field: &str, given: impl ToString, allowed: &str) {
        if !holds {
            self.mistakes.push(Mistake {
                field: field.to_owned(),
                given: given.to_string(),
                allowed: allowed.to_owned(),
            });
        }
    }

    fn check_deployment(&mut self) {
        let scenario = self.scenario;
        self.require(!scenario.zones.is_empty(), "zones", "none", "at least one");
        self.require(
            !scenario.tenants.is_empty(),
            "tenants",
            "none",
            "at least one",
        );
        self.require(
            (1..=MAX_BACKENDS).contains(&scenario.backend_count()),
            "service.backends",
            scenario.backend_count(),
            "1 to 100 in all",
        );
        for latency in [scenario.zone_latency_ms, scenario.client_latency_ms] {
            self.require(
                (0.0..=1_000.0).contains(&latency),
                "zone_latency_ms or client_latency_ms",
                latency,
                "0 to 1000",
            );
        }
        for tenant in &scenario.tenants {
            let known = scenario
                .configuration
                .tenants
                .iter()
                .any(|configured| configured.name == *tenant);
            self.require(known, "tenants", tenant, "a tenant of the configuration");
        }
        for service in &scenario.service {
            let field = format!("service `{}`", service.name);
            self.require(service.slots > 0, &format!("{field} slots"), 0, "1 or more");
            self.require(
                service.connections > 0,
                &format!("{field} connections"),
                0,
                "1 or more",
            );
            self.require(
                service.cold_factor >= 1.0,
                &format!("{field} cold_factor"),
                service.cold_factor,
                "1 or more",
            );
        }
    }

    fn check_call_graph(&mut self) {
        for service in &self.scenario.service {
            for endpoint in &service.endpoint {
                let field = format!("endpoint `{}/{}`", service.name, endpoint.path);
                for call in &endpoint.calls {
                    self.check_call(&format!("{field} calls"), &call.service, &call.path);
                }
                let mut visited = BTreeSet::new();
                let cyclic = self.reaches_itself(&service.name, &endpoint.path, &mut visited);
                self.require(!cyclic, &field, "a call graph with a cycle", "no cycles");
            }
        }
    }

    fn check_call(&mut self, field: &str, service: &ServiceName, path: &str) {
        let found = self
            .scenario
            .service(service)
            .and_then(|service| service.endpoint(path));
        self.require(
            found.is_some(),
            field,
            format!("{service}/{path}"),
            "a service and path of the scenario",
        );
    }

    fn reaches_itself(
        &self,
        service: &ServiceName,
        path: &str,
        on_way: &mut BTreeSet<(ServiceName, String)>,
    ) -> bool {
        let Some(endpoint) = self
            .scenario
            .service(service)
            .and_then(|service| service.endpoint(path))
        else {
            return false;
        };
        let place = (service.clone(), path.to_owned());
        if !on_way.insert(place.clone()) {
            return true;
        }
        let cyclic = endpoint
            .calls
            .iter()
            .any(|call| self.reaches_itself(&call.service, &call.path, on_way));
        on_way.remove(&place);
        cyclic
    }

    fn check_kinds(&mut self) {
        let document = self.scenario.document();
        for kind in &self.scenario.kind {
            let field = format!("kind `{}`", kind.name);
            self.check_call(&field, &kind.service, &kind.path);
            self.require(
                (1..=20).contains(&kind.attempts),
                &format!("{field} attempts"),
                kind.attempts,
                "1 to 20",
            );
            let method = self
                .scenario
                .service(&kind.service)
                .and_then(|service| service.endpoint(&kind.path))
                .map_or("GET", |endpoint| endpoint.method.as_str());
            let path = format!("/{}", kind.path);
            for tenant in &self.scenario.tenants {
                let policy = document.policy(tenant, &kind.service, method, &path);
                self.require(
                    policy.is_some(),
                    &format!("{field} path"),
                    &path,
                    "one that a template covers",
                );
            }
        }
    }

    fn check_phases(&mut self) {
        let scenario = self.scenario;
        self.require(!scenario.phase.is_empty(), "phase", "none", "at least one");
        self.require(
            scenario.seconds() <= MAX_SECONDS,
            "phase.seconds",
            scenario.seconds(),
            "3600 in all",
        );
        for phase in &scenario.phase {
            let field = format!("phase `{}`", phase.name);
            self.require(
                phase.seconds > 0.0,
                &format!("{field} seconds"),
                phase.seconds,
                "above 0",
            );
            for rate in [phase.rate, phase.end_rate.unwrap_or(phase.rate)] {
                self.require(
                    (0.0..=MAX_RATE).contains(&rate),
                    &format!("{field} rate"),
                    rate,
                    "0 to 20000",
                );
            }
            self.require(
                !phase.mix.is_empty(),
                &format!("{field} mix"),
                "none",
                "at least one kind",
            );
            for share in &phase.mix {
                self.require(
                    scenario.kind(&share.kind).is_some(),
                    &format!("{field} mix"),
                    &share.kind,
                    "a kind of the scenario",
                );
                self.require(
                    share.weight > 0.0,
                    &format!("{field} mix `{}` weight", share.kind),
                    share.weight,
                    "above 0",
                );
            }
        }
    }

    fn check_faults(&mut self) {
        let scenario = self.scenario;
        let names = scenario.backend_names();
        for fault in &scenario.fault {
            let end = fault.at_seconds + fault.seconds;
            self.require(
                fault.at_seconds >= 0.0 && fault.seconds >= 0.0 && end <= scenario.seconds(),
                "fault at_seconds and seconds",
                format!("{} and {}", fault.at_seconds, fault.seconds),
                "within the phases",
            );
            if let Some(target) = fault.action.target() {
                self.require(
                    names.iter().any(|name| name == target),
                    "fault target",
                    target,
                    "a back end's name, such as `service-0`",
                );
            }
            if let FaultAction::Slow { service, factor } = &fault.action {
                let known = scenario.service(&service.as_str().into()).is_some();
                self.require(known, "fault service", service, "a service of the scenario");
                self.require(*factor >= 1.0, "fault factor", factor, "1 or more");
            }
        }
    }
}

impl Scenario {
    /// Names of all back ends, service by service, numbered from 0.
    #[must_use]
    pub fn backend_names(&self) -> Vec<String> {
        self.service
            .iter()
            .flat_map(|service| {
                (0..service.backends).map(move |number| format!("{}-{number}", service.name))
            })
            .collect()
    }
}
