//! LOST: a machine gets SIGTERM while clients read the answers to pipelined requests slowly.

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
    client::{connect_as_remote, exchange, exchange_pipelined, request, End},
    http::Wire,
    machine::{
        end_all, loopback, machine_ip, temporary_folder, wait_until, Bounds, Machine, SIGKILL, SIGTERM,
    },
    record::Record,
    store::Store,
    Verdict,
};

/// Bounds of peachline-billing.
const BOUNDS: Bounds = Bounds { grace_s: 6, retry_window_s: 10, budget_slack: 60, tenants: "" };
const CONTACT: Duration = Duration::from_millis(3000);
const LEAD: Duration = Duration::from_secs(8);
/// Deadline, mean work and largest answer of `balance-check`.
const DEADLINE: Duration = Duration::from_millis(6000);
const WORK_TIME: Duration = Duration::from_millis(90);
const ANSWER_BYTES: usize = 30_000;
/// Mean answer of the small requests.
const SMALL_ANSWER_BYTES: usize = 5_000;
const SERVICE: &str = "portal";
const HOST: &str = "balance.example";
/// Requests that a client sends one behind the other.
const PIPELINED: usize = 6;
/// Bytes a second: 288 kbit/s, so that six answers take 5 of the 6 s of their deadline.
const READ_RATE: usize = 36_000;
/// Starts of the slow clients in milliseconds, the SIGTERM comes after `SIGTERM_AT`.
const STARTS_MS: [u64; 5] = [400, 550, 700, 850, 1000];
const SIGTERM_AT: Duration = Duration::from_millis(100);

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[[\"balance-check\",\"{HOST}\",\"/balance/\",\"idempotent\",6000,1500,2,null,2,\"{SERVICE}\"]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"{SERVICE}\",\"/healthz\",622,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Attempts of one slow client, and how many of them were answered in full.
struct Reading {
    attempts: Vec<String>,
    whole: usize,
    end: Option<End>,
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let folder = temporary_folder("lost");
    let store = Store::start(&loopback(machine_ip(250)));
    store.write("op/config", configuration().as_bytes());
    let zones = ["atl-a", "atl-b", "atl-c"];
    let machines: Vec<Arc<Machine>> =
        (0..3).map(|index| Machine::new(index as u8 + 1, zones[index], &folder, record)).collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work: Work = Arc::new(|target: &str| {
        let size = if target.contains("full") { ANSWER_BYTES } else { SMALL_ANSWER_BYTES };
        (WORK_TIME, size)
    });
    for (index, machine) in machines.iter().enumerate() {
        machine.start_node(SERVICE, store.address, BOUNDS, true);
        let settings = Settings {
            service: SERVICE.to_owned(),
            instance: format!("i-portal-{index}"),
            zone: machine.zone.clone(),
            slots: 87,
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
        return Verdict::CouldNotRun("small requests are not served".to_owned());
    }
    let target = machines[0].clone();
    let started_at = Instant::now();
    let readers: Vec<_> = STARTS_MS
        .iter()
        .enumerate()
        .map(|(number, start_ms)| {
            let (machine, record, start) = (target.clone(), record.clone(), Duration::from_millis(*start_ms));
            thread::spawn(move || read_slowly(&machine, number, started_at + start, &record))
        })
        .collect();
    if has_trouble {
        thread::sleep((started_at + SIGTERM_AT).saturating_duration_since(Instant::now()));
        target.signal(SIGTERM);
        // The platform starts the process again when it has ended; after `grace_s` it kills it.
        if !wait_until(Duration::from_secs(BOUNDS.grace_s), || target.has_ended()) {
            target.signal(SIGKILL);
            wait_until(Duration::from_secs(2), || target.has_ended());
        }
        target.start_node(SERVICE, store.address, BOUNDS, false);
    }
    let readings: Vec<Reading> = readers.into_iter().filter_map(|reader| reader.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!("small requests served: {}", served.load(Ordering::SeqCst)));
    let runs = runs.lock().unwrap();
    let has_run = |attempt: &&String| runs.iter().any(|run| run.attempt == **attempt);
    // A request that its client gave up at the deadline, or that no back end got, doesn't count.
    let lost: usize = readings
        .iter()
        .filter(|reading| matches!(reading.end, Some(End::Cut { .. })))
        .map(|reading| reading.attempts[reading.whole..].iter().filter(has_run).count())
        .sum();
    let sent: usize = readings.iter().map(|reading| reading.attempts.len()).sum();
    record.line(&format!(
        "of {sent} pipelined requests, {lost} were run by a back end and lost their connection before the answer was whole"
    ));
    end_all(&machines);
    for machine in &machines {
        machine.copy_log();
    }
    if lost > 0 {
        return Verdict::Broken;
    }
    if readings.iter().all(|reading| reading.end.is_none()) {
        return Verdict::Held;
    }
    Verdict::CouldNotRun("a pipelined request ended in another way".to_owned())
}

/// Sends small requests on a kept connection while the machine is in.
fn send_small(
    machine: &Arc<Machine>,
    client: usize,
    is_over: &AtomicBool,
    served: &AtomicUsize,
    record: &Record,
) {
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
        let text = request("GET", HOST, "/balance/small", &attempt, DEADLINE.as_millis() as u64);
        let sent_at = record.seconds();
        let end = exchange(&mut connection, &text, DEADLINE, None);
        record.line(&format!("client at {}: sent at {sent_at:.3} s {attempt} GET /balance/small, {end:?}", machine.name));
        if let End::Whole { status, is_last, .. } = end {
            served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            wire = (!is_last).then_some(connection);
        }
    }
}

/// Sends pipelined requests and reads their answers slowly.
fn read_slowly(machine: &Arc<Machine>, number: usize, start: Instant, record: &Record) -> Reading {
    let attempts: Vec<String> = (0..PIPELINED).map(|place| format!("aa{number:06x}{place:08x}")).collect();
    let deadline_ms = DEADLINE.as_millis() as u64;
    let requests: Vec<String> =
        attempts.iter().map(|attempt| request("GET", HOST, "/balance/full", attempt, deadline_ms)).collect();
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let (whole, end) = match connect_as_remote(machine.outbound) {
        Ok(stream) => {
            record.line(&format!(
                "client sends {} to {} GET /balance/full to {}, deadline {deadline_ms} ms, reads {READ_RATE} bytes a second",
                attempts[0], attempts[PIPELINED - 1], machine.name
            ));
            exchange_pipelined(&mut Wire::new(stream), &requests, DEADLINE, READ_RATE)
        }
        Err(error) => {
            let error = error.to_string();
            (0, Some(End::Cut { status: None, bytes: 0, length: 0, error }))
        }
    };
    record.line(&format!("client of {}: {whole} whole answers of {PIPELINED}, then {end:?}", attempts[0]));
    Reading { attempts, whole, end }
}
