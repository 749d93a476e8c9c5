//! What the platform is asked for. Its own names stay behind these types.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{configuration::Configuration, http::RequestHead};

/// Names of the headers that the platform's callers and back ends use.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller.
    pub attempt: &'static str,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: &'static str,
    /// The instance that alone may run a request.
    pub expected_instance: &'static str,
    /// Says that a back end has not run a request.
    pub not_run: &'static str,
    /// The service on whose machine a request began.
    pub caller_service: &'static str,
    /// The instance that answers a health check, or turns away a request for another one.
    pub instance: &'static str,
    /// The key of the tenant that a request is made for.
    pub credential: &'static str,
    /// The tenant that a back end is told.
    pub tenant: &'static str,
}

/// What a back end says of itself.
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
    /// When this start of it began, in Unix milliseconds of its clock; `None` when it does not tell.
    pub born: Option<u64>,
    /// Its service, when the report says.
    pub service: Option<String>,
    /// What it says.
    pub state: ReportedState,
    /// Grows with each report; 0 when the report carries none.
    pub sequence: u64,
    /// Requests that it works on at once; 0 when the report carries none.
    pub slots: u32,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Where it listens, when the report says.
    pub address: Option<SocketAddr>,
}

/// A request at the addresses for readiness and reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Whether the node is ready.
    Readiness,
    /// A back end's report.
    Report(InstanceReport),
    /// A report that can't be read, with the reason.
    Malformed(String),
    /// Nothing that is known.
    Unknown,
}

/// Why the platform's store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store did nothing and said so.
    #[error("store refused: {0}")]
    Refused(String),
    /// No answer: the call may have been done.
    #[error("no answer from the store: {0}")]
    Unknown(String),
    /// The changes that were asked for are forgotten.
    #[error("store's history is gone")]
    HistoryCompacted,
    /// The lease has ended.
    #[error("lease is over")]
    LeaseExpired,
}

/// The configuration as it lies in the store.
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

/// A page of the register, in the order of the names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryPage {
    /// Records of nodes.
    pub records: Vec<Bytes>,
    /// The name after which the next page begins; `None` at the end of the register.
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

    /// Registers this node under a name, or what has changed of it, and gives the lease under which it did: the
    /// one that is given, or a new one of `ttl`.
    fn register<'a>(
        &'a self,
        name: &'a str,
        record: Bytes,
        ttl: Duration,
        lease: Option<u64>,
    ) -> StoreFuture<'a, u64>;

    /// Renews a lease.
    fn renew(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// Ends a lease, and with it the registration.
    fn end_lease(&self, lease: u64) -> StoreFuture<'_, ()>;

    /// A page of the register, of the names after one. It may be seconds old.
    fn registry_page<'a>(&'a self, after: &'a str) -> StoreFuture<'a, RegistryPage>;
}
