//! The back end stand-in as a process: slots, shedding, drain, deadlines, cancellation, lies.

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use tallybridge_core::header;
use tallybridge_lab::{
    scenario::ServiceTime,
    standin::{
        backend::{
            BackendSettings, CallPlace, Control, EndpointSettings, Execution, ExecutionEnd,
            answer_body, read_executions,
        },
        machine_list::Listening,
    },
};

/// Work that doesn't end within a test.
const ENDLESS_MS: f64 = 600_000.0;

struct Backend {
    process: Child,
    url: String,
    log: PathBuf,
    client: reqwest::Client,
    _directory: tempfile::TempDir,
}

impl Drop for Backend {
    fn drop(&mut self) {
        // The test may have failed already; nothing more can be done about a second failure.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn endpoint(path: &str, mean_ms: f64) -> EndpointSettings {
    EndpointSettings {
        path: path.to_owned(),
        service_time: ServiceTime {
            mean_ms,
            sigma: 0.0,
        },
        answer_bytes: 1_000,
        takes_slot: true,
        calls: Vec::new(),
    }
}

impl Backend {
    /// A back end with one slot and no queue.
    fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let log = directory.path().join("executions");
        let settings = BackendSettings {
            name: "prices-0".to_owned(),
            service: "prices".into(),
            address: "127.0.0.1:0".parse().expect("an address"),
            caller_address: "127.0.0.1:9".parse().expect("an address"),
            slots: 1,
            queue: 0,
            connections: 10,
            connection_cost_ms: 1.0,
            cold_start_ms: 0,
            cold_factor: 1.0,
            health_lag_ms: 0,
            seed: 1,
            endpoints: vec![endpoint("fast", 1.0), endpoint("endless", ENDLESS_MS)],
            execution_log: log.clone(),
        };
        let path = directory.path().join("backend.json");
        std::fs::write(&path, serde_json::to_vec(&settings).expect("JSON")).expect("written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_tallybridge-lab"))
            .args(["stand-in", "backend", "--settings"])
            .arg(&path)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let mut line = String::new();
        BufReader::new(process.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let listening: Listening = serde_json::from_str(&line).expect("an address");
        Self {
            process,
            url: format!("http://{}", listening.listening),
            log,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
            _directory: directory,
        }
    }

    async fn call(&self, place: &str, timeout_ms: u64) -> reqwest::Response {
        self.client
            .get(format!("{}/{place}", self.url))
            .header(header::TIMEOUT_MS, timeout_ms.to_string())
            .send()
            .await
            .expect("an answer")
    }

    async fn tell(&self, control: Control) {
        let answer = self
            .client
            .post(format!("{}/control", self.url))
            .json(&control)
            .send()
            .await
            .expect("an answer");
        assert!(answer.status().is_success());
    }

    fn executions(&self) -> Vec<Execution> {
        read_executions("prices-0", &self.log).expect("readable")
    }

    async fn wait_for(&self, holds: impl Fn(&[Execution]) -> bool) {
        while !holds(&self.executions()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn an_answer_is_the_one_content_of_its_call() {
    let backend = Backend::start();
    let answer = backend.call("fast/7/0.1", 10_000).await;
    assert!(answer.headers().get(header::DRAINING).is_none());
    let body = answer.bytes().await.expect("whole");
    let place: CallPlace = "fast/7/0.1".parse().expect("a place");
    assert_eq!(body, answer_body("prices", &place, 1_000));
    let other: CallPlace = "fast/8/0.1".parse().expect("a place");
    assert_ne!(body, answer_body("prices", &other, 1_000));
    let executions = backend.executions();
    assert_eq!(executions[0].end, Some(ExecutionEnd::Answered));
    assert!(executions[0].ran());
}

#[tokio::test]
async fn a_full_back_end_sheds_as_not_run_and_a_closed_connection_frees_its_slot() {
    let backend = Backend::start();
    let (client, url) = (backend.client.clone(), backend.url.clone());
    let endless =
        tokio::spawn(async move { client.get(format!("{url}/endless/1/0")).send().await });
    backend
        .wait_for(|executions| executions.iter().any(Execution::ran))
        .await;

    let shed = backend.call("fast/2/0", 10_000).await;
    assert_eq!(shed.status().as_u16(), 503);
    assert_eq!(shed.headers()[header::OUTCOME], "not-run");

    endless.abort();
    backend
        .wait_for(|executions| executions[0].end == Some(ExecutionEnd::Cancelled))
        .await;
    let answered = backend.call("fast/3/0", 10_000).await;
    assert_eq!(answered.status().as_u16(), 200);
    let ends: Vec<_> = backend.executions().iter().map(|call| call.end).collect();
    assert_eq!(
        ends,
        [
            Some(ExecutionEnd::Cancelled),
            Some(ExecutionEnd::Shed),
            Some(ExecutionEnd::Answered)
        ]
    );
}

#[tokio::test]
async fn work_is_given_up_when_its_time_is_over() {
    let backend = Backend::start();
    let answer = backend.call("endless/1/0", 20).await;
    assert_eq!(answer.status().as_u16(), 504);
    assert_eq!(backend.executions()[0].end, Some(ExecutionEnd::GaveUp));
}

#[tokio::test]
async fn a_draining_back_end_says_so_and_still_works() {
    let backend = Backend::start();
    backend
        .tell(Control {
            draining: true,
            ..Control::default()
        })
        .await;
    let answer = backend.call("fast/1/0", 10_000).await;
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(answer.headers()[header::DRAINING], "true");
    assert!(backend.executions()[0].draining);
}

#[tokio::test]
async fn a_lying_back_end_tells_of_no_load() {
    let backend = Backend::start();
    let (client, url) = (backend.client.clone(), backend.url.clone());
    let _endless =
        tokio::spawn(async move { client.get(format!("{url}/endless/1/0")).send().await });
    let load_url = format!("{}/load", backend.url);
    let told = async || -> serde_json::Value {
        let answer = backend
            .client
            .get(&load_url)
            .send()
            .await
            .expect("an answer");
        answer.json().await.expect("JSON")
    };
    while told().await["running"] != 1 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    backend
        .tell(Control {
            lying: true,
            ..Control::default()
        })
        .await;
    assert_eq!(told().await["running"], 0);
}
