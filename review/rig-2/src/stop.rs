//! A planned stop, or a shorter idle time-out, while clients still read answers that the node wrote before.

use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    os::fd::FromRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage,
    backend::{Backend, large_body_of},
    node::{Node, Place, SIGTERM},
    store::Store,
};

const SERVICE: &str = "portal";
const CLIENTS: usize = 5;
/// Requests that a client pipelines, and when it sends one more.
const PIPELINED: usize = 6;
const NEXT_AFTER: Duration = Duration::from_millis(4100);
const DEADLINE: Duration = Duration::from_millis(6000);
/// From the first request of the clients, some 0.5 s before the others, to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(1200);
/// A client reads this much at once, each time after this pause: 288 kbit/s.
const READ_BYTES: usize = 1800;
const READ_PAUSE: Duration = Duration::from_millis(50);
const RECEIVE_BUFFER: i32 = 4096;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// `sockaddr_in` of Linux.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

/// Connects with a small window, as over a network (DEPLOY.md, Network).
fn connect_with_small_window(address: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let octets: &Ipv4Addr = address.ip();
    let to = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: octets.octets(),
        zero: [0; 8],
    };
    // SAFETY: plain system calls on a socket that this function makes, with values that outlive them.
    unsafe {
        let stream = socket(AF_INET, SOCK_STREAM, 0);
        if stream < 0 {
            return None;
        }
        let owned = TcpStream::from_raw_fd(stream);
        let is_set = setsockopt(stream, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) == 0;
        let size = std::mem::size_of::<SocketAddress>() as u32;
        (is_set && connect(stream, &to, size) == 0).then_some(owned)
    }
}

/// What happens.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// The machine gets SIGTERM.
    Stop,
    /// The configuration changes: idle connections are kept for 3 s, not for 15 s.
    Idle,
}

fn document(version: u64, idle_ms: u64) -> String {
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","traffic_split","max_attempts","public","service"],"rows":[["r-balance","portal.example","/balance/","idempotent",6000,1500,2,null,2,false,"portal"]]}},"services":{{"columns":["name","health_check_path","max_connections"],"rows":[["portal","/healthz",622]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":{idle_ms}}}}}"#
    )
}

/// What one client saw of its connection.
struct Seen {
    attempts: Vec<String>,
    sent_at: Instant,
    ended_at: Instant,
    end: String,
    bytes: Vec<u8>,
}

fn request(attempt: &str) -> String {
    format!(
        "GET /balance/{attempt} HTTP/1.1\r\nHost: portal.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 6000\r\n\r\n"
    )
}

fn read_slowly(address: SocketAddr, client: usize) -> Option<Seen> {
    let mut stream = connect_with_small_window(address)?;
    let name = |number: usize| format!("{:016x}", (client * 100 + number + 1) * 0x9e37_79b9);
    let mut attempts: Vec<String> = (0..PIPELINED).map(name).collect();
    // One request before, so that the connection is a kept one.
    let first = name(PIPELINED + 1);
    stream.write_all(request(&first).as_bytes()).ok()?;
    let mut answer = Vec::new();
    while count_whole(&answer).0 == 0 {
        let mut chunk = [0; 16 * 1024];
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        answer.extend_from_slice(&chunk[..count]);
    }
    thread::sleep(Duration::from_millis(300));
    let sent_at = Instant::now();
    let requests: String = attempts.iter().map(|attempt| request(attempt)).collect();
    stream.write_all(requests.as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(1000)))
        .ok()?;
    let mut seen = Seen {
        attempts: Vec::new(),
        sent_at,
        ended_at: sent_at,
        end: "deadline".to_owned(),
        bytes: Vec::new(),
    };
    let mut has_sent_next = false;
    let mut chunk = [0; READ_BYTES];
    while sent_at.elapsed() < DEADLINE {
        if !has_sent_next && sent_at.elapsed() >= NEXT_AFTER {
            has_sent_next = true;
            let attempt = name(PIPELINED);
            // A connection that is seen to be closed takes no further request; this one is not.
            let _ = stream.write_all(request(&attempt).as_bytes());
            attempts.push(attempt);
        }
        match stream.read(&mut chunk) {
            Ok(0) => {
                seen.end = "closed".to_owned();
                break;
            }
            Ok(count) => seen.bytes.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                if count_whole(&seen.bytes).0 >= PIPELINED {
                    seen.end = "read all".to_owned();
                    break;
                }
            }
            Err(error) => {
                seen.end = error.to_string();
                break;
            }
        }
        thread::sleep(READ_PAUSE);
    }
    seen.attempts = attempts;
    seen.ended_at = Instant::now();
    Some(seen)
}

/// Returns how many whole answers the bytes hold, and the attempts that they name.
fn count_whole(bytes: &[u8]) -> (usize, HashSet<String>) {
    let mut whole = HashSet::new();
    let mut count = 0;
    let mut rest = bytes;
    while let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&rest[..end]).into_owned();
        let value = |name: &str| {
            let lines = head.split("\r\n").filter_map(|line| line.split_once(": "));
            let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
            found.next().map(|(_, value)| value.to_owned())
        };
        let length: usize = value("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let Some(body) = rest.get(end + 4..end + 4 + length) else {
            break;
        };
        let attempt = value("x-attempt-id").unwrap_or_default();
        if head.starts_with("HTTP/1.1 200") && body == large_body_of(&attempt) {
            whole.insert(attempt);
        }
        count += 1;
        rest = &rest[end + 4 + length..];
    }
    (count, whole)
}

pub fn play(stage: &Stage, trouble: Trouble) -> Result<Option<String>, String> {
    let store = Store::start();
    store.put("op/config", document(2, 15_000).as_bytes());
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for (index, zone) in ["atl-a", "atl-b", "atl-c"].iter().enumerate() {
        let place = Place {
            index,
            zone,
            service: SERVICE,
            store: store.address,
            has_tenants: false,
        };
        let mut node = Node::prepare(&stage.root, &stage.scratch, &place)?;
        let work = Duration::from_millis(90);
        let (app, control) = (node.app(), node.control());
        let backend = Backend::new(&node.name, SERVICE, zone, app, control, work, None);
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
    thread::sleep(Duration::from_secs(6));
    if trouble == Trouble::Idle && stage.has_trouble {
        store.put("op/config", document(3, 3_000).as_bytes());
        stage.note("config_change (idle): idle_timeout_ms is 3,000, acknowledged");
    }
    thread::sleep(Duration::from_secs(4));
    stage.note("nodes are ready; the clients send");
    let address = nodes[0].outbound();
    let all: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let all = all.clone();
        clients.push(thread::spawn(move || {
            if let Some(seen) = read_slowly(address, client) {
                all.lock().unwrap().push(seen);
            }
        }));
    }
    thread::sleep(BEFORE_STOP);
    let stopped_at = Instant::now();
    if trouble == Trouble::Stop && stage.has_trouble {
        stage.note(format!("roll_term: {} gets SIGTERM", nodes[0].name));
        nodes[0].signal(SIGTERM);
        while !nodes[0].has_ended() && stopped_at.elapsed() < Duration::from_secs(6) {
            thread::sleep(Duration::from_millis(10));
        }
        stage.note(format!(
            "it has ended, {} ms after SIGTERM",
            stopped_at.elapsed().as_millis()
        ));
        nodes[0].kill();
        nodes[0].start(&stage.root)?;
        stage.note("it is started again");
    }
    for client in clients {
        let _ = client.join();
    }
    let all = all.lock().unwrap();
    if all.len() < CLIENTS {
        return Err("a client could not connect".to_owned());
    }
    let mut broken = Vec::new();
    for seen in all.iter() {
        let (_, whole) = count_whole(&seen.bytes);
        let length = seen.bytes.len();
        stage.note_at(
            seen.ended_at,
            format!("a connection ends ({}) with {length} bytes read", seen.end),
        );
        for attempt in &seen.attempts {
            let ran = backends.iter().find_map(|backend| {
                let runs = backend.runs.lock().unwrap();
                runs.iter()
                    .find(|run| run.attempt == *attempt)
                    .map(|run| run.at)
            });
            let is_whole = whole.contains(attempt);
            stage.note_at(
                seen.sent_at,
                format!(
                    "sent {attempt}, ran: {}, whole answer: {is_whole}",
                    ran.is_some()
                ),
            );
            // The connection ended before the deadline, and the request had been passed on to a back end.
            let is_cut = seen.end != "deadline" && seen.end != "read all";
            if is_cut && ran.is_some() && !is_whole {
                broken.push(attempt.clone());
            }
        }
    }
    Ok((!broken.is_empty()).then(|| {
        let count = CLIENTS * PIPELINED;
        format!(
            "LOST: {} of {count} requests that had run have no whole answer: {}",
            broken.len(),
            broken.join(" ")
        )
    }))
}
