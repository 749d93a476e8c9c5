//! LOST: clients read answers slowly, and the node that holds the answers goes over its memory.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{Backend, Run, Settings, Work},
    client::{connect_as_remote, exchange, request, End},
    http::Wire,
    machine::{end_all, loopback, machine_ip, temporary_folder, wait_until, Bounds, Machine, SIGKILL},
    record::Record,
    store::Store,
    Verdict,
};

/// Bounds of feira-sul.
const BOUNDS: Bounds = Bounds { grace_s: 6, retry_window_s: 10, budget_slack: 55, tenants: "" };
const MEMORY_MB: f64 = 260.0;
const LEAD: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_millis(5000);
const SERVICE: &str = "catalogo";
const HOST: &str = "packages.example";
const PACKAGE_BYTES: usize = 3_000_000;
/// Bytes a second: 5.6 Mbit/s, so that a package takes somewhat more than four of the five seconds.
const READ_RATE: usize = 700_000;
/// Clients that download, which start within two seconds. Together they read 0.7 Gbit/s at most.
const DOWNLOADS: u64 = 120;
const START_WITHIN: Duration = Duration::from_millis(2000);
/// Clients that send small requests on kept connections.
const SMALL_CLIENTS: usize = 12;

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[[\"terminal-package\",\"{HOST}\",\"/pkg/\",\"download\",5000,1500,2,null,2,\"{SERVICE}\"]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"{SERVICE}\",\"/healthz\",952,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let folder = temporary_folder("memory");
    let store = Store::start(&loopback(machine_ip(250)));
    store.write("op/config", configuration().as_bytes());
    let zones = ["sala-norte", "sala-centro", "sala-sul"];
    let machines: Vec<Arc<Machine>> =
        (0..3).map(|index| Machine::new(index as u8 + 1, zones[index], &folder, record)).collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work: Work = Arc::new(|target: &str| match target.contains("large") {
        true => (Duration::from_millis(100), PACKAGE_BYTES),
        false => (Duration::from_millis(120), 1500),
    });
    for (index, machine) in machines.iter().enumerate() {
        machine.start_node(SERVICE, store.address, BOUNDS, true);
        let settings = Settings {
            service: SERVICE.to_owned(),
            instance: format!("i-package-{index}"),
            zone: machine.zone.clone(),
            slots: 142,
            address: machine.app,
            report: machine.control,
        };
        Backend::start(settings, work.clone(), record, &runs);
        machine.ask_readiness(true);
    }
    thread::sleep(LEAD);
    let are_ready = wait_until(Duration::from_secs(5), || machines.iter().all(|machine| machine.is_ready()));
    if !are_ready {
        end_all(&machines);
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    record.line("traffic starts");
    let target = machines[0].clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..SMALL_CLIENTS)
        .map(|client| {
            let (machine, is_over, served) = (target.clone(), is_over.clone(), served.clone());
            let (cut, record) = (cut.clone(), record.clone());
            thread::spawn(move || send_small(&machine, client, &is_over, &served, &cut, &record))
        })
        .collect();
    let watch = {
        let (machine, is_over, record) = (target.clone(), is_over.clone(), record.clone());
        let store = store.address;
        thread::spawn(move || watch_memory(&machine, store, &is_over, &record))
    };
    thread::sleep(Duration::from_secs(4));
    if served.load(Ordering::SeqCst) < 100 {
        end_all(&machines);
        return Verdict::CouldNotRun("small requests are not served".to_owned());
    }
    let rate = has_trouble.then_some(READ_RATE);
    let downloads: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            let (machine, record) = (target.clone(), record.clone());
            let start = Instant::now() + START_WITHIN.mul_f64(number as f64 / DOWNLOADS as f64);
            thread::spawn(move || download(&machine, number, start, rate, &record))
        })
        .collect();
    for download in downloads {
        let _ = download.join();
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let kills = watch.join().unwrap_or(0);
    end_all(&machines);
    machines[0].copy_log();
    // Only requests count that a back end has got.
    let runs = runs.lock().unwrap();
    let has_run = |attempt: &&String| runs.iter().any(|run| run.attempt == **attempt);
    let cut = cut.lock().unwrap().iter().filter(has_run).count();
    record.line(&format!(
        "ends over the memory limit: {kills}; small requests on kept connections that a back end ran and that lost their connection without an answer: {cut}; served: {}",
        served.load(Ordering::SeqCst)
    ));
    match cut > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Kills the process when it goes over its memory, as the platform does, and starts it again. Returns the
/// number of kills.
fn watch_memory(
    machine: &Arc<Machine>,
    store: std::net::SocketAddr,
    is_over: &AtomicBool,
    record: &Record,
) -> usize {
    let mut kills = 0;
    let mut peak: f64 = 0.0;
    while !is_over.load(Ordering::SeqCst) {
        let memory = machine.memory_mb();
        peak = peak.max(memory);
        if memory > MEMORY_MB {
            record.line(&format!("platform: the node of {} holds {memory:.0} MB, over {MEMORY_MB}", machine.name));
            machine.signal(SIGKILL);
            wait_until(Duration::from_secs(2), || machine.has_ended());
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            machine.start_node(SERVICE, store, BOUNDS, false);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!("peak memory of the node of {}: {peak:.0} MB", machine.name));
    kills
}

/// Sends small requests on a kept connection. Adds to `cut` those that were sent on a connection that had
/// carried an answer, and lost it without an answer.
fn send_small(
    machine: &Arc<Machine>,
    client: usize,
    is_over: &AtomicBool,
    served: &AtomicUsize,
    cut: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut wire: Option<Wire> = None;
    for number in 0_u64.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(20));
        if !machine.is_in.load(Ordering::SeqCst) {
            wire = None;
            continue;
        }
        let is_kept = wire.is_some();
        let connection = match wire.take() {
            Some(connection) => Some(connection),
            None => connect_as_remote(machine.outbound).ok().map(Wire::new),
        };
        let Some(mut connection) = connection else { continue };
        let attempt = format!("{client:04x}{number:012x}");
        let text = request("GET", HOST, "/pkg/small", &attempt, DEADLINE.as_millis() as u64);
        let sent_at = record.seconds();
        let end = exchange(&mut connection, &text, DEADLINE, None);
        record.line(&format!("client at {}: sent at {sent_at:.3} s {attempt} GET /pkg/small, {end:?}", machine.name));
        match end {
            End::Whole { status, is_last, .. } => {
                served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                wire = (!is_last).then_some(connection);
            }
            End::Cut { status: None, .. } if is_kept => {
                cut.lock().unwrap().push(attempt);
            }
            _ => {}
        }
    }
}

fn download(machine: &Arc<Machine>, number: u64, start: Instant, rate: Option<usize>, record: &Record) {
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let attempt = format!("aa{number:014x}");
    let Ok(stream) = connect_as_remote(machine.outbound) else {
        record.line(&format!("client's {attempt} finds no node"));
        return;
    };
    record.line(&format!("client sends {attempt} GET /pkg/large to {}, reads {rate:?} bytes a second", machine.name));
    let text = request("GET", HOST, "/pkg/large", &attempt, DEADLINE.as_millis() as u64);
    let end = exchange(&mut Wire::new(stream), &text, DEADLINE, rate);
    record.line(&format!("client's {attempt} ends: {end:?}"));
}
