//! Open connections to the store go silent for good, new ones work, and the configuration changes.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage,
    backend::Backend,
    http::Peer,
    node::{Node, Place},
    store::Store,
};

/// Times at which connections go silent in one play.
const ROUNDS: usize = 5;
const CONTACT: Duration = Duration::from_millis(3000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// From a silence to the next one.
const ROUND: Duration = Duration::from_millis(14_000);

struct Answer {
    attempt: String,
    node: usize,
    /// The round whose route was asked for.
    route: usize,
    at: Instant,
    status: u16,
}

/// A configuration with the route of each round from `first` on. Earlier ones were dropped.
fn document(version: usize, first: usize) -> String {
    let rows: Vec<String> = (first..ROUNDS + 1)
        .map(|round| {
            format!(
                r#"["r-{round}","price.example","/price{round}/","idempotent",null,1500,2,null,2,false,"catalogo"]"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[{}]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["catalogo","/healthz",952]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        rows.join(",")
    )
}

pub fn play(stage: &Stage) -> Result<Option<String>, String> {
    let store = Store::start();
    store.put("op/config", document(2, 0).as_bytes());
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for (index, zone) in ["sala-norte", "sala-centro", "sala-sul"].iter().enumerate() {
        let place = Place {
            index,
            zone,
            service: "catalogo",
            store: store.address,
            has_tenants: false,
        };
        let mut node = Node::prepare(&stage.root, &stage.scratch, &place)?;
        let work = Duration::from_millis(50);
        let (app, control) = (node.app(), node.control());
        let backend = Backend::new(&node.name, "catalogo", zone, app, control, work, None);
        backend.up();
        node.start(&stage.root)?;
        nodes.push(node);
        backends.push(backend);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            return Err("the nodes are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(8));
    stage.note("nodes are ready");
    let over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(1));
    let round = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let (over, answers, next, round) =
            (over.clone(), answers.clone(), next.clone(), round.clone());
        let address = node.outbound();
        clients.push(thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let at = Instant::now();
                let route = round.load(Ordering::SeqCst) as usize;
                let attempt = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9);
                let head = format!(
                    "GET /price{route}/{attempt} HTTP/1.1\r\nHost: price.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 5000\r\n\r\n"
                );
                let answer = Peer::connect(address, Duration::from_secs(1))
                    .and_then(|mut peer| peer.call(&head, b"", Duration::from_secs(5)));
                let status = answer.unwrap_or_default().status();
                answers.lock().unwrap().push(Answer { attempt, node: index, route, at, status });
                thread::sleep(Duration::from_millis(100).saturating_sub(at.elapsed()));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let mut changes = Vec::new();
    for dropped in 0..ROUNDS {
        round.store(dropped as u64, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        let began = Instant::now();
        if stage.has_trouble {
            store.silence_connections();
            stage.note("all open connections to the store go silent; new ones work");
        }
        thread::sleep(Duration::from_millis(500));
        store.put("op/config", document(3 + dropped, dropped + 1).as_bytes());
        changes.push((began, Instant::now()));
        stage.note(format!(
            "config_change: the route /price{dropped}/ is dropped, acknowledged"
        ));
        thread::sleep(ROUND.saturating_sub(began.elapsed() + Duration::from_secs(1)));
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for node in &mut nodes {
        if node.has_ended() {
            stage.note(format!("{} has ended by itself", node.name));
        }
    }
    let mut broken = Vec::new();
    for answer in answers.lock().unwrap().iter() {
        let Answer {
            attempt,
            node,
            route,
            at,
            status,
        } = answer;
        let ran = backends.iter().find_map(|backend| {
            let runs = backend.runs.lock().unwrap();
            runs.iter()
                .find(|run| run.attempt == *attempt)
                .map(|run| run.at)
        });
        stage.note_at(
            *at,
            format!(
                "sent {attempt} on /price{route}/ to node {}, answer {status}, ran: {}",
                node + 1,
                ran.is_some()
            ),
        );
        let Some((began, acknowledged)) = changes.get(*route) else {
            continue;
        };
        // Later than the bound after the acknowledgement, and at a machine that is in touch again.
        let is_bound = *at > *acknowledged + CONFIG_APPLY && *at > *began + CONTACT;
        if is_bound && ran.is_some() {
            broken.push(format!(
                "round {route}, node {}, {} ms after the acknowledgement",
                node + 1,
                at.duration_since(*acknowledged).as_millis()
            ));
        }
    }
    Ok((!broken.is_empty()).then(|| {
        format!(
            "CONFIG: {} requests ran on a dropped route: {}",
            broken.len(),
            broken.join("; ")
        )
    }))
}
