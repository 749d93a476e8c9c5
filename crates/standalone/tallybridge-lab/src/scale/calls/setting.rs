//! Settings and configuration of the nodes that calls are measured on.

use std::net::SocketAddr;

use tallybridge_config::{
    Edit, Revision, RevisionRecord, Settings, Template, Tenant, settings::BackendSettings,
    template::RetryOn,
};
use tallybridge_core::{Criticality, RegionName, ServiceName, TemplateName, TenantName, ZoneName};

/// The service that is called.
pub const SERVICE: &str = "called";
/// The tenant that calls.
pub const TENANT: &str = "tenant";

/// Settings of a node at an address.
pub fn settings(address: SocketAddr, backend: Option<BackendSettings>) -> Settings {
    let unused = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        peer_address: address,
        caller_address: unused,
        admin_address: unused,
        region: RegionName::from("region"),
        zone: ZoneName::from("zone"),
        rack: String::new(),
        backend,
        store: Vec::new(),
        machine_list: None,
        seeds: Vec::new(),
        log: String::new(),
        drain_ms: 0,
    }
}

/// A back end of the called service.
pub fn backend(address: SocketAddr, limit: u16) -> BackendSettings {
    BackendSettings {
        service: ServiceName::from(SERVICE),
        address,
        max_connections: limit,
        initial_limit: limit,
    }
}

/// The first revision: one template, one tenant.
pub fn first_revision(deadline_ms: u32) -> RevisionRecord {
    RevisionRecord {
        revision: Revision::default().next(),
        change_id: uuid::Uuid::nil(),
        author: "scale".to_owned(),
        made_unix_ms: 0,
        comment: String::new(),
        edits: vec![
            Edit::PutTemplate(template("any", SERVICE, "/", deadline_ms)),
            Edit::PutTenant(Tenant {
                name: TenantName::from(TENANT),
                overrides: Vec::new(),
            }),
        ],
    }
}

/// A template of a service and a path.
pub fn template(name: &str, service: &str, path_prefix: &str, deadline_ms: u32) -> Template {
    Template {
        name: TemplateName::from(name),
        service: ServiceName::from(service),
        methods: Vec::new(),
        path_prefix: path_prefix.to_owned(),
        criticality: Criticality::default(),
        idempotent: true,
        retry_on: RetryOn::NotRun,
        retry_allowance: 2,
        deadline_ms,
        parent: None,
        max_request_bytes: 1 << 20,
        max_answer_bytes: 1 << 20,
        concurrency_limit: None,
        reserve: 0,
    }
}
