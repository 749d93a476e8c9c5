//! The back end stand-in's process.

use std::{
    convert::Infallible,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Args;
use http::HeaderMap;
use thiserror::Error;
use tokio::net::TcpListener;
use warp::Filter;

use super::{
    BackendSettings, Control, ExecutionLog,
    handler::handle_call,
    listener::{ConnectionLimits, serve},
    state::BackendState,
};
use crate::standin::machine_list::announce;

/// How often a back end samples its load.
const LOAD_SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Flags of the back end stand-in.
#[derive(Debug, Clone, Args)]
pub struct BackendArgs {
    /// Settings file, JSON.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Why a back end stand-in can't run.
#[derive(Debug, Error)]
pub enum BackendError {
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

/// Runs a back end for ever.
///
/// # Errors
///
/// [`BackendError`] when it can't start.
pub async fn run(arguments: BackendArgs) -> Result<(), BackendError> {
    let text = std::fs::read(&arguments.settings)?;
    let settings: BackendSettings = serde_json::from_slice(&text)?;
    let listener = TcpListener::bind(settings.address).await?;
    let address: SocketAddr = listener.local_addr()?;
    let limits = ConnectionLimits {
        connections: settings.connections,
        cost: Duration::from_secs_f64(settings.connection_cost_ms / 1_000.0),
    };
    let log = ExecutionLog::open(&settings.execution_log)?;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let state = Arc::new(BackendState::new(settings, log, client));
    tokio::spawn(sample_loads(Arc::clone(&state)));
    announce(address)?;
    serve(listener, limits, routes(state)).await;
    Ok(())
}

async fn sample_loads(state: Arc<BackendState>) {
    let mut ticks = tokio::time::interval(LOAD_SAMPLE_PERIOD);
    loop {
        ticks.tick().await;
        state.sample_load(Instant::now());
    }
}

fn routes(
    state: Arc<BackendState>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone + Send + Sync + 'static
{
    let with_state = warp::any().map(move || Arc::clone(&state));
    let control = warp::path!("control")
        .and(warp::post())
        .and(with_state.clone())
        .and(warp::body::json())
        .map(|state: Arc<BackendState>, control: Control| {
            state.set_control(control);
            warp::reply::json(&control)
        });
    let cool = warp::path!("control" / "cool")
        .and(warp::post())
        .and(with_state.clone())
        .map(|state: Arc<BackendState>| {
            state.cool(Instant::now());
            warp::reply()
        });
    let health = warp::path!("health").map(|| "ok");
    let load = warp::path!("load")
        .and(with_state.clone())
        .map(|state: Arc<BackendState>| warp::reply::json(&state.told_load()));
    let call = warp::any()
        .and(with_state)
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(
            |state, path: warp::path::FullPath, headers: HeaderMap, _body: Bytes| async move {
                handle_call(state, path.as_str().to_owned(), headers).await
            },
        );
    control
        .or(cool)
        .or(health)
        .or(load)
        .or(call)
        .recover(refuse)
}

async fn refuse(rejection: warp::Rejection) -> Result<impl warp::Reply, Infallible> {
    tracing::debug!(?rejection, "request refused");
    Ok(warp::reply::with_status(
        "bad request",
        warp::http::StatusCode::BAD_REQUEST,
    ))
}
