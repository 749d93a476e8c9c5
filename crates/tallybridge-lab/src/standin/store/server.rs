//! The running stand-in.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{net::TcpListener, sync::Notify, time::Instant};
use tokio_util::sync::{CancellationToken, DropGuard};
use warp::{http::StatusCode, reply::Response};

use super::{
    counts::RequestCounts,
    fault::{FaultOrder, Faults, Hindrance, LossManner},
    operation::Operation,
    options::StoreOptions,
    rate::TokenBucket,
    reply::{self, EntriesReply},
    routes::routes,
    table::StoreTable,
    watch::watch,
};

/// The tables that every request works on.
#[derive(Debug)]
pub struct Tables {
    /// Keys and leases.
    pub store: StoreTable,
    faults: Faults,
    counts: RequestCounts,
    bucket: Option<TokenBucket>,
}

/// The tables, shared by all connections.
#[derive(Debug)]
pub struct Shared {
    tables: Mutex<Tables>,
    change: Notify,
}

/// A stand-in of the store that runs until it is dropped.
#[derive(Debug)]
pub struct StoreStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

impl StoreStandin {
    /// Starts a stand-in on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn serve(options: StoreOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(&options));
        let stop = CancellationToken::new();
        let server = warp::serve(routes(Arc::clone(&shared)))
            .incoming(listener)
            .graceful(stop.clone().cancelled_owned())
            .run();
        tokio::spawn(server);
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, as `POST /fault` does.
    pub fn fault(&self, order: &FaultOrder) {
        self.shared.set_fault(order);
    }

    /// The counts of requests so far, as `GET /requests` gives them.
    #[must_use]
    pub fn requests(&self) -> RequestCounts {
        self.shared.requests()
    }
}

impl Shared {
    fn new(options: &StoreOptions) -> Self {
        let now = Instant::now();
        let bucket = options
            .requests_per_second
            .map(|per_second| TokenBucket::new(per_second, options.burst, now));
        Self {
            tables: Mutex::new(Tables {
                store: StoreTable::default(),
                faults: Faults::default(),
                counts: RequestCounts::default(),
                bucket,
            }),
            change: Notify::new(),
        }
    }

    /// The tables, locked. A panic while they were locked leaves them usable: each change to
    /// them is one assignment or insertion.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Completes at the next change. Registered at once, so that a change between this call and
    /// its await is not missed.
    pub fn changed(&self) -> impl Future<Output = ()> {
        let mut notified = Box::pin(self.change.notified());
        notified.as_mut().enable();
        notified
    }

    /// Takes a fault order in.
    pub fn set_fault(&self, order: &FaultOrder) {
        self.tables().faults.set(order, Instant::now());
    }

    /// The counts so far.
    pub fn requests(&self) -> RequestCounts {
        self.tables().counts
    }

    /// Does one request, subject to the rate limit and the faults.
    pub async fn handle(&self, operation: Operation) -> Response {
        let slow = self.arrive(&operation);
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        match self.hinder() {
            Some(hindrance) => hindered(hindrance).await,
            None => self.perform(operation).await,
        }
    }

    fn arrive(&self, operation: &Operation) -> Duration {
        let mut tables = self.tables();
        tables.counts.count(operation);
        tables.faults.slow()
    }

    fn hinder(&self) -> Option<Hindrance> {
        let now = Instant::now();
        let mut tables = self.tables();
        let hindrance = tables
            .faults
            .hinder(now)
            .or_else(|| limit(tables.bucket.as_mut(), now));
        match hindrance {
            Some(Hindrance::Limited { .. }) => tables.counts.limited += 1,
            Some(_) => tables.counts.unavailable += 1,
            None => {}
        }
        hindrance
    }

    async fn perform(&self, operation: Operation) -> Response {
        if let Operation::Watch(query) = &operation {
            return reply::json(StatusCode::OK, &watch(self, query).await);
        }
        let is_write = operation.is_write();
        let response = self.apply(operation);
        self.change.notify_waiters();
        let took_effect = is_write && response.status().is_success();
        match took_effect.then(|| self.lose_answer()).flatten() {
            Some(manner) => lost(manner).await,
            None => response,
        }
    }

    fn lose_answer(&self) -> Option<LossManner> {
        let mut tables = self.tables();
        let manner = tables.faults.lose_answer()?;
        tables.counts.lost_answers += 1;
        Some(manner)
    }

    fn apply(&self, operation: Operation) -> Response {
        let now = Instant::now();
        let store = &mut self.tables().store;
        store.expire(now);
        match operation {
            Operation::Get { key } => match store.get(&key) {
                Some(entry) => reply::json(StatusCode::OK, &entry),
                None => reply::status(StatusCode::NOT_FOUND),
            },
            Operation::List(query) => {
                let entries = store.list(&query);
                let version = store.version();
                reply::json(StatusCode::OK, &EntriesReply { entries, version })
            }
            Operation::Put { key, query, value } => {
                match store.put(&key, value, query.expect, query.lease) {
                    Ok(version) => reply::version(version),
                    Err(refused) => reply::refused(refused),
                }
            }
            Operation::Delete { key, query } => match store.delete(&key, query.expect) {
                Ok(()) => reply::status(StatusCode::OK),
                Err(refused) => reply::refused(refused),
            },
            Operation::Grant(query) => {
                reply::lease(store.grant(Duration::from_millis(query.ttl_ms), now))
            }
            Operation::Renew { lease } => reply::status(if store.renew(lease, now) {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            }),
            Operation::Revoke { lease } => {
                store.revoke(lease);
                reply::status(StatusCode::OK)
            }
            Operation::Watch(_) => unreachable!("a watch waits and is not applied"),
        }
    }
}

fn limit(bucket: Option<&mut TokenBucket>, now: Instant) -> Option<Hindrance> {
    let wait = bucket?.take(now).err()?;
    // Retry-After is whole seconds (RFC 9110, section 10.2.3), so it is rounded up.
    let retry_after_s = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    Some(Hindrance::Limited { retry_after_s })
}

async fn hindered(hindrance: Hindrance) -> Response {
    match hindrance {
        Hindrance::Unavailable => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        Hindrance::Limited { retry_after_s } => reply::limited(retry_after_s),
        Hindrance::HangUntil(until) => {
            tokio::time::sleep_until(until).await;
            reply::close_connection()
        }
    }
}

async fn lost(manner: LossManner) -> Response {
    match manner {
        LossManner::Close => reply::close_connection(),
        LossManner::Unavailable => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        LossManner::Hang => std::future::pending().await,
    }
}
