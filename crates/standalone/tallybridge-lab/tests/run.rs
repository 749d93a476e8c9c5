//! Whole runs of a small scenario in processes of their own: what comes out, and that nothing is
//! left behind.

use std::{
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tallybridge_lab::measure::Summary;

const SCENARIO: &str = r#"
    base = "feira"
    name = "small"

    [[phase]]
    name = "steady"
    seconds = 2
    rate = 40
    mix = [{ kind = "payment", weight = 1 }, { kind = "price", weight = 1 }]

    [[fault]]
    at_seconds = 0.5
    seconds = 0.5
    action = "slow"
    service = "catalogue"
    factor = 2.0

    [[fault]]
    at_seconds = 1
    seconds = 0.5
    action = "lie"
    target = "balances-0"
"#;

/// Pause between two looks at something that is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

struct Files {
    directory: tempfile::TempDir,
}

impl Files {
    fn new() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        std::fs::write(directory.path().join("small.toml"), SCENARIO).expect("written");
        Self { directory }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn start(&self) -> Child {
        Command::new(env!("CARGO_BIN_EXE_tallybridge-lab"))
            .arg("run")
            .arg(self.path("small.toml"))
            .args(["--policy", "none", "--seed", "5", "--keep-files"])
            .arg(self.path("kept"))
            .arg("--summary")
            .arg(self.path("summary.json"))
            .stdin(Stdio::null())
            .spawn()
            .expect("started")
    }

    /// Addresses that the run's processes listen on, once all settings are written.
    fn addresses(&self) -> Vec<SocketAddr> {
        let Ok(files) = std::fs::read_dir(self.path("kept").join("none-0")) else {
            return Vec::new();
        };
        files
            .flatten()
            .filter_map(|file| address_of(&file.path()))
            .collect()
    }
}

fn address_of(path: &Path) -> Option<SocketAddr> {
    if path.extension()? != "json" {
        return None;
    }
    let text = std::fs::read_to_string(path).ok()?;
    let settings: serde_json::Value = serde_json::from_str(&text).ok()?;
    settings["address"].as_str()?.parse().ok()
}

fn is_listening(address: &SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}

/// Back ends and routers of the scenario.
const PROCESSES: usize = 24;

#[test]
fn a_run_answers_every_request_and_leaves_no_process() {
    let files = Files::new();
    let status = files.start().wait().expect("ended");
    assert_eq!(status.code(), Some(0));

    let text = std::fs::read_to_string(files.path("summary.json")).expect("written");
    let summary: Summary = serde_json::from_str(&text).expect("a summary");
    assert_eq!(summary.scenario, "small");
    assert_eq!(summary.seed, 5);
    assert_eq!(summary.node_processes, 12);
    let policy = &summary.policies[0];
    assert_eq!(policy.name, "none");
    assert!(policy.offered > 0);
    assert_eq!(policy.violations.wrong_answer, 0);

    let addresses = files.addresses();
    assert_eq!(addresses.len(), PROCESSES);
    assert!(!addresses.iter().any(is_listening));
}

#[test]
fn an_interrupted_run_leaves_no_process() {
    let files = Files::new();
    let mut child = files.start();
    while files.addresses().len() < PROCESSES || !files.addresses().iter().all(is_listening) {
        assert!(child.try_wait().expect("known").is_none(), "still running");
        std::thread::sleep(LOOK_PAUSE);
    }
    let id = Pid::from_raw(child.id().try_into().expect("a process id"));
    kill(id, Signal::SIGINT).expect("sent");
    let status = child.wait().expect("ended");
    assert_eq!(status.code(), Some(130));
    while files.addresses().iter().any(is_listening) {
        std::thread::sleep(LOOK_PAUSE);
    }
}

#[test]
fn a_killed_run_leaves_no_process() {
    let files = Files::new();
    let mut child = files.start();
    while files.addresses().len() < PROCESSES || !files.addresses().iter().all(is_listening) {
        assert!(child.try_wait().expect("known").is_none(), "still running");
        std::thread::sleep(LOOK_PAUSE);
    }
    child.kill().expect("killed");
    child.wait().expect("ended");
    // Each process ends by itself once its standard input is closed.
    while files.addresses().iter().any(is_listening) {
        std::thread::sleep(LOOK_PAUSE);
    }
}
