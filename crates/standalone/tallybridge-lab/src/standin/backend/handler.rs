//! Runs one call: queue, slot, own work, nested calls, answer.

use std::{sync::Arc, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use tallybridge_core::{Outcome, header};
use tokio::{sync::SemaphorePermit, time::Instant};

use super::{
    CallPlace, ExecutionEnd, content,
    nested::{self, CallContext, NestedError},
    settings::EndpointSettings,
    state::BackendState,
};

/// Time that a call without a timeout header may take.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Writes down the end of an execution, also when the connection is closed and the handler's
/// future is dropped.
struct ExecutionGuard<'a> {
    state: &'a BackendState,
    sequence: u64,
    started: bool,
    ended: bool,
}

impl ExecutionGuard<'_> {
    fn start(&mut self) {
        self.started = true;
        self.state.log.started(self.sequence);
    }

    fn end(&mut self, end: ExecutionEnd) {
        self.ended = true;
        self.state.log.ended(self.sequence, end);
    }
}

impl Drop for ExecutionGuard<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.end(if self.started {
            ExecutionEnd::Cancelled
        } else {
            ExecutionEnd::CancelledInQueue
        });
    }
}

/// Counts a call as queued for as long as it lives.
struct QueueGuard<'a>(&'a BackendState);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one call.
pub async fn handle_call(
    state: Arc<BackendState>,
    path: String,
    headers: HeaderMap,
) -> Response<Bytes> {
    let Ok(place) = path.parse::<CallPlace>() else {
        return plain_answer(StatusCode::NOT_FOUND);
    };
    let endpoint = state
        .settings
        .endpoints
        .iter()
        .find(|endpoint| endpoint.path == place.endpoint);
    let Some(endpoint) = endpoint else {
        return plain_answer(StatusCode::NOT_FOUND);
    };
    let context = CallContext::from_headers(&headers);
    let mut answer = execute(&state, endpoint, &place, &context).await;
    if state.control().draining {
        let value = http::HeaderValue::from_static("true");
        answer.headers_mut().insert(header::DRAINING, value);
    }
    answer
}

impl CallContext {
    fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let timeout = text(header::TIMEOUT_MS)
            .parse()
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        Self {
            token: text(header::CALL_TOKEN),
            tenant: text(header::TENANT),
            timeout,
            deadline: Instant::now() + timeout.min(DEFAULT_TIMEOUT),
        }
    }
}

async fn execute(
    state: &BackendState,
    endpoint: &EndpointSettings,
    place: &CallPlace,
    context: &CallContext,
) -> Response<Bytes> {
    let mut execution = ExecutionGuard {
        state,
        sequence: state.log.arrived(place, context, state.control().draining),
        started: false,
        ended: false,
    };
    let slot = if endpoint.takes_slot {
        match take_slot(state, context.deadline).await {
            Ok(slot) => Some(slot),
            Err(end) => {
                execution.end(end);
                return not_run_answer();
            }
        }
    } else {
        None
    };
    execution.start();
    let worked =
        tokio::time::timeout_at(context.deadline, work(state, endpoint, place, context)).await;
    drop(slot);
    let end = match worked {
        Ok(Ok(())) => ExecutionEnd::Answered,
        Ok(Err(NestedError::Failed)) => ExecutionEnd::NestedFailed,
        Ok(Err(NestedError::Wrong)) => ExecutionEnd::NestedWrong,
        Err(_) => ExecutionEnd::GaveUp,
    };
    execution.end(end);
    match end {
        ExecutionEnd::Answered => {
            let service = state.settings.service.as_str();
            Response::new(content::answer_body(service, place, endpoint.answer_bytes))
        }
        ExecutionEnd::GaveUp => plain_answer(StatusCode::GATEWAY_TIMEOUT),
        _ => plain_answer(StatusCode::BAD_GATEWAY),
    }
}

async fn take_slot(
    state: &BackendState,
    deadline: Instant,
) -> Result<SemaphorePermit<'_>, ExecutionEnd> {
    if let Ok(slot) = state.slots.try_acquire() {
        return Ok(slot);
    }
    if state.queued.fetch_add(1, Ordering::Relaxed) >= state.settings.queue {
        state.queued.fetch_sub(1, Ordering::Relaxed);
        return Err(ExecutionEnd::Shed);
    }
    let _queued = QueueGuard(state);
    match tokio::time::timeout_at(deadline, state.slots.acquire()).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_)) | Err(_) => Err(ExecutionEnd::ExpiredInQueue),
    }
}

async fn work(
    state: &BackendState,
    endpoint: &EndpointSettings,
    place: &CallPlace,
    context: &CallContext,
) -> Result<(), NestedError> {
    let service_time = state.draw_service_time(endpoint, std::time::Instant::now());
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    nested::make_calls(state, endpoint, place, context).await
}

fn not_run_answer() -> Response<Bytes> {
    let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE);
    let value = http::HeaderValue::from_static(Outcome::NotRun.as_str());
    answer.headers_mut().insert(header::OUTCOME, value);
    answer
}

fn plain_answer(status: StatusCode) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}
