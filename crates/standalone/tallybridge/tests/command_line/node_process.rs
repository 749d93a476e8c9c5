//! `node` as a process, from its start to a planned stop.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::Stdio,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::process::{Child, Command};

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

#[tokio::test]
async fn a_node_takes_a_revision_up_and_stops_as_planned() {
    let (files, store) = (Files::new(), Store::start().await);
    let settings = format!(
        "peer_address = \"{}\"\ncaller_address = \"{}\"\nadmin_address = \"127.0.0.1:1\"\n\
         region = \"north\"\nzone = \"hall-a\"\nstore = [\"{}\"]\n",
        free_address(),
        free_address(),
        store.address(),
    );
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
