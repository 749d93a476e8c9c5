//! The tables that all connections share, and what becomes of a request.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};
use warp::{http::StatusCode, reply::Response};

use super::{
    apply::apply,
    counts::RequestCounts,
    fault::{FaultOrder, Faults, Hindrance, LossManner},
    late::LateWrites,
    operation::{ListQuery, Operation},
    options::StoreOptions,
    rate::TokenBucket,
    reply,
    table::{Entry, StoreTable},
    watch::watch,
};

/// The tables that every request works on.
#[derive(Debug)]
pub struct Tables {
    /// Keys and leases.
    pub store: StoreTable,
    faults: Faults,
    counts: RequestCounts,
    /// Requests for each key and watched prefix.
    counts_by_subject: BTreeMap<String, u64>,
    late: LateWrites,
    bucket: Option<TokenBucket>,
}

/// The tables, shared by all connections.
#[derive(Debug)]
pub struct Shared {
    tables: Mutex<Tables>,
    change: Notify,
}

impl Shared {
    /// Empty tables.
    pub fn new(options: &StoreOptions) -> Self {
        let now = Instant::now();
        let bucket = options
            .requests_per_second
            .map(|per_second| TokenBucket::new(per_second, options.burst, now));
        Self {
            tables: Mutex::new(Tables {
                store: StoreTable::default(),
                faults: Faults::default(),
                counts: RequestCounts::default(),
                counts_by_subject: BTreeMap::new(),
                late: LateWrites::default(),
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

    /// Requests so far that name a key or watch it as a prefix.
    pub fn requests_for(&self, key: &str) -> u64 {
        let tables = self.tables();
        tables.counts_by_subject.get(key).copied().unwrap_or(0)
    }

    /// Does one request, subject to the rate limit and the faults.
    pub async fn handle(&self, operation: Operation) -> Response {
        let slow = self.arrive(&operation);
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        if let Some(hindrance) = self.hinder() {
            return hindered(hindrance).await;
        }
        let slow_answer = self.tables().faults.slow_answer();
        let response = self.perform(operation).await;
        if !slow_answer.is_zero() {
            tokio::time::sleep(slow_answer).await;
        }
        response
    }

    fn arrive(&self, operation: &Operation) -> Duration {
        let mut tables = self.tables();
        tables.counts.count(operation);
        let subject = operation.subject().to_owned();
        *tables.counts_by_subject.entry(subject).or_default() += 1;
        for write in tables.late.arrive() {
            apply(&mut tables.store, write);
        }
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
        let operation = match self.make_late(operation) {
            Ok(()) => return reply::close_connection(),
            Err(operation) => operation,
        };
        let is_write = operation.is_write();
        let key = operation.key().to_owned();
        let response = apply(&mut self.tables().store, operation);
        self.change.notify_waiters();
        let took_effect = is_write && response.status().is_success();
        match took_effect.then(|| self.lose_answer(&key)).flatten() {
            Some(manner) => lost(manner).await,
            None => response,
        }
    }

    fn lose_answer(&self, key: &str) -> Option<LossManner> {
        let mut tables = self.tables();
        let manner = tables.faults.lose_answer(key)?;
        tables.counts.lost_answers += 1;
        Some(manner)
    }

    /// Keeps a write for later if the fault says so, which loses its answer.
    fn make_late(&self, operation: Operation) -> Result<(), Operation> {
        let mut tables = self.tables();
        let lateness = if operation.is_write() {
            tables.faults.make_late(operation.key())
        } else {
            None
        };
        let Some(requests) = lateness else {
            return Err(operation);
        };
        tables.counts.lost_answers += 1;
        tables.late.keep(operation, requests);
        Ok(())
    }

    /// Does all late writes now.
    pub fn release_late_writes(&self) {
        let mut tables = self.tables();
        for write in tables.late.take_all() {
            apply(&mut tables.store, write);
        }
        drop(tables);
        self.change.notify_waiters();
    }

    /// The entries below a prefix.
    pub fn entries(&self, prefix: &str) -> Vec<Entry> {
        let store = &mut self.tables().store;
        store.expire(Instant::now());
        store.list(&ListQuery {
            prefix: prefix.to_owned(),
            after: String::new(),
            limit: usize::MAX,
        })
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
