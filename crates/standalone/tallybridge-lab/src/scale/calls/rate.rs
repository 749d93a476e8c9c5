//! Processor time and bytes of a call at one rate.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tallybridge_core::header;
use tokio::time::MissedTickBehavior;
use tokio_util::task::TaskTracker;

use super::{
    backend::{self, BODY_BYTES},
    pair::{NodeThread, introduce},
    setting::{SERVICE, TENANT, backend as backend_settings},
};
use crate::scale::{counting::Sent, summary::CallFigures};

/// Time in which connections are made and code is warmed up.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time over which nodes at rest are watched.
const REST: Duration = Duration::from_secs(3);
/// Time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(6);
/// Time that the back end takes.
const LATENCY: Duration = Duration::from_millis(5);
/// Connections to the back end; more than any measured rate needs.
const CONNECTIONS: u16 = 256;

/// Measures calls at a steady rate, in calls a second.
///
/// # Errors
///
/// An error when a node can't be started.
pub fn measure_rate(rate: u32) -> io::Result<CallFigures> {
    tokio::runtime::Runtime::new()?.block_on(measure(rate))
}

/// What one node had used and sent at some time.
struct Mark {
    busy: Duration,
    sent: Sent,
}

async fn mark(node: &NodeThread) -> Mark {
    Mark {
        busy: node.busy().await,
        sent: node.traffic.sent(),
    }
}

async fn measure(rate: u32) -> io::Result<CallFigures> {
    let address = backend::serve(LATENCY).await?;
    let executor = NodeThread::start(Some(backend_settings(address, CONNECTIONS))).await?;
    let entry = NodeThread::start(None).await?;
    introduce(&[&entry.context, &executor.context]).await?;
    let callers = Callers::new(&entry)?;
    callers.run(rate, WARM_UP).await;
    let (entry_rest, executor_rest) = rest(&entry, &executor).await;
    let before = (mark(&entry).await, mark(&executor).await);
    let began = Instant::now();
    let (answered, failed) = callers.run(rate, WINDOW).await;
    let seconds = began.elapsed().as_secs_f64();
    let after = (mark(&entry).await, mark(&executor).await);
    let calls = answered.max(1) as f64;
    let micros = |before: &Mark, after: &Mark, rest: f64| {
        let busy = after.busy.saturating_sub(before.busy).as_secs_f64();
        (busy - rest * seconds) * 1e6 / calls
    };
    let bytes = |before: &Mark, after: &Mark| {
        let sent = after.sent.stream_bytes - before.sent.stream_bytes;
        sent as f64 / calls - BODY_BYTES as f64
    };
    Ok(CallFigures {
        rate: answered as f64 / seconds,
        failed,
        entry_micros: micros(&before.0, &after.0, entry_rest),
        executor_micros: micros(&before.1, &after.1, executor_rest),
        link_request_bytes: bytes(&before.0, &after.0),
        link_answer_bytes: bytes(&before.1, &after.1),
    })
}

/// Processor seconds a second of both nodes at rest.
async fn rest(entry: &NodeThread, executor: &NodeThread) -> (f64, f64) {
    let before = (entry.busy().await, executor.busy().await);
    tokio::time::sleep(REST).await;
    let after = (entry.busy().await, executor.busy().await);
    let share = |before: Duration, after: Duration| {
        after.saturating_sub(before).as_secs_f64() / REST.as_secs_f64()
    };
    (share(before.0, after.0), share(before.1, after.1))
}

/// Callers that send at fixed times, whether or not there are answers.
struct Callers {
    client: reqwest::Client,
    url: String,
}

impl Callers {
    fn new(entry: &NodeThread) -> io::Result<Self> {
        let client = reqwest::Client::builder().no_proxy().build();
        Ok(Self {
            client: client.map_err(io::Error::other)?,
            url: format!("http://{}/call/{SERVICE}/work", entry.caller_address),
        })
    }

    /// Sends for a time and gives how many calls were answered whole and how many not.
    async fn run(&self, rate: u32, time: Duration) -> (u64, u64) {
        let answered = Arc::new(AtomicU64::new(0));
        let failed = Arc::new(AtomicU64::new(0));
        let tasks = TaskTracker::new();
        let mut timer = tokio::time::interval(Duration::from_secs(1) / rate);
        timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let calls = u64::from(rate) * time.as_secs();
        for _ in 0..calls {
            timer.tick().await;
            let call = self.call();
            let (answered, failed) = (answered.clone(), failed.clone());
            tasks.spawn(async move {
                let counter = if call.await { answered } else { failed };
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
        tasks.close();
        tasks.wait().await;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&answered), count(&failed))
    }

    fn call(&self) -> impl Future<Output = bool> + use<> {
        let request = self
            .client
            .post(&self.url)
            .header(header::TENANT, TENANT)
            .body(vec![b'q'; BODY_BYTES]);
        async move {
            let Ok(response) = request.send().await else {
                return false;
            };
            let is_success = response.status().is_success();
            let whole = response.bytes().await;
            is_success && whole.is_ok_and(|body| body.len() == BODY_BYTES)
        }
    }
}
