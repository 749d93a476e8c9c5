//! The platform as the mesh sees it: names of headers, reports of back ends, the configuration and
//! the registry in its store.
//!
//! [`Platform`] is filled by an adapter, which decodes each field of the wire once; the platform's
//! own names stay behind these types.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{configuration::Configuration, http::RequestHead};

/// Names of the headers that the platform's callers and back ends use.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller.
    pub attempt: &'static str,
    /// Time that the sender will wait, in milliseconds.
    pub deadline_ms: &'static str,
    /// The instance that alone may run a request.
    pub expected_instance: &'static str,
    /// Set by a back end that has not run a request.
    pub not_run: &'static str,
    /// The service on whose machine a request began.
    pub caller_service: &'static str,
    /// The instance that answers a health check, or refuses a request for another one.
    pub instance: &'static str,
    /// The key of the tenant that a request is made for.
    pub credential: &'static str,
    /// The tenant of a request, for back ends.
    pub tenant: &'static str,
}

/// The state that a back end reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// It takes work.
    Ready,
    /// It is about to end, or has ended.
    Leaving,
}

/// A report of a back end about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// The id under which the back end reports; an earlier start may have had it as well.
    pub instance: String,
    /// When this start of it began, in Unix milliseconds of its clock; `None` when the report does not
    /// say.
    pub started_at_ms: Option<u64>,
    /// Its service, when the report says.
    pub service: Option<String>,
    /// Its state.
    pub state: ReportedState,
    /// Grows with each report; 0 when the report carries none.
    pub sequence: u64,
    /// Requests that it works on at once; 0 when the report carries none.
    pub slots: u32,
}

/// A request at the addresses for readiness and reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// A readiness probe.
    Readiness,
    /// A back end's report.
    Report(InstanceReport),
    /// A report that can't be read, with the reason.
    Malformed(String),
    /// None of these.
    Unknown,
}

/// Why the platform's store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store did nothing, or the call was never sent; with the reason.
    #[error("store refused: {0}")]
    Refused(String),
    /// No answer, or one that can't be read: the call may have been done. With the reason.
    #[error("no answer from the store: {0}")]
    Unknown(String),
    /// A watch asked for changes that the store has forgotten.
    #[error("store's history is gone")]
    HistoryCompacted,
    /// The lease has ended.
    #[error("lease is over")]
    LeaseExpired,
}

/// The configuration in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// The store's revision at the time of reading: a watch goes on from there.
    pub revision: u64,
    /// The document, if there is one.
    pub document: Option<Bytes>,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedConfiguration {
    /// The store's revision up to which changes were seen: the next watch goes on from there.
    pub revision: u64,
    /// The newest document that was written meanwhile.
    pub document: Option<Bytes>,
}

/// A page of the registry, in the order of the names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryPage {
    /// Values of the entries.
    pub records: Vec<Bytes>,
    /// The name after which the next page begins; `None` at the end of the registry.
    pub next_after: Option<String>,
}

/// A call to the platform's store.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// The platform on which a node runs: its names and its store.
pub trait Platform: Send + Sync + 'static {
    /// Its header names.
    fn header_names(&self) -> HeaderNames;

    /// Reads a request at the addresses for readiness and reports.
    fn control_request(&self, head: &RequestHead, body: &[u8]) -> ControlRequest;

    /// Reads a configuration document.
    ///
    /// # Errors
    ///
    /// What is wrong with it, naming the field.
    fn configuration(&self, document: &[u8]) -> Result<Configuration, String>;

    /// Reads the newest configuration, linearizably.
    fn read_configuration(&self) -> StoreFuture<'_, StoredConfiguration>;

    /// Waits, at most for `wait`, for a change after the revision `after`.
    fn watch_configuration(
        &self,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'_, WatchedConfiguration>;

    /// Writes an entry of the registry under a name, and gives the lease under which it lies:
    /// `lease`, or a new one of `ttl` where none is given.
    fn register<'a>(
        &'a self,
        name: &'a str,
        record: Bytes,
        ttl: Duration,
        lease: Option<u64>,
    ) -> StoreFuture<'a, u64>;

    /// Renews a lease.
    fn renew(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// Ends a lease, and with it the entries under it.
    fn end_lease(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// A page of the registry, of the names after one. It may be seconds old.
    fn registry_page<'a>(&'a self, after: &'a str) -> StoreFuture<'a, RegistryPage>;
}
