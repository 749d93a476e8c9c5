//! Names of the HTTP headers that callers, back ends and nodes exchange.
//!
//! All names are lower case, as HTTP/2 and the `http` crate want them.

/// Tenant on whose behalf a call is made (request).
pub const TENANT: &str = "tallybridge-tenant";
/// Time that the caller still waits, in milliseconds from now (request, relative so that clocks
/// need not agree).
pub const TIMEOUT_MS: &str = "tallybridge-timeout-ms";
/// Opaque token that a back end copies from its request onto its nested calls (request).
pub const CALL_TOKEN: &str = "tallybridge-token";
/// Identity of the whole request, for logs and `tallybridge explain` (request to a back end,
/// answer to a caller).
pub const REQUEST_ID: &str = "tallybridge-request-id";
/// What is known about the execution: `completed`, `not-run` or `unknown` (answer). A back end
/// sends `not-run` with a 503 when it refused before doing any work.
pub const OUTCOME: &str = "tallybridge-outcome";
/// The [`ErrorKind`](crate::ErrorKind) of a refusal (answer).
pub const ERROR_KIND: &str = "tallybridge-error";
/// Set to `true` by a back end that is leaving and wants no new work (answer of a back end).
pub const DRAINING: &str = "tallybridge-draining";
/// Key under which a caller's repeated requests are one request (request), a UUIDv7; the name is
/// that of draft-ietf-httpapi-idempotency-key-header.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
