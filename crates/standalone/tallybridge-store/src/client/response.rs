//! Converts HTTP responses of the store to results.

use std::time::Duration;

use reqwest::{Response, StatusCode, header::RETRY_AFTER};
use serde::{Deserialize, de::DeserializeOwned};

use super::error::StoreError;

/// Used when a 429 response has no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request may change data. A lost response to a write leaves its outcome unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Read,
    Write,
}

impl RequestKind {
    /// Returns the error for a response that was lost after the request had been sent.
    pub fn lost_response_error(self, detail: String) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable { detail },
            Self::Write => StoreError::OutcomeUnknown { detail },
        }
    }
}

/// Body of a 409 response.
#[derive(Debug, Deserialize)]
struct ConflictBody {
    version: u64,
}

/// Parses the body of a 200 response and converts any other status to an error.
pub async fn read_response<T: DeserializeOwned>(
    kind: RequestKind,
    response: Response,
) -> Result<T, StoreError> {
    let status = response.status();
    match status {
        StatusCode::OK => read_body(kind, response).await,
        StatusCode::CONFLICT => {
            let body: ConflictBody = read_body(kind, response).await?;
            Err(StoreError::Conflict {
                version: body.version,
            })
        }
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited {
            retry_after: retry_after(&response),
        }),
        // The store may have applied a write before it responded with 5xx.
        _ if status.is_server_error() => Err(kind.lost_response_error(format!("status {status}"))),
        _ => Err(StoreError::Protocol {
            detail: format!("status {status}"),
        }),
    }
}

async fn read_body<T: DeserializeOwned>(
    kind: RequestKind,
    response: Response,
) -> Result<T, StoreError> {
    let body = response
        .bytes()
        .await
        .map_err(|error| kind.lost_response_error(format!("response body cut off: {error}")))?;
    serde_json::from_slice(&body)
        .map_err(|error| kind.lost_response_error(format!("invalid response body: {error}")))
}

/// Parses `Retry-After` as a number of seconds (RFC 9110, section 10.2.3).
fn retry_after(response: &Response) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
