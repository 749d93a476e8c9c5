//! Kinds of root requests and how their callers behave.

use serde::{Deserialize, Serialize};
use tallybridge_core::ServiceName;

/// One kind of root request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, used in mixes and reports.
    pub name: String,
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// How long the caller cares, in milliseconds from the intended send time.
    pub patience_ms: u64,
    /// How long the caller waits for one attempt, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// How often the caller sends the request at most, the first time included.
    pub attempts: u32,
    /// Pause of the caller between two attempts, in milliseconds.
    pub backoff_ms: u64,
    /// Whether the caller waits for the time that a `Retry-After` gives.
    #[serde(default)]
    pub honours_retry_after: bool,
}
