//! ROUTE: a back end ends, its address goes to a back end of another service, and the node beside it,
//! which has got SIGTERM, still sends it requests of the former service.

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
    machine::{
        end_all, loopback, machine_ip, temporary_folder, wait_until, Bounds, Machine, SIGKILL, SIGTERM,
    },
    record::Record,
    store::Store,
    Verdict,
};

/// Bounds of feira-sul.
const BOUNDS: Bounds = Bounds { grace_s: 6, retry_window_s: 10, budget_slack: 55, tenants: "" };
const CONTACT: Duration = Duration::from_millis(3000);
const LEAD: Duration = Duration::from_secs(8);
/// `reuse_after_s`, and a little.
const REUSE_AFTER: Duration = Duration::from_millis(2050);
/// Deadline of both kinds of request.
const DEADLINE: Duration = Duration::from_millis(5000);
/// Time after which the platform has noticed the crash. The pages set no limit.
const SIGTERM_AFTER: Duration = Duration::from_millis(500);
const PAYMENTS: &str = "caixa";
const PRICES: &str = "catalogo";
/// Clients on the machines, the first of which loses its back end.
const CLIENTS: [usize; 3] = [12, 3, 3];

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[[\"payment-settle\",\"pay.example\",\"/pay/\",\"non_idempotent\",1000,1500,0,null,2,\"{PAYMENTS}\"],[\"price-lookup\",\"price.example\",\"/price/\",\"idempotent\",800,1500,2,null,2,\"{PRICES}\"]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"{PAYMENTS}\",\"/healthz\",952,\"h1\",false],[\"{PRICES}\",\"/healthz\",952,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn back_end(machine: &Arc<Machine>, service: &str, instance: &str) -> Settings {
    Settings {
        service: service.to_owned(),
        instance: instance.to_owned(),
        zone: machine.zone.clone(),
        slots: 142,
        address: machine.app,
        report: machine.control,
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let folder = temporary_folder("route");
    let store = Store::start(&loopback(machine_ip(250)));
    store.write("op/config", configuration().as_bytes());
    let places = [("sala-norte", PRICES), ("sala-centro", PRICES), ("sala-sul", PAYMENTS)];
    let machines: Vec<Arc<Machine>> = places
        .iter()
        .enumerate()
        .map(|(index, (zone, _))| Machine::new(index as u8 + 1, zone, &folder, record))
        .collect();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work: Work = Arc::new(|_: &str| (Duration::from_millis(60), 1500));
    let mut backends = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        let service = places[index].1;
        machine.start_node(service, store.address, BOUNDS, true);
        let settings = back_end(machine, service, &format!("i-{service}-{index}"));
        backends.push(Backend::start(settings, work.clone(), record, &runs));
        // Each machine is the only one of its zone.
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
        for client in 0..CLIENTS[index] {
            let (machine, is_over, served) = (machine.clone(), is_over.clone(), served.clone());
            let (record, number) = (record.clone(), index * 100 + client);
            clients.push(thread::spawn(move || send(&machine, number, &is_over, &served, &record)));
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    if served.load(Ordering::SeqCst) < 60 {
        end_all(&machines);
        return Verdict::CouldNotRun("requests are not served".to_owned());
    }
    if has_trouble {
        let target = machines[0].clone();
        let ended_at = Instant::now();
        backends[0].crash();
        thread::sleep((ended_at + SIGTERM_AFTER).saturating_duration_since(Instant::now()));
        target.signal(SIGTERM);
        let restarting = {
            let (target, store) = (target.clone(), store.address);
            thread::spawn(move || {
                if !wait_until(Duration::from_secs(BOUNDS.grace_s), || target.has_ended()) {
                    target.signal(SIGKILL);
                    wait_until(Duration::from_secs(2), || target.has_ended());
                }
                // The settings that are current now name the service of the new back end.
                target.start_node(PAYMENTS, store, BOUNDS, false);
            })
        };
        thread::sleep((ended_at + REUSE_AFTER).saturating_duration_since(Instant::now()));
        let settings = back_end(&target, PAYMENTS, "i-caixa-reuse");
        backends.push(Backend::start(settings, work, record, &runs));
        let _ = restarting.join();
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    end_all(&machines);
    let runs = runs.lock().unwrap();
    let foreign: Vec<&Run> = runs
        .iter()
        .filter(|run| run.target.starts_with("/pay/") != (run.service == PAYMENTS))
        .collect();
    for run in &foreign {
        record.line(&format!(
            "RULE BROKEN: at {:.3} s back end {} of {} ran {} {}",
            run.at, run.instance, run.service, run.attempt, run.target
        ));
    }
    record.line(&format!(
        "served {}; run {}, of these by a service that no configuration allows: {}",
        served.load(Ordering::SeqCst),
        runs.len(),
        foreign.len()
    ));
    for machine in &machines {
        machine.copy_log();
    }
    match foreign.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Sends payments and price lookups in turn on a kept connection while the machine is in.
fn send(machine: &Arc<Machine>, client: usize, is_over: &AtomicBool, served: &AtomicUsize, record: &Record) {
    let mut wire: Option<Wire> = None;
    for number in 0_u64.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        // Clients are not in step.
        thread::sleep(Duration::from_millis(30 + (number * 37 + client as u64 * 13) % 61));
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
        let (method, host, target) = match number % 2 {
            0 => ("POST", "pay.example", "/pay/settle"),
            _ => ("GET", "price.example", "/price/lookup"),
        };
        let text = request(method, host, target, &attempt, DEADLINE.as_millis() as u64);
        let sent_at = record.seconds();
        let end = exchange(&mut connection, &text, DEADLINE, None);
        record.line(&format!("client at {}: sent at {sent_at:.3} s {attempt} {method} {target}, {end:?}", machine.name));
        if let End::Whole { status, is_last, .. } = end {
            served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
            wire = (!is_last).then_some(connection);
        }
    }
}
