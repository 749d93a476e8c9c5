//! Names of the HTTP headers that callers, back ends and nodes exchange.
//!
//! All names are lower case, as HTTP/2 and the `http` crate require.

/// Tenant on whose behalf a call is made (request).
pub const TENANT: &str = "tallybridge-tenant";
/// Remaining time for which the caller waits, in milliseconds (request). The time is relative so that
/// the clocks of the machines need not agree.
pub const TIMEOUT_MS: &str = "tallybridge-timeout-ms";
/// Opaque token that a back end copies from its request onto its nested calls (request).
pub const CALL_TOKEN: &str = "tallybridge-token";
/// Identifier of the whole request, for logs and `tallybridge explain` (request to a back end,
/// answer to a caller).
pub const REQUEST_ID: &str = "tallybridge-request-id";
/// Outcome of the request: `completed`, `not-run` or `unknown` (answer). A back end sends `not-run`
/// with status 503 if it refused the request before doing any work.
pub const OUTCOME: &str = "tallybridge-outcome";
/// Name of the [`ErrorKind`](crate::ErrorKind) of a refusal (answer).
pub const ERROR_KIND: &str = "tallybridge-error";
/// Set to `true` by a back end that is leaving and accepts no new calls (answer of a back end).
pub const DRAINING: &str = "tallybridge-draining";
/// UUIDv7 that identifies repeated requests of a caller as one request (request). The name follows
/// draft-ietf-httpapi-idempotency-key-header.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
