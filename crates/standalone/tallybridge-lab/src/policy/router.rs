//! The baselines' router: round robin over the back ends of a service, headers passed through.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use clap::Args;
use http::{HeaderMap, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tallybridge_core::header;
use thiserror::Error;
use tokio::{net::TcpListener, sync::Semaphore};
use warp::Filter;

use crate::standin::machine_list::announce;

/// Longest time for one try of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers passed to the back end. The time left is not: passing deadlines on is a control that
/// the baselines are without.
const REQUEST_HEADERS: &[&str] = &[header::TENANT, header::CALL_TOKEN, header::IDEMPOTENCY_KEY];

/// Headers passed to the caller.
const ANSWER_HEADERS: &[&str] = &[header::OUTCOME, header::DRAINING];

/// Flags of the router.
#[derive(Debug, Clone, Args)]
pub struct RouterArgs {
    /// Settings file, JSON.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Settings of a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Services and their back ends.
    pub services: BTreeMap<String, RoutedService>,
    /// How often it tries a call again after a failure.
    pub retries: u32,
}

/// Back ends of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedService {
    /// Addresses.
    pub backends: Vec<SocketAddr>,
    /// Calls that this router runs at one back end at once; absent: no limit.
    pub limit: Option<usize>,
}

/// Why a router can't run.
#[derive(Debug, Error)]
pub enum RouterError {
    /// The settings file is not valid.
    #[error("settings file is not valid")]
    Settings(#[from] serde_json::Error),
    /// A file or a socket can't be opened.
    #[error("file or socket can't be opened")]
    Io(#[from] std::io::Error),
    /// The HTTP client can't be made.
    #[error("HTTP client can't be made")]
    Client(#[from] reqwest::Error),
}

struct RouterState {
    services: BTreeMap<String, ServiceState>,
    retries: u32,
    client: reqwest::Client,
}

struct ServiceState {
    backends: Vec<BackendState>,
    next: AtomicUsize,
}

struct BackendState {
    address: SocketAddr,
    limit: Option<Semaphore>,
}

/// A call on its way through.
struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Runs a router for ever.
///
/// # Errors
///
/// [`RouterError`] when it can't start.
pub async fn run(arguments: RouterArgs) -> Result<(), RouterError> {
    let settings: RouterSettings = serde_json::from_slice(&std::fs::read(&arguments.settings)?)?;
    let listener = TcpListener::bind(settings.address).await?;
    announce(listener.local_addr()?)?;
    let state = Arc::new(RouterState::new(settings)?);
    let calls = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(
            move |method, path: warp::path::FullPath, headers: HeaderMap, body: Bytes| {
                let state = Arc::clone(&state);
                let call = Call {
                    method,
                    path: path.as_str().to_owned(),
                    headers,
                    body,
                };
                async move { state.route(call).await }
            },
        )
        .recover(refuse);
    warp::serve(calls).incoming(listener).run().await;
    Ok(())
}

async fn refuse(_rejection: warp::Rejection) -> Result<impl warp::Reply, Infallible> {
    Ok(plain_answer(StatusCode::BAD_REQUEST))
}

impl RouterState {
    fn new(settings: RouterSettings) -> Result<Self, RouterError> {
        let services = settings
            .services
            .into_iter()
            .map(|(name, service)| (name, ServiceState::new(service)))
            .collect();
        Ok(Self {
            services,
            retries: settings.retries,
            client: reqwest::Client::builder()
                .no_proxy()
                .timeout(CALL_TIMEOUT)
                .build()?,
        })
    }

    async fn route(&self, call: Call) -> Response<Bytes> {
        let target = call
            .path
            .strip_prefix("/call/")
            .and_then(|rest| rest.split_once('/'));
        let Some((service, path)) = target else {
            return plain_answer(StatusCode::NOT_FOUND);
        };
        let Some(service) = self.services.get(service) else {
            return plain_answer(StatusCode::NOT_FOUND);
        };
        let mut answer = self.forward(service, path, &call).await;
        for _ in 0..self.retries {
            if !answer.status().is_server_error() {
                break;
            }
            answer = self.forward(service, path, &call).await;
        }
        answer
    }

    async fn forward(&self, service: &ServiceState, path: &str, call: &Call) -> Response<Bytes> {
        let backend = service.choose();
        let _permit = match &backend.limit {
            None => None,
            Some(limit) => match limit.try_acquire() {
                Ok(permit) => Some(permit),
                Err(_) => return plain_answer(StatusCode::SERVICE_UNAVAILABLE),
            },
        };
        let mut request = self
            .client
            .request(
                call.method.clone(),
                format!("http://{}/{path}", backend.address),
            )
            .body(call.body.clone());
        for name in REQUEST_HEADERS {
            if let Some(value) = call.headers.get(*name) {
                request = request.header(*name, value);
            }
        }
        match request.send().await {
            Ok(answer) => pass_back(answer).await,
            Err(_) => plain_answer(StatusCode::BAD_GATEWAY),
        }
    }
}

impl ServiceState {
    fn new(service: RoutedService) -> Self {
        let backend = |address| BackendState {
            address,
            limit: service.limit.map(Semaphore::new),
        };
        Self {
            backends: service.backends.into_iter().map(backend).collect(),
            next: AtomicUsize::new(0),
        }
    }

    fn choose(&self) -> &BackendState {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        &self.backends[turn % self.backends.len()]
    }
}

async fn pass_back(answer: reqwest::Response) -> Response<Bytes> {
    let status = answer.status();
    let headers = answer.headers().clone();
    let Ok(body) = answer.bytes().await else {
        return plain_answer(StatusCode::BAD_GATEWAY);
    };
    let mut passed = Response::new(body);
    *passed.status_mut() = status;
    for name in ANSWER_HEADERS {
        if let Some(value) = headers.get(*name) {
            passed.headers_mut().insert(*name, value.clone());
        }
    }
    passed
}

fn plain_answer(status: StatusCode) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}
