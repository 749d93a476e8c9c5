//! Single processes are killed in a deployment whose only service has 36 back ends, while a tenant sends more
//! than its rate limit.

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

const NODES: usize = 36;
const WINDOW: Duration = Duration::from_secs(5);
const TENANT: &str = "pulo780";
/// Clients of the tenant at each machine.
const CLIENTS: usize = 2;
/// The tenant's requests a second, and its burst.
const LIMIT: f64 = 20.0;
/// What the tenant sends, as a multiple of its usual requests.
const HOT_X: f64 = 7.5;
/// The limit as a multiple of the usual requests (`quota_x` of the site file).
const QUOTA_X: f64 = 1.6;
/// How long the tenant is hot, and the part of that before a kill.
const HEAT: Duration = Duration::from_millis(6500);
const BEFORE_KILL: Duration = Duration::from_millis(1000);
/// Time from a kill until the platform starts the process again.
const DOWN: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct Sent {
    attempt: String,
    node: usize,
    at: Instant,
    status: u16,
}

/// Pause of one client between two requests.
fn pause(is_hot: bool) -> Duration {
    let usual = LIMIT / QUOTA_X;
    let per_second = if is_hot { usual * HOT_X } else { usual };
    Duration::from_secs_f64((NODES * CLIENTS) as f64 / per_second)
}

pub fn play(stage: &Stage) -> Result<Option<String>, String> {
    let store = Store::start();
    let document = format!(
        r#"{{"version":"00000002","routes":{{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[["r-pay","pay.example","/pay/","non_idempotent",1000,1500,0,null,2,false,"caixa"]]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["caixa","/healthz",560]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["{TENANT}",["ruddedev3nax7u27gxpr"],1,{LIMIT},{LIMIT}]]}}}}"#
    );
    store.put("op/config", document.as_bytes());
    let zones = ["sala-norte", "sala-centro", "sala-sul"];
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for index in 0..NODES {
        let zone = zones[index % zones.len()];
        let place = Place {
            index,
            zone,
            service: "caixa",
            store: store.address,
            has_tenants: true,
        };
        let mut node = Node::prepare(&stage.root, &stage.scratch, &place)?;
        let work = Duration::from_millis(120);
        let (app, control) = (node.app(), node.control());
        let backend = Backend::new(&node.name, "caixa", zone, app, control, work, None);
        backend.up();
        node.start(&stage.root)?;
        nodes.push(node);
        backends.push(backend);
    }
    let until = Instant::now() + Duration::from_secs(30);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            return Err("the nodes are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(12));
    stage.note("nodes are ready");
    let hot = Arc::new(AtomicBool::new(false));
    stage.note("the tenant's clients begin at all machines");
    let over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        for number in 0..CLIENTS {
            let (over, hot) = (over.clone(), hot.clone());
            let (sent, next) = (sent.clone(), next.clone());
            let address = node.outbound();
            let place = (number * NODES + index) as f64 / (NODES * CLIENTS) as f64;
            clients.push(thread::spawn(move || {
                let is_hot = || hot.load(Ordering::SeqCst);
                // Waits as long as the tenant goes on as it did.
                let wait_while = |was_hot: bool, until: Instant| {
                    while Instant::now() < until
                        && is_hot() == was_hot
                        && !over.load(Ordering::SeqCst)
                    {
                        thread::sleep(Duration::from_millis(5));
                    }
                };
                let mut was_hot = false;
                wait_while(was_hot, Instant::now() + pause(was_hot).mul_f64(place));
                let mut peer: Option<Peer> = None;
                while !over.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let attempt = format!("{:016x}", number * 0x9e37_79b9);
                    let head = format!(
                        "POST /pay/{attempt} HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 5000\r\nX-Credential: ruddedev3nax7u27gxpr\r\nContent-Length: 2\r\n\r\n"
                    );
                    if peer.is_none() {
                        peer = Peer::connect(address, Duration::from_secs(1)).ok();
                    }
                    let answer = match &mut peer {
                        Some(open) => open.call(&head, b"{}", Duration::from_secs(5)).ok(),
                        None => None,
                    };
                    if answer.is_none() {
                        peer = None;
                    }
                    let answer = answer.unwrap_or_default();
                    let status = answer.status();
                    sent.lock().unwrap().push(Sent { attempt, node: index, at, status });
                    // Clients come back when they were told to.
                    let wait = answer.header("retry-after").and_then(|text| text.parse().ok());
                    let wait = Duration::from_secs_f64(wait.unwrap_or(0.0_f64).min(1.6));
                    wait_while(was_hot, at + pause(was_hot).max(wait));
                    if is_hot() != was_hot {
                        // The requests of all clients together stay evenly spread.
                        was_hot = !was_hot;
                        wait_while(was_hot, Instant::now() + pause(was_hot).mul_f64(place));
                    }
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(12));
    for node in &mut nodes[..3] {
        stage.note("hot_tenant: the tenant sends 7.5 times its usual");
        hot.store(true, Ordering::SeqCst);
        thread::sleep(BEFORE_KILL);
        if stage.has_trouble {
            stage.note(format!("node_kill: {} is killed", node.name));
            node.kill();
        }
        thread::sleep(DOWN);
        if stage.has_trouble {
            node.start(&stage.root)?;
            stage.note(format!("{} starts again", node.name));
        }
        thread::sleep(HEAT - BEFORE_KILL - DOWN);
        stage.note("the tenant sends its usual again");
        hot.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(8));
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
    judge(stage, &sent.lock().unwrap(), &backends)
}

fn judge(
    stage: &Stage,
    sent: &[Sent],
    backends: &[Arc<Backend>],
) -> Result<Option<String>, String> {
    let allowed = (LIMIT * WINDOW.as_secs_f64() + LIMIT) * 1.1 + 20.0;
    let mut ran_at = Vec::new();
    let mut sent_at = Vec::new();
    for backend in backends {
        for run in backend.runs.lock().unwrap().iter() {
            if run.tenant != TENANT {
                continue;
            }
            stage.note_at(run.at, format!("run {} at {}", run.attempt, run.instance));
            ran_at.push(run.at);
            if let Some(request) = sent.iter().find(|request| request.attempt == run.attempt) {
                sent_at.push(request.at);
            }
        }
    }
    for request in sent {
        let Sent {
            attempt,
            node,
            at,
            status,
        } = request;
        stage.note_at(
            *at,
            format!("sent {attempt} to node {}, answer {status}", node + 1),
        );
    }
    let by_run = busiest(&mut ran_at);
    let by_sending = busiest(&mut sent_at);
    let text = format!(
        "busiest 5 s of the tenant: {by_run} by the time of the run, {by_sending} by the time of sending; allowed {allowed:.0}; {} of {} requests ran",
        ran_at.len(),
        sent.len()
    );
    stage.note(&text);
    let is_broken = by_run as f64 > allowed && by_sending as f64 > allowed;
    Ok(is_broken.then(|| format!("QUOTA: {text}")))
}

/// Returns the greatest number within a window.
fn busiest(times: &mut [Instant]) -> usize {
    times.sort();
    let windows = times.iter().enumerate().map(|(first, from)| {
        let following = times[first..].iter();
        following.take_while(|at| **at - *from <= WINDOW).count()
    });
    windows.max().unwrap_or(0)
}
