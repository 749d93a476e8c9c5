//! From the status of an answer to a result.

use std::time::Duration;

use reqwest::{Response, StatusCode, header::RETRY_AFTER};
use serde::{Deserialize, de::DeserializeOwned};

use super::error::StoreError;

/// Wait after a 429 without a `Retry-After` that can be read.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request changes anything, which decides what a lost answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Nothing changes; a lost answer means that nothing was learned.
    Read,
    /// Something may have changed without the caller learning of it.
    Write,
}

impl Kind {
    /// The error of an answer that was lost after the request had been sent.
    pub fn lost(self, detail: String) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable { detail },
            Self::Write => StoreError::OutcomeUnknown { detail },
        }
    }
}

/// Body of a refused expectation.
#[derive(Debug, Deserialize)]
struct ConflictBody {
    version: u64,
}

/// Reads the body of an answer that says 200, or gives its error.
pub async fn read_answer<T: DeserializeOwned>(
    kind: Kind,
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
        // The protocol doesn't promise that a write answered 5xx was not done.
        _ if status.is_server_error() => Err(kind.lost(format!("status {status}"))),
        _ => Err(StoreError::Protocol {
            detail: format!("status {status}"),
        }),
    }
}

async fn read_body<T: DeserializeOwned>(kind: Kind, response: Response) -> Result<T, StoreError> {
    let body = response
        .bytes()
        .await
        .map_err(|error| kind.lost(format!("answer cut off: {error}")))?;
    serde_json::from_slice(&body).map_err(|error| kind.lost(format!("answer unreadable: {error}")))
}

/// Reads `Retry-After` in its form of whole seconds (RFC 9110, section 10.2.3).
fn retry_after(response: &Response) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
