//! Operators and the platform: readiness, status, metrics, explanation, planned stop.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use warp::Filter;

use crate::{
    actor::status::{GetOwnStatus, GetStatus, ShowMetrics},
    connections::fleet::{explain_here, explain_in_fleet, status_in_fleet},
    context::NodeContext,
};

/// What the operators' address serves.
#[derive(Clone)]
pub struct Admin {
    /// The node.
    pub context: NodeContext,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Fires when an operator asks for a planned stop.
    pub leave: CancellationToken,
}

/// Who is asked.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Scope {
    /// The whole fleet instead of this node alone.
    #[serde(default)]
    fleet: bool,
}

/// Serves operators until the node stops.
pub async fn serve_operators(admin: Admin, listener: TcpListener) {
    let shutdown = admin.context.shutdown.clone();
    let admin = Arc::new(admin);
    let with_admin = warp::any().map(move || admin.clone());
    let ready = warp::path!("ready")
        .and(warp::get())
        .and(with_admin.clone())
        .then(|admin: Arc<Admin>| async move { ready(&admin).await });
    let status = warp::path!("status")
        .and(warp::get())
        .and(with_admin.clone())
        .and(warp::query::<Scope>())
        .then(|admin: Arc<Admin>, scope: Scope| async move {
            if scope.fleet {
                reply(status_in_fleet(&admin.context).await)
            } else {
                reply(admin.context.ask(GetStatus).await)
            }
        });
    let explain = warp::path!("explain" / String)
        .and(warp::get())
        .and(with_admin.clone())
        .and(warp::query::<Scope>())
        .then(|request_id, admin: Arc<Admin>, scope: Scope| async move {
            if scope.fleet {
                reply(explain_in_fleet(&admin.context, request_id).await)
            } else {
                reply(explain_here(&admin.context, request_id).await)
            }
        });
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(with_admin.clone())
        .then(|admin: Arc<Admin>| async move {
            // Fails only when the node is stopping; what was counted is still shown.
            let _ = admin.context.ask(ShowMetrics).await;
            admin.metrics.render()
        });
    let leave = warp::path!("leave")
        .and(warp::post())
        .and(with_admin)
        .map(|admin: Arc<Admin>| {
            admin.leave.cancel();
            StatusCode::ACCEPTED
        });
    let routes = ready.or(status).or(explain).or(metrics).or(leave);
    warp::serve(routes)
        .incoming(listener)
        .graceful(async move { shutdown.cancelled().await })
        .run()
        .await;
}

async fn ready(admin: &Admin) -> StatusCode {
    match admin.context.ask(GetOwnStatus).await {
        Ok(status) if status.ready && !status.leaving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn reply<T: Serialize, E: std::fmt::Display>(result: Result<T, E>) -> Response<Bytes> {
    let body = result
        .map_err(|error| error.to_string())
        .and_then(|value| serde_json::to_vec(&value).map_err(|error| error.to_string()));
    match body {
        Ok(body) => Response::new(Bytes::from(body)),
        Err(error) => {
            let mut response = Response::new(Bytes::from(error));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
