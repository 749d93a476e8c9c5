//! The interface to the platform: header names, reports of back ends, the configuration and the
//! registry in the platform's store.
//!
//! An adapter implements [`Platform`] and decodes the platform's wire formats into the types defined
//! here, so that no other code depends on these formats.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{configuration::Configuration, http::RequestHead};

/// Names of the headers that the platform's callers and back ends use.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub attempt: &'static str,
    /// Time for which the sender waits for an answer, in milliseconds.
    pub deadline_ms: &'static str,
    /// The only instance that may run a request.
    pub expected_instance: &'static str,
    /// Marks an answer of a back end that has not run the request.
    pub not_run: &'static str,
    /// Service of the back end beside the entry.
    pub caller_service: &'static str,
    /// The instance that answers a health check or refuses a request meant for another instance.
    pub instance: &'static str,
    /// Key of the tenant for which the request is made.
    pub credential: &'static str,
    /// Name of the tenant, sent to back ends.
    pub tenant: &'static str,
    /// Rate limit of the answering back end: the requests per second, as a decimal number, that it
    /// accepts from all nodes together.
    pub rate_limit: &'static str,
    /// Marks the answers of a back end that is about to end.
    pub leaving: &'static str,
}

/// The state that a back end reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The back end accepts calls.
    Ready,
    /// The back end is about to end or has ended.
    Leaving,
}

/// A report of a back end about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// Id of the back end, which a restart may keep.
    pub instance: String,
    /// Start time of this incarnation, in Unix milliseconds of the back end's clock; `None` if the
    /// report has none.
    pub started_at_ms: Option<u64>,
    /// Service of the back end; `None` if the report has none.
    pub service: Option<String>,
    /// The reported state.
    pub state: ReportedState,
    /// Number that increases with each report; 0 if the report has none.
    pub sequence: u64,
    /// Number of requests that the back end handles concurrently; 0 if the report has none.
    pub slots: u32,
}

/// A request to the control listener, which serves readiness probes and reports of back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// A readiness probe.
    Readiness,
    /// A report of a back end.
    Report(InstanceReport),
    /// A report that cannot be decoded, with the reason.
    Malformed(String),
    /// A request of no known kind.
    Unknown,
}

/// An error of a call to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect: it was not sent, or the store refused it. Contains the reason.
    #[error("store call failed: {0}")]
    Refused(String),
    /// The call may have taken effect: there was no answer, or it cannot be decoded. Contains the
    /// reason.
    #[error("outcome of the store call is unknown: {0}")]
    Unknown(String),
    /// A watch requested changes that the store no longer keeps.
    #[error("store has compacted the requested revision")]
    HistoryCompacted,
    /// The lease does not exist any more.
    #[error("lease has expired")]
    LeaseExpired,
}

/// Which state of the store a read may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The newest state.
    Linearizable,
    /// A state that may be some seconds old, which costs the store far less.
    Recent,
}

/// The result of reading the configuration from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Revision of the store at the time of the read, from which a watch continues.
    pub revision: u64,
    /// The document; `None` if the store has none.
    pub document: Option<Bytes>,
}

/// The result of one watch request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedConfiguration {
    /// Revision of the store up to which the watch saw all changes. The next watch continues from
    /// here.
    pub revision: u64,
    /// The newest document written during the watch; `None` if none was written.
    pub document: Option<Bytes>,
}

/// Maximum number of registry entries in one write.
pub const MAX_ENTRIES_PER_WRITE: usize = 32;

/// An entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Name of the entry, by which the registry is sorted.
    pub name: String,
    /// Value of the entry.
    pub value: Bytes,
}

/// A page of the registry, sorted by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryPage {
    /// Values of the entries.
    pub records: Vec<Bytes>,
    /// Name after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
}

/// The pending result of a call to the platform's store.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// The platform on which a node runs.
pub trait Platform: Send + Sync + 'static {
    /// Returns the header names of the platform.
    fn header_names(&self) -> HeaderNames;

    /// Decodes a request to the control listener.
    fn control_request(&self, head: &RequestHead, body: &[u8]) -> ControlRequest;

    /// Decodes a configuration document.
    ///
    /// # Errors
    ///
    /// A description of the first error, which names the field.
    fn configuration(&self, document: &[u8]) -> Result<Configuration, String>;

    /// Reads the newest configuration.
    fn read_configuration(&self, consistency: Consistency) -> StoreFuture<'_, StoredConfiguration>;

    /// Waits up to `wait` for a change after the revision `after`.
    fn watch_configuration(
        &self,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'_, WatchedConfiguration>;

    /// Writes at most [`MAX_ENTRIES_PER_WRITE`] registry entries, all or none of them, and returns
    /// their lease: `lease`, or a new lease with the given `ttl` if `lease` is `None`.
    fn register<'a>(
        &'a self,
        entries: &'a [RegistryEntry],
        ttl: Duration,
        lease: Option<u64>,
    ) -> StoreFuture<'a, u64>;

    /// Renews a lease for its time to live.
    fn renew(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// Ends a lease, which deletes its entries.
    fn end_lease(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// Reads the page of the registry that begins after a name. The page may be seconds old.
    fn registry_page<'a>(&'a self, after: &'a str) -> StoreFuture<'a, RegistryPage>;
}
