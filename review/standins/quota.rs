//! QUOTA: the nodes of some machines are killed and started again, in a fleet in which each node has links to
//! some of the nodes of each service.

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
    client::{connect_as_remote, exchange, request_with, End},
    http::Wire,
    machine::{end_all, loopback, machine_ip, temporary_folder, wait_until, Bounds, Machine, SIGKILL},
    record::Record,
    store::Store,
    Verdict,
};

/// Bounds of feira-sul-now-grown.
const BOUNDS: Bounds = Bounds {
    grace_s: 6,
    retry_window_s: 10,
    budget_slack: 113,
    tenants: "revoke_within_ms = 5000\nquota_window_ms = 5000\nquota_overage = 0.1\nquota_slack = 20\n",
};
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const RATE: f64 = 60.0;
const BURST: f64 = 30.0;
const LEAD: Duration = Duration::from_secs(10);
const MACHINES: u8 = 40;
/// A share of .1, the default of `node_kill`.
const KILLED: usize = 4;
/// Mean time between two requests of the tenant at one machine.
const INTERVAL_MS: u64 = 250;
const DEADLINE: Duration = Duration::from_millis(4000);
const SERVICE: &str = "saldo";
const HOST: &str = "balance.example";
const KEY: &str = "ruddedev3nax7u27gxpr";

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"public\",\"service\"],\"rows\":[[\"balance-query\",\"{HOST}\",\"/balance/\",\"idempotent\",2500,1200,2,null,2,false,\"{SERVICE}\"]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"{SERVICE}\",\"/healthz\",560,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[[\"market-1\",[\"{KEY}\"],1,{RATE},{BURST}]]}}}}"
    )
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let folder = temporary_folder("quota");
    let store = Store::start(&loopback(machine_ip(250)));
    store.write("op/config", configuration().as_bytes());
    let zones = ["sala-norte", "sala-centro", "sala-sul"];
    let machines: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|index| Machine::new(index + 1, zones[usize::from(index) % 3], &folder, record))
        .collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work: Work = Arc::new(|_: &str| (Duration::from_millis(20), 400));
    for (index, machine) in machines.iter().enumerate() {
        machine.start_node(SERVICE, store.address, BOUNDS, true);
        let settings = Settings {
            service: SERVICE.to_owned(),
            instance: format!("i-balance-{index}"),
            zone: machine.zone.clone(),
            slots: 18,
            address: machine.app,
            report: machine.control,
        };
        Backend::start(settings, work.clone(), record, &runs);
        machine.ask_readiness(false);
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
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let (machine, is_over, served) = (machine.clone(), is_over.clone(), served.clone());
            let record = record.clone();
            thread::spawn(move || send(&machine, index as u64, &is_over, &served, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(12));
    if served.load(Ordering::SeqCst) < 300 {
        end_all(&machines);
        return Verdict::CouldNotRun("requests are not served".to_owned());
    }
    if has_trouble {
        let killed = &machines[..KILLED];
        for machine in killed {
            machine.signal(SIGKILL);
        }
        wait_until(Duration::from_secs(2), || killed.iter().all(|machine| machine.has_ended()));
        thread::sleep(Duration::from_secs(1));
        for machine in killed {
            machine.start_node(SERVICE, store.address, BOUNDS, false);
        }
    }
    thread::sleep(Duration::from_secs(12));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    end_all(&machines);
    let times: Vec<f64> = runs.lock().unwrap().iter().map(|run| run.at).collect();
    let (most, from) = most_in_window(times);
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    record.line(&format!(
        "most requests of the tenant run within {WINDOW_S} s: {most}, from {from:.3} s on; allowed: {allowed}"
    ));
    machines[0].copy_log();
    match most as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns the largest number of times within a window, and the start of that window.
fn most_in_window(mut times: Vec<f64>) -> (usize, f64) {
    times.sort_by(f64::total_cmp);
    let mut first = 0;
    let mut most = (0, 0.0);
    for (last, time) in times.iter().enumerate() {
        while time - times[first] > WINDOW_S {
            first += 1;
        }
        if last + 1 - first > most.0 {
            most = (last + 1 - first, times[first]);
        }
    }
    most
}

/// Sends requests of the tenant on a kept connection while the machine is in.
fn send(machine: &Arc<Machine>, client: u64, is_over: &AtomicBool, served: &AtomicUsize, record: &Record) {
    let mut wire: Option<Wire> = None;
    let mut random = client.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut next_at = Instant::now();
    for number in 0_u64.. {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        next_at += Duration::from_millis(INTERVAL_MS / 2 + random % INTERVAL_MS);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        if is_over.load(Ordering::SeqCst) {
            return;
        }
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
        let key = format!("X-Credential: {KEY}\r\n");
        let deadline_ms = DEADLINE.as_millis() as u64;
        let text = request_with("GET", HOST, "/balance/one", &attempt, deadline_ms, &key);
        let sent_at = record.seconds();
        let end = exchange(&mut connection, &text, DEADLINE, None);
        record.line(&format!("client at {}: sent at {sent_at:.3} s {attempt}, {end:?}", machine.name));
        if let End::Whole { status, is_last, .. } = end {
            served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            wire = (!is_last).then_some(connection);
        }
    }
}
