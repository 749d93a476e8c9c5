//! A back end crashes while it sends an answer that has no length.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CHILDREN, Stage,
    backend::{Backend, Unframed, body_of},
    http::Peer,
    node::{Node, Place, end},
    store::Store,
};

/// Requests a second at each machine, of which there are three.
const RATE: u64 = 16;
/// Times at which a back end crashes.
const ROUNDS: usize = 5;
const SERVICE: &str = "pacotes";
/// `garble`, `unframed`: at the back end that will crash, one of three (share .33), x = .05 of its
/// answers, for 5 s, once in 12 s.
const UNFRAMED_PERIOD: Duration = Duration::from_secs(12);
const UNFRAMED_FROM: Duration = Duration::from_secs(4);
const UNFRAMED_UNTIL: Duration = Duration::from_secs(9);
const UNFRAMED_ONE_IN: usize = 20;

/// Runs one back end in this process until it is killed.
pub fn run_back_end(arguments: &[String]) -> Option<()> {
    let [name, zone, address, report, kind] = arguments else {
        return None;
    };
    let work = Duration::from_millis(96);
    let (address, report) = (address.parse().ok()?, report.parse().ok()?);
    let unframed = (kind == "garble").then(|| {
        Unframed::new(
            UNFRAMED_PERIOD,
            UNFRAMED_FROM..UNFRAMED_UNTIL,
            UNFRAMED_ONE_IN,
        )
    });
    let backend = Backend::new(name, SERVICE, zone, address, report, work, unframed);
    backend.up();
    let mut printed = 0;
    loop {
        thread::sleep(Duration::from_millis(5));
        let runs = backend.runs.lock().unwrap();
        for run in &runs[printed..] {
            println!("run {} at {}", run.attempt, run.instance);
        }
        printed = runs.len();
    }
}

/// What the back ends say that they have begun to run.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

struct BackEnd {
    child: Child,
    /// A line for each answer without a length, when it begins.
    unframed: Receiver<String>,
}

impl BackEnd {
    fn start(
        program: &Path,
        name: &str,
        node: &Node,
        garbles: bool,
        runs: &Runs,
    ) -> Result<Self, String> {
        let kind = if garbles { "garble" } else { "plain" };
        let child = Command::new(program)
            .args(["back-end", name, "sala-norte"])
            .args([node.app().to_string(), node.control().to_string()])
            .arg(kind)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|error| error.to_string())?;
        CHILDREN.lock().unwrap().push(child.id());
        let runs = runs.clone();
        let (sender, unframed) = channel();
        let output = child.stdout.take().expect("a pipe");
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line.starts_with("run ") {
                    runs.lock().unwrap().push((Instant::now(), line));
                } else {
                    let _ = sender.send(line);
                }
            }
        });
        Ok(Self { child, unframed })
    }
}

impl Drop for BackEnd {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

struct Answer {
    at: Instant,
    attempt: String,
    status: u16,
    is_signed: bool,
    body: Vec<u8>,
}

pub fn play(stage: &Stage) -> Result<Option<String>, String> {
    let store = Store::start();
    let document = r#"{"version":"00000002","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[["r-package","package.example","/package/","download",null,400,2,null,2,false,"pacotes"]]},"services":{"columns":["name","health_check_path","max_connections"],"rows":[["pacotes","/healthz",952]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    store.put("op/config", document.as_bytes());
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut nodes = Vec::new();
    let mut back_ends = Vec::new();
    let runs = Runs::default();
    for (index, zone) in ["sala-norte", "sala-centro", "sala-sul"].iter().enumerate() {
        let place = Place {
            index,
            zone,
            service: SERVICE,
            store: store.address,
            has_tenants: false,
        };
        let mut node = Node::prepare(&stage.root, &stage.scratch, &place)?;
        back_ends.push(BackEnd::start(
            &program,
            &node.name,
            &node,
            index == 0,
            &runs,
        )?);
        node.start(&stage.root)?;
        nodes.push(node);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            return Err("the nodes are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(6));
    stage.note("nodes are ready; the clients begin");
    let over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for node in &nodes {
        for number in 0..RATE {
            let (over, answers, next) = (over.clone(), answers.clone(), next.clone());
            let address = node.outbound();
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(1000 * number / RATE));
                while !over.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let attempt = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9);
                    let head = format!(
                        "GET /package/{attempt} HTTP/1.1\r\nHost: package.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\n\r\n"
                    );
                    let answer = Peer::connect(address, Duration::from_secs(1))
                        .and_then(|mut peer| peer.call(&head, b"", Duration::from_millis(1500)));
                    let answer = answer.unwrap_or_default();
                    answers.lock().unwrap().push(Answer {
                        at,
                        attempt,
                        status: answer.status(),
                        is_signed: answer.header("x-server-signature").is_some(),
                        body: answer.body,
                    });
                    thread::sleep(Duration::from_secs(1).saturating_sub(at.elapsed()));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let struck = &nodes[0];
    for round in 0..ROUNDS {
        while back_ends[0].unframed.try_recv().is_ok() {}
        let line = back_ends[0].unframed.recv_timeout(Duration::from_secs(16));
        let line = line.map_err(|_| "no answer without a length came".to_owned())?;
        stage.note(format!(
            "answer begun by the back end beside {}: {line}",
            struck.name
        ));
        if stage.has_trouble {
            thread::sleep(Duration::from_millis(40));
            end(&mut back_ends[0].child);
            stage.note("srv_crash: that back end is killed");
        }
        thread::sleep(Duration::from_secs(2));
        if stage.has_trouble {
            let name = format!("{}-{round}", struck.name);
            back_ends[0] = BackEnd::start(&program, &name, struck, true, &runs)?;
            stage.note(format!("another one starts beside {}", struck.name));
        }
        thread::sleep(Duration::from_secs(4));
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
    for (at, line) in runs.lock().unwrap().iter() {
        stage.note_at(*at, line.clone());
    }
    let mut broken = Vec::new();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for answer in answers.lock().unwrap().iter() {
        let Answer {
            at,
            attempt,
            status,
            is_signed,
            body,
        } = answer;
        *statuses.entry(*status).or_default() += 1;
        let whole = body_of(attempt);
        let count = body.len();
        stage.note_at(
            *at,
            format!("sent {attempt}, answer {status}, signed: {is_signed}, {count} bytes"),
        );
        if *status == 200 && (!is_signed || *body != whole) {
            broken.push(format!(
                "{attempt}: 200 with {count} of {} bytes",
                whole.len()
            ));
        }
    }
    stage.note(format!("answers by status: {statuses:?}"));
    Ok(
        (!broken.is_empty())
            .then(|| format!("MIXED {} times: {}", broken.len(), broken.join("; "))),
    )
}
