//! LOST: a machine gets SIGTERM while clients read large answers slowly.

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
    machine::{end_all, loopback, machine_ip, temporary_folder, wait_until, Bounds, Machine, SIGTERM},
    record::Record,
    store::Store,
    Verdict,
};

/// Bounds of feira-sul-large.
const BOUNDS: Bounds = Bounds { grace_s: 10, retry_window_s: 10, budget_slack: 213, tenants: "" };
const CONTACT: Duration = Duration::from_millis(4000);
const LEAD: Duration = Duration::from_secs(10);
/// Deadline of `terminal-package`.
const DEADLINE: Duration = Duration::from_millis(5000);
const SERVICE: &str = "pacotes";
const HOST: &str = "packages.example";
const PACKAGE_BYTES: usize = 1_000_000;
/// Bytes a second: 2 Mbit/s, so that a package takes four of the five seconds of its deadline.
const READ_RATE: usize = 250_000;
const WORK_TIME: Duration = Duration::from_millis(100);
/// Starts of the slow downloads relative to the SIGTERM, in milliseconds from 600 before it.
const STARTS_MS: [u64; 5] = [0, 250, 500, 750, 1000];
const SIGTERM_AT: Duration = Duration::from_millis(600);

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[[\"terminal-package\",\"{HOST}\",\"/pkg/\",\"download\",5000,1500,2,null,2,\"{SERVICE}\"]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"{SERVICE}\",\"/healthz\",1200,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let folder = temporary_folder("lost");
    let store = Store::start(&loopback(machine_ip(250)));
    store.write("op/config", configuration().as_bytes());
    let zones = ["sala-norte", "sala-centro", "sala-sul"];
    let machines: Vec<Arc<Machine>> =
        (0..3).map(|index| Machine::new(index as u8 + 1, zones[index], &folder, record)).collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work: Work = Arc::new(|target: &str| {
        let size = if target.contains("large") { PACKAGE_BYTES } else { 6000 };
        (WORK_TIME, size)
    });
    for (index, machine) in machines.iter().enumerate() {
        machine.start_node(SERVICE, store.address, BOUNDS, true);
        let settings = Settings {
            service: SERVICE.to_owned(),
            instance: format!("i-package-{index}"),
            zone: machine.zone.clone(),
            slots: 176,
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
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        let (machine, is_over, served) = (machine.clone(), is_over.clone(), served.clone());
        let record = record.clone();
        clients.push(thread::spawn(move || send_small(&machine, index, &is_over, &served, &record)));
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    if served.load(Ordering::SeqCst) < 30 {
        end_all(&machines);
        return Verdict::CouldNotRun("small downloads are not served".to_owned());
    }
    let target = machines[0].clone();
    let started_at = Instant::now();
    let downloads: Vec<_> = STARTS_MS
        .iter()
        .enumerate()
        .map(|(number, start_ms)| {
            let (machine, record, start) = (target.clone(), record.clone(), Duration::from_millis(*start_ms));
            thread::spawn(move || download(&machine, number, started_at + start, &record))
        })
        .collect();
    if has_trouble {
        thread::sleep((started_at + SIGTERM_AT).saturating_duration_since(Instant::now()));
        target.signal(SIGTERM);
        // The platform starts the process again when it has ended; after `grace_s` it kills it.
        if !wait_until(Duration::from_secs(BOUNDS.grace_s), || target.has_ended()) {
            target.signal(crate::machine::SIGKILL);
            wait_until(Duration::from_secs(2), || target.has_ended());
        }
        target.start_node(SERVICE, store.address, BOUNDS, false);
    }
    let ends: Vec<(String, End)> = downloads.into_iter().filter_map(|download| download.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!("small downloads served: {}", served.load(Ordering::SeqCst)));
    let runs = runs.lock().unwrap();
    let has_run = |attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    let mut lost = 0;
    for (attempt, end) in &ends {
        if matches!(end, End::Cut { .. }) && has_run(attempt) {
            lost += 1;
        }
    }
    record.line(&format!(
        "of {} large downloads, {lost} were passed on to a back end and lost their connection before the answer was whole",
        ends.len()
    ));
    end_all(&machines);
    for machine in &machines {
        machine.copy_log();
    }
    let _ = std::fs::remove_dir_all(&folder);
    if lost > 0 {
        return Verdict::Broken;
    }
    if ends.iter().all(|(_, end)| matches!(end, End::Whole { status: 200, .. })) {
        return Verdict::Held;
    }
    Verdict::CouldNotRun("a large download ended in another way".to_owned())
}

/// Sends small downloads on a kept connection while the machine is in.
fn send_small(machine: &Arc<Machine>, client: usize, is_over: &AtomicBool, served: &AtomicUsize, record: &Record) {
    let mut wire: Option<Wire> = None;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
        if !machine.is_in.load(Ordering::SeqCst) {
            wire = None;
            continue;
        }
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
        if let End::Whole { status, is_last, .. } = end {
            served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            wire = (!is_last).then_some(connection);
        }
    }
}

/// Downloads a large package and reads it slowly.
fn download(machine: &Arc<Machine>, number: usize, start: Instant, record: &Record) -> (String, End) {
    let attempt = format!("aa{number:014x}");
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let connection = match connect_as_remote(machine.outbound) {
        Ok(stream) => stream,
        Err(error) => {
            let error = error.to_string();
            return (attempt, End::Cut { status: None, bytes: 0, length: 0, error });
        }
    };
    let mut wire = Wire::new(connection);
    record.line(&format!(
        "client sends {attempt} GET /pkg/large to {}, deadline {} ms, reads {READ_RATE} bytes a second",
        machine.name,
        DEADLINE.as_millis()
    ));
    let text = request("GET", HOST, "/pkg/large", &attempt, DEADLINE.as_millis() as u64);
    let end = exchange(&mut wire, &text, DEADLINE, Some(READ_RATE));
    record.line(&format!("client's {attempt} ends: {end:?}"));
    (attempt, end)
}
