//! Time of single decisions against what the tables hold.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tallybridge_config::{Document, Edit, PolicyIndex, RevisionRecord, Tenant};
use tallybridge_core::{
    Criticality, InstanceId, LoadReport, NodeId, RequestKey, ServiceName, TenantName,
};
use tallybridge_node::{
    systems::{
        begin::{self, CallRequest, Origin},
        retry::{self, AttemptEnd},
        tick,
    },
    tables::{Tables, configuration::Configuration},
};
use tallybridge_routing::Endpoint;

use super::{
    calls::setting::{first_revision, settings, template},
    summary::DecisionFigure,
    usage,
};

/// Templates of each service.
const TEMPLATES_PER_SERVICE: usize = 5;
/// Zones of the endpoints.
const ZONES: usize = 6;
/// Processor time over which one figure is taken.
const BUDGET: Duration = Duration::from_millis(300);

/// What the tables hold.
#[derive(Debug, Clone, Copy)]
struct Size {
    services: usize,
    tenants: usize,
    endpoints: usize,
    in_flight: usize,
}

const SMALL: Size = Size {
    services: 1,
    tenants: 1,
    endpoints: 17,
    in_flight: 0,
};
const DESIGN: Size = Size {
    services: 54,
    tenants: 10_000,
    endpoints: 920,
    in_flight: 1_000,
};
/// Each size differs from the design size in one number.
const SIZES: [Size; 5] = [
    SMALL,
    DESIGN,
    Size {
        services: 540,
        ..DESIGN
    },
    Size {
        endpoints: 9_200,
        ..DESIGN
    },
    Size {
        in_flight: 20_000,
        ..DESIGN
    },
];

/// Times every decision at every size.
pub fn measure() -> Vec<DecisionFigure> {
    let mut figures = Vec::new();
    for size in SIZES {
        figures.push(figure("policy by index", size, indexed_policy_nanos(size)));
        figures.push(figure("policy by every template", size, policy_nanos(size)));
        figures.push(figure("call from begin to end", size, call_nanos(size)));
        figures.push(figure(
            "a revision put in force",
            size,
            revision_nanos(size),
        ));
        figures.push(figure("tick", size, tick_nanos(size)));
    }
    figures
}

fn figure(name: &str, size: Size, nanos: f64) -> DecisionFigure {
    DecisionFigure {
        name: name.to_owned(),
        tables: format!(
            "{} services, {} tenants, {} endpoints, {} calls",
            size.services, size.tenants, size.endpoints, size.in_flight
        ),
        nanos,
    }
}

/// Processor time of one run of `decide`, over as many runs as fit in the budget.
fn time(mut decide: impl FnMut()) -> f64 {
    const BATCH: u32 = 16;
    let began = usage::thread_time();
    let mut runs = 0;
    loop {
        for _ in 0..BATCH {
            decide();
        }
        runs += BATCH;
        let busy = usage::thread_time().saturating_sub(began);
        if busy >= BUDGET {
            return busy.as_nanos() as f64 / f64::from(runs);
        }
    }
}

fn service(number: usize) -> ServiceName {
    ServiceName::from(format!("service-{number:03}"))
}

fn tenant(number: usize) -> TenantName {
    TenantName::from(format!("tenant-{number:05}"))
}

/// The record that makes the whole configuration.
fn record(size: Size) -> RevisionRecord {
    const DEADLINE_MS: u32 = 2_000;
    let mut edits = Vec::new();
    for number in 0..size.services {
        let service = service(number);
        for part in 0..TEMPLATES_PER_SERVICE {
            let name = format!("{service}-{part}");
            let path = format!("/part-{part}");
            let template = template(&name, service.as_str(), &path, DEADLINE_MS);
            edits.push(Edit::PutTemplate(template));
        }
    }
    edits.extend((0..size.tenants).map(|number| {
        Edit::PutTenant(Tenant {
            name: tenant(number),
            overrides: Vec::new(),
        })
    }));
    RevisionRecord {
        edits,
        ..first_revision(DEADLINE_MS)
    }
}

fn document(size: Size) -> Document {
    let mut document = Document::default();
    document.apply(&record(size)).expect("the first revision");
    document
}

fn policy_nanos(size: Size) -> f64 {
    let document = document(size);
    let service = service(size.services / 2);
    let tenant = tenant(size.tenants / 2);
    time(|| {
        let policy = document.policy(black_box(&tenant), &service, "POST", "/part-3/x");
        assert!(black_box(policy).is_some(), "a template covers the call");
    })
}

fn indexed_policy_nanos(size: Size) -> f64 {
    let document = document(size);
    let index = PolicyIndex::of(&document);
    let service = service(size.services / 2);
    let tenant = tenant(size.tenants / 2);
    time(|| {
        let policy = index.policy(&document, black_box(&tenant), &service, "POST", "/part-3/x");
        assert!(black_box(policy).is_some(), "a template covers the call");
    })
}

fn tables(size: Size, now: Instant) -> Tables {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let identity = NodeId {
        address,
        instance: InstanceId(1),
    };
    let mut tables = Tables::new(identity, &settings(address, None), now);
    let endpoints = (0..size.endpoints).map(|number| Endpoint {
        node: NodeId {
            address: SocketAddr::from(((number as u32 + 1).to_be_bytes(), 7_000)),
            instance: InstanceId(number as u64),
        },
        service: service(number % size.services),
        region: "region".into(),
        zone: format!("zone-{}", number % ZONES).into(),
    });
    tables.endpoints.set_endpoints(endpoints, now);
    tables.configuration.apply(&[record(size)]);
    tables
}

fn request(size: Size) -> CallRequest {
    CallRequest {
        tenant: Some(tenant(size.tenants / 2)),
        service: service(size.services / 2),
        method: "POST".to_owned(),
        path: "/part-3/x".to_owned(),
        body_bytes: 100,
        timeout: None,
        origin: Origin::Root {
            key: RequestKey::generate(),
            caller_key: false,
        },
    }
}

fn call_nanos(size: Size) -> f64 {
    let mut now = Instant::now();
    let mut tables = tables(size, now);
    let request = request(size);
    for _ in 0..size.in_flight {
        start(&mut tables, &request, now);
    }
    time(|| {
        now += Duration::from_micros(10);
        let (id, node) = start(&mut tables, &request, now);
        let end = AttemptEnd::Answered {
            status: 200,
            load: LoadReport {
                in_flight: 8,
                limit: 20,
                admitted_from: Some(Criticality::Sheddable),
                ..LoadReport::default()
            },
            unused_allowance: 1,
        };
        black_box(retry::attempt_ended(&mut tables, id, node, end, now));
        tables.calls.remove(id);
    })
}

fn start(
    tables: &mut Tables,
    request: &CallRequest,
    now: Instant,
) -> (tallybridge_node::tables::calls::CallId, NodeId) {
    let call = begin::begin(tables, request, now).expect("the call is covered");
    let id = tables.calls.insert(call);
    let route = retry::choose_route(tables, id, now).expect("an endpoint takes it");
    (id, route.node)
}

/// One tenant changed, in the whole configuration. No call of the node is decided meanwhile.
fn revision_nanos(size: Size) -> f64 {
    let mut configuration = Configuration::default();
    let first = record(size);
    configuration.apply(std::slice::from_ref(&first));
    let mut revision = first.revision;
    time(|| {
        revision = revision.next();
        let change = RevisionRecord {
            revision,
            edits: vec![Edit::PutTenant(Tenant {
                name: tenant(0),
                overrides: Vec::new(),
            })],
            ..first_revision(0)
        };
        configuration.apply(&[change]);
        assert_eq!(
            configuration.revision(),
            revision,
            "the change breaks no rule"
        );
    })
}

fn tick_nanos(size: Size) -> f64 {
    let mut now = Instant::now();
    let mut tables = tables(size, now);
    time(|| {
        now += Duration::from_millis(20);
        tick::run(&mut tables, now);
    })
}
