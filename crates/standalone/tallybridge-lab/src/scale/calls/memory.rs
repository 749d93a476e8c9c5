//! Memory of calls in flight.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use tallybridge_core::{InstanceId, RequestKey, ServiceName, TenantName};
use tallybridge_node::{
    NodeParts, RunningNode,
    connections::store::StoreTimes,
    path::{CarriedRequest, entry},
    start_core,
    systems::begin::{CallRequest, Origin},
};
use tallybridge_wire::WireHeaders;
use tokio_util::sync::CancellationToken;

use super::{
    backend::{BODY_BYTES, WaitingBackend},
    pair::introduce,
    setting::{SERVICE, TENANT, backend, settings},
};
use crate::scale::{counting::CountingNetwork, usage};

/// Calls held in flight.
const CALLS: usize = 4_000;
/// Concurrency limit, of which a cold back end gets a quarter at once.
const LIMIT: u16 = 40_000;
/// Time that the back end takes.
const LATENCY: Duration = Duration::from_secs(3);
/// Time after which all calls are at the back end.
const ARRIVED: Duration = Duration::from_secs(2);

/// Measures the memory of one call in flight, in bytes, at its entry node and its executing node
/// together.
///
/// # Errors
///
/// An error when a node can't be started or the calls did not all arrive.
pub fn measure_memory() -> io::Result<f64> {
    tokio::runtime::Runtime::new()?.block_on(measure())
}

async fn measure() -> io::Result<f64> {
    let executor = start(true).await?;
    let entry = start(false).await?;
    introduce(&[&entry.context, &executor.context]).await?;
    let first = spawn_call(&entry);
    first.await.map_err(io::Error::other)?;
    let before = usage::resident_bytes();
    let calls: Vec<_> = (0..CALLS).map(|_| spawn_call(&entry)).collect();
    tokio::time::sleep(ARRIVED).await;
    let after = usage::resident_bytes();
    let mut answered = 0;
    for call in calls {
        answered += usize::from(call.await.is_ok_and(|whole| whole));
    }
    if answered < CALLS {
        let missing = CALLS - answered;
        return Err(io::Error::other(format!(
            "{missing} calls were not answered"
        )));
    }
    Ok(after.saturating_sub(before) as f64 / CALLS as f64)
}

async fn start(has_backend: bool) -> io::Result<RunningNode> {
    let network = CountingNetwork::bind().await?;
    let address = network.address();
    let settings = settings(address, has_backend.then(|| backend(address, LIMIT)));
    let parts = NodeParts {
        network: Arc::new(network),
        backend: has_backend.then(|| Arc::new(WaitingBackend(LATENCY)) as _),
        instance: InstanceId::random(),
        store_times: StoreTimes::default(),
    };
    start_core(settings, parts).await.map_err(io::Error::other)
}

fn spawn_call(entry: &RunningNode) -> tokio::task::JoinHandle<bool> {
    let context = entry.context.clone();
    tokio::spawn(async move {
        let request = CallRequest {
            tenant: Some(TenantName::from(TENANT)),
            service: ServiceName::from(SERVICE),
            method: "POST".to_owned(),
            path: "/work".to_owned(),
            body_bytes: BODY_BYTES,
            timeout: None,
            origin: Origin::Root {
                key: RequestKey::generate(),
                caller_key: false,
            },
        };
        let carried = CarriedRequest {
            method: "POST".to_owned(),
            path_and_query: "/work".to_owned(),
            headers: WireHeaders::default(),
            body: Bytes::from(vec![b'q'; BODY_BYTES]),
        };
        let cancelled = CancellationToken::new();
        let end = entry::carry(&context, request, carried, cancelled).await;
        end.result.is_ok()
    })
}
