//! `node` as a process, from its start to a planned stop.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::Stdio,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    process::{Child, Command},
    task::JoinSet,
    time::sleep,
};

use crate::support::{Files, Store, tallybridge};

const CONFIGURATION: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\n";

/// An address of the loopback network that only this process uses, with a port from the system.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 1, middle, low.clamp(1, 254));
    let listener = TcpListener::bind((ip, 0)).expect("the system gives a port");
    listener.local_addr().expect("it has an address")
}

fn start_node(settings: &str, admin: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_tallybridge"))
        .args(["node", settings, "--admin-address", admin])
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts")
}

/// Memory of a machine in the users' deployments.
const MACHINE_BYTES: u64 = 260 << 20;
/// Clients that send all of a body but its last byte, and stay.
const CLIENTS: usize = 60;
const BODY_BYTES: usize = 16 << 20;

fn settings_of(callers: SocketAddr, store: SocketAddr) -> String {
    format!(
        "peer_address = \"{}\"\ncaller_address = \"{callers}\"\nadmin_address = \"127.0.0.1:1\"\n\
         region = \"north\"\nzone = \"hall-a\"\nstore = [\"{store}\"]\n",
        free_address(),
    )
}

/// Returns the peak memory of a process in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the node runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: u64 = kibibytes
        .and_then(|number| number.parse().ok())
        .expect("a number");
    kibibytes << 10
}

/// Connects once the node listens, and sends a body without its last byte.
async fn send_short_of_end(callers: SocketAddr) -> TcpStream {
    let mut stream = loop {
        match TcpStream::connect(callers).await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    };
    let head =
        format!("POST /call/billing/ HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let body = vec![b'x'; BODY_BYTES - 1];
    // Fails once the node refuses the request.
    if stream.write_all(head.as_bytes()).await.is_ok() {
        let _ = stream.write_all(&body).await;
    }
    stream
}

/// Guards against bodies that stay incomplete in memory.
#[tokio::test]
async fn incomplete_bodies_do_not_take_the_memory_of_a_machine() {
    let (files, store) = (Files::new(), Store::start().await);
    let callers = free_address();
    let settings = files.write("node.toml", &settings_of(callers, store.address()));
    let admin = free_address().to_string();
    let node = start_node(settings.to_str().expect("text"), &admin);
    let node_id = node.id().expect("the node runs");
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(send_short_of_end(callers));
    }
    let clients = clients.join_all().await;
    sleep(Duration::from_secs(1)).await;
    let peak = peak_memory(node_id);
    assert!(peak <= MACHINE_BYTES, "{} MiB of memory", peak >> 20);
    drop(clients);
}

#[tokio::test]
async fn a_node_takes_a_revision_up_and_stops_as_planned() {
    let (files, store) = (Files::new(), Store::start().await);
    let settings = settings_of(free_address(), store.address());
    let settings = files.write("node.toml", &settings);
    let admin = free_address().to_string();
    let node = start_node(settings.to_str().expect("text"), &admin);
    let node_id = node.id().expect("the node runs");

    let file = files.write("fleet.toml", CONFIGURATION);
    let wait = ["--admin", admin.as_str(), "--wait", "60"];
    let made = store.apply(&file, "0", "alice", &wait).await.output();
    assert!(
        made.ends_with("revision 1 is in force at 1 of 1 nodes\n"),
        "{made}"
    );
    let table = tallybridge(&["status", "--admin", &admin]).await.output();
    let row = table.lines().nth(1).expect("there is a row for the node");
    assert!(row.contains("ready"), "{table}");

    let node_id = i32::try_from(node_id).expect("process numbers are small");
    kill(Pid::from_raw(node_id), Signal::SIGTERM).expect("the node runs");
    let ended = node.wait_with_output().await.expect("the node ends");
    let log = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(0), "{log}");
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("logs are JSON lines");
        assert!(line["level"].is_string(), "{line}");
    }
    assert!(log.contains("node started"), "{log}");
}
