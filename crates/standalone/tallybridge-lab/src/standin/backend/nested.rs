//! Nested calls: made through the node beside the back end, with the call token copied.

use std::time::Duration;

use tallybridge_core::header;
use tokio::time::Instant;

use super::{
    CallPlace, content,
    settings::{EndpointSettings, NestedCallSettings},
    state::BackendState,
};

/// Pause of a back end between two tries of a nested call.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// What a back end copies from its call onto nested ones.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Call token.
    pub token: String,
    /// Tenant.
    pub tenant: String,
    /// Time that the call was given.
    pub timeout: Duration,
    /// When the call's time is up.
    pub deadline: Instant,
}

/// Why a nested call brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedError {
    /// It failed, also when tried again.
    Failed,
    /// Its answer was not the one to this call.
    Wrong,
}

/// Makes all nested calls of an endpoint, one after the other.
pub async fn make_calls(
    state: &BackendState,
    endpoint: &EndpointSettings,
    place: &CallPlace,
    context: &CallContext,
) -> Result<(), NestedError> {
    for (number, call) in endpoint.calls.iter().enumerate() {
        let nested_place = place.nested(&call.path, number);
        make_call(state, call, &nested_place, context).await?;
    }
    Ok(())
}

async fn make_call(
    state: &BackendState,
    call: &NestedCallSettings,
    place: &CallPlace,
    context: &CallContext,
) -> Result<(), NestedError> {
    for attempt in 0..=call.retries {
        if attempt > 0 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        match send(state, call, place, context).await {
            Err(NestedError::Failed) => {}
            settled => return settled,
        }
    }
    Err(NestedError::Failed)
}

async fn send(
    state: &BackendState,
    call: &NestedCallSettings,
    place: &CallPlace,
    context: &CallContext,
) -> Result<(), NestedError> {
    let url = format!(
        "http://{}/call/{}/{place}",
        state.settings.caller_address, call.service
    );
    let remaining = context.deadline.saturating_duration_since(Instant::now());
    let method =
        reqwest::Method::from_bytes(call.method.as_bytes()).map_err(|_| NestedError::Failed)?;
    let answer = state
        .client
        .request(method, url)
        .header(header::CALL_TOKEN, &context.token)
        .header(header::TENANT, &context.tenant)
        .header(header::TIMEOUT_MS, remaining.as_millis().to_string())
        .timeout(remaining)
        .send()
        .await
        .map_err(|_| NestedError::Failed)?;
    if !answer.status().is_success() {
        return Err(NestedError::Failed);
    }
    let body = answer.bytes().await.map_err(|_| NestedError::Failed)?;
    let expected = content::answer_body(call.service.as_str(), place, call.answer_bytes);
    if body == expected {
        Ok(())
    } else {
        Err(NestedError::Wrong)
    }
}
