//! Runs the program and stands in for what it speaks to.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use serde_json::json;
use tallybridge_lab::standin::store::{FaultOrder, StoreOptions, StoreStandin};
use tempfile::TempDir;
use tokio::{net::TcpListener, process::Command};
use warp::Filter;

/// What one run of the program left.
#[derive(Debug)]
pub struct Run {
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Asserts success and gives the output.
    pub fn output(self) -> String {
        assert_eq!(self.exit_code, Some(0), "{self:?}");
        self.stdout
    }

    /// Asserts failure with this exit code and gives what was reported.
    pub fn refusal(self, exit_code: i32) -> String {
        assert_eq!(self.exit_code, Some(exit_code), "{self:?}");
        self.stderr
    }
}

/// Runs the program.
pub async fn tallybridge(arguments: &[&str]) -> Run {
    let program = env!("CARGO_BIN_EXE_tallybridge");
    let output = Command::new(program).args(arguments).output().await;
    let output = output.expect("the program starts");
    Run {
        exit_code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A directory for the files of one test.
pub struct Files(TempDir);

impl Files {
    pub fn new() -> Self {
        Self(TempDir::new().expect("there is a directory for temporary files"))
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path
    }
}

/// A store for one test.
pub struct Store(StoreStandin);

impl Store {
    pub async fn start() -> Self {
        let standin = StoreStandin::serve(StoreOptions::default()).await;
        Self(standin.expect("the stand-in can listen"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    pub fn fault(&self, order: &FaultOrder) {
        self.0.fault(order);
    }

    /// `tallybridge config` with this store.
    pub async fn config(&self, arguments: &[&str]) -> Run {
        let address = self.0.address().to_string();
        let mut all = vec!["config"];
        all.extend(arguments);
        all.extend(["--store", &address]);
        tallybridge(&all).await
    }

    /// `tallybridge config apply` of a file.
    pub async fn apply(&self, file: &Path, base: &str, author: &str, more: &[&str]) -> Run {
        let file = file.to_str().expect("the path is text");
        let mut all = vec!["apply", file, "--base", base, "--author", author];
        all.extend(["--comment", "a test"]);
        all.extend(more);
        self.config(&all).await
    }
}

/// The admin address of a node that is at a given revision and remembers one request.
pub struct Node {
    pub address: SocketAddr,
    revision: Arc<AtomicU64>,
}

impl Node {
    pub async fn start(revision: u64, decided_unix_ms: u64) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("the system gives a port");
        let address = listener.local_addr().expect("the listener has an address");
        let revision = Arc::new(AtomicU64::new(revision));
        let shown = Arc::clone(&revision);
        let status = warp::path!("status").map(move || {
            warp::reply::json(&json!({
                "node": "127.0.0.1:1/00", "service": "billing", "ready": true, "leaving": false,
                "revision": shown.load(Ordering::SeqCst), "calls": 3, "executions": 2, "limit": 8,
                "queued": 1, "admitted_from": "critical", "peers": [{}, {}], "unheard_of": 1,
            }))
        });
        let explain = warp::path!("explain" / String).map(move |request_id: String| {
            if request_id != "0190-1" {
                return warp::reply::json(&json!([]));
            }
            warp::reply::json(&json!([{
                "request_id": request_id, "unix_ms": decided_unix_ms, "phase": "admission",
                "decision": format!("refused at {address}"), "revision": 4,
            }]))
        });
        tokio::spawn(warp::serve(status.or(explain)).incoming(listener).run());
        Self { address, revision }
    }

    pub fn set_revision(&self, revision: u64) {
        self.revision.store(revision, Ordering::SeqCst);
    }
}

/// The admin address of a node that gives the same answer about the fleet to every question.
pub struct FleetNode {
    pub address: SocketAddr,
}

impl FleetNode {
    pub async fn start(answer: serde_json::Value) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("the system gives a port");
        let address = listener.local_addr().expect("the listener has an address");
        let route = warp::any()
            .and(warp::query::raw())
            .and_then(async |query: String| match query.as_str() {
                "fleet=true" => Ok(()),
                _ => Err(warp::reject::not_found()),
            })
            .map(move |()| warp::reply::json(&answer));
        tokio::spawn(warp::serve(route).incoming(listener).run());
        Self { address }
    }
}
