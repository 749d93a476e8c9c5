//! Starts the machines of a run.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tallybridge_config::settings::{BackendSettings as NodeBackendSettings, Settings};

use super::{
    ChildProcess, LoopbackMachine, Machine, MachineAddresses, Platform, ProcessError, files,
};
use crate::{
    policy::{
        Policy,
        router::{RoutedService, RouterSettings},
    },
    scenario::{Endpoint, Scenario, Service},
    standin::backend::{BackendSettings, Control, EndpointSettings, NestedCallSettings},
};

/// Retries that a router of the static policy makes at each hop.
const STATIC_RETRIES: u32 = 3;

/// Connections that a node leaves free of those its back end accepts, for the lab itself.
const SPARE_CONNECTIONS: usize = 10;

/// What is known of a machine before its processes start.
struct Place<'a> {
    service: &'a Service,
    name: String,
    zone: usize,
    addresses: MachineAddresses,
}

/// Starts the processes of one run.
pub(super) struct Starter<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    directory: &'a Path,
    places: Vec<Place<'a>>,
}

impl<'a> Starter<'a> {
    /// Finds a place for each machine.
    pub(super) fn new(
        scenario: &'a Scenario,
        policy: Policy,
        directory: &'a Path,
    ) -> Result<Self, ProcessError> {
        let mut places = Vec::new();
        for service in &scenario.service {
            for number in 0..service.backends {
                let machine = u8::try_from(places.len()).unwrap_or(u8::MAX);
                let addresses = LoopbackMachine::new(machine)
                    .addresses()
                    .map_err(ProcessError::io("find free ports"))?;
                places.push(Place {
                    service,
                    name: format!("{}-{number}", service.name),
                    zone: number % scenario.zones.len(),
                    addresses,
                });
            }
        }
        Ok(Self {
            scenario,
            policy,
            directory,
            places,
        })
    }

    /// Starts all machines; they are not ready then.
    pub(super) fn start_machines(
        &self,
        platform: Option<&Platform>,
    ) -> Result<Vec<Machine>, ProcessError> {
        (0..self.places.len())
            .map(|number| self.start_machine(number, platform))
            .collect()
    }

    fn start_machine(
        &self,
        number: usize,
        platform: Option<&Platform>,
    ) -> Result<Machine, ProcessError> {
        let place = &self.places[number];
        let execution_log = self.file(&place.name, "executions");
        let backend = self.start_backend(number, &execution_log)?;
        let node = match platform {
            Some(platform) => self.start_node(place, platform)?,
            None => self.start_router(place)?,
        };
        Ok(Machine {
            name: place.name.clone(),
            service: place.service.name.clone(),
            zone: self.scenario.zones[place.zone].clone(),
            addresses: place.addresses,
            execution_log,
            backend,
            node,
            control: Control::default(),
        })
    }

    fn start_backend(
        &self,
        number: usize,
        execution_log: &Path,
    ) -> Result<ChildProcess, ProcessError> {
        let Place {
            service,
            name,
            addresses,
            ..
        } = &self.places[number];
        let settings = BackendSettings {
            name: name.clone(),
            service: service.name.clone(),
            address: addresses.backend,
            caller_address: addresses.caller,
            slots: service.slots,
            queue: service.queue,
            connections: service.connections,
            connection_cost_ms: service.connection_cost_ms,
            cold_start_ms: service.cold_start_ms,
            cold_factor: service.cold_factor,
            health_lag_ms: service.health_lag_ms,
            seed: self.scenario.seed.wrapping_add(number as u64),
            endpoints: self.endpoint_settings(service),
            execution_log: execution_log.to_owned(),
        };
        let path = self.file(name, "backend.json");
        files::write_json(&path, &settings)?;
        let arguments = files::with_settings(&["stand-in", "backend"], &path);
        ChildProcess::start(name, arguments, &self.file(name, "backend.log"))
    }

    fn start_node(
        &self,
        place: &Place<'_>,
        platform: &Platform,
    ) -> Result<ChildProcess, ProcessError> {
        let connections = place.service.connections.saturating_sub(SPARE_CONNECTIONS);
        let settings = Settings {
            peer_address: place.addresses.peer,
            caller_address: place.addresses.caller,
            admin_address: place.addresses.admin,
            region: self.scenario.region.clone(),
            zone: self.scenario.zones[place.zone].clone(),
            rack: String::new(),
            backend: Some(NodeBackendSettings {
                service: place.service.name.clone(),
                address: place.addresses.backend,
                max_connections: u16::try_from(connections.max(1)).unwrap_or(u16::MAX),
                initial_limit: u16::try_from(place.service.slots).unwrap_or(u16::MAX),
            }),
            store: vec![platform.store],
            machine_list: Some(platform.machine_list),
            seeds: Vec::new(),
            log: "warn".to_owned(),
            drain_ms: 10_000,
        };
        let path = self.file(&place.name, "node.toml");
        files::write_toml(&path, &settings)?;
        let arguments = files::node_command(&path);
        ChildProcess::start(
            &format!("node of {}", place.name),
            arguments,
            &self.file(&place.name, "node.log"),
        )
    }

    fn start_router(&self, place: &Place<'_>) -> Result<ChildProcess, ProcessError> {
        let is_static = self.policy == Policy::Static;
        let routed = |service: &Service| RoutedService {
            backends: self.backend_addresses(service),
            limit: is_static.then_some(service.slots),
        };
        let settings = RouterSettings {
            address: place.addresses.caller,
            services: self
                .scenario
                .service
                .iter()
                .map(|service| (service.name.to_string(), routed(service)))
                .collect(),
            retries: if is_static { STATIC_RETRIES } else { 0 },
        };
        let path = self.file(&place.name, "router.json");
        files::write_json(&path, &settings)?;
        let arguments = files::with_settings(&["stand-in", "router"], &path);
        ChildProcess::start(
            &format!("router of {}", place.name),
            arguments,
            &self.file(&place.name, "router.log"),
        )
    }

    fn backend_addresses(&self, service: &Service) -> Vec<SocketAddr> {
        self.places
            .iter()
            .filter(|place| place.service.name == service.name)
            .map(|place| place.addresses.backend)
            .collect()
    }

    fn endpoint_settings(&self, service: &Service) -> Vec<EndpointSettings> {
        service
            .endpoint
            .iter()
            .map(|endpoint| EndpointSettings {
                path: endpoint.path.clone(),
                service_time: endpoint.service_time,
                answer_bytes: endpoint.answer_bytes,
                takes_slot: endpoint.takes_slot,
                calls: self.nested_call_settings(endpoint),
            })
            .collect()
    }

    fn nested_call_settings(&self, endpoint: &Endpoint) -> Vec<NestedCallSettings> {
        endpoint
            .calls
            .iter()
            .filter_map(|call| {
                let called = self.scenario.service(&call.service)?.endpoint(&call.path)?;
                Some(NestedCallSettings {
                    service: call.service.clone(),
                    path: call.path.clone(),
                    method: called.method.clone(),
                    retries: call.retries,
                    answer_bytes: called.answer_bytes,
                })
            })
            .collect()
    }

    fn file(&self, name: &str, suffix: &str) -> PathBuf {
        files::file(self.directory, name, suffix)
    }
}
