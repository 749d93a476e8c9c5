//! The store's requests.

use std::{sync::Arc, time::Duration};

use reqwest::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use super::{
    answer::{Kind, read_answer},
    error::StoreError,
    key::check_key,
    options::StoreClientOptions,
    transport::{Request, Transport},
    types::{Changes, Entry, Expectation, LeaseId, Page, PutOptions},
};

/// Client of the key-value store. Clones share their connections.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: Arc<Transport>,
}

#[derive(Debug, Deserialize)]
struct VersionBody {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseBody {
    lease: LeaseId,
}

/// Body of an answer whose status says everything.
#[derive(Debug, Deserialize)]
struct NoDetails {}

impl StoreClient {
    /// A client that opens no connection yet.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] when the system gives no means for connections.
    pub fn new(options: StoreClientOptions) -> Result<Self, StoreError> {
        Ok(Self {
            transport: Arc::new(Transport::new(options)?),
        })
    }

    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = key_request(Kind::Read, Method::GET, key)?;
        let response = self.transport.send(&request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_answer(Kind::Read, response).await.map(Some)
    }

    /// Reads up to `limit` entries whose keys start with `prefix` and are above `after`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, StoreError> {
        let request = Request::new(Kind::Read, Method::GET, "/v1/list")
            .parameter("prefix", prefix)
            .parameter("after", after)
            .parameter("limit", limit);
        self.call(&request).await
    }

    /// Writes a key and gives its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when the expectation is not met, [`StoreError::LeaseLapsed`] when
    /// the named lease is over, [`StoreError::OutcomeUnknown`] when the answer was lost.
    pub async fn put(
        &self,
        key: &str,
        value: String,
        options: impl Into<PutOptions>,
    ) -> Result<u64, StoreError> {
        let options = options.into();
        let mut request = key_request(Kind::Write, Method::PUT, key)?;
        request = expecting(request, options.expectation);
        if let Some(LeaseId(lease)) = options.lease {
            request = request.parameter("lease", lease);
        }
        request.body = Some(value);
        let body: VersionBody = if options.lease.is_some() {
            self.call_with_lease(&request).await?
        } else {
            self.call(&request).await?
        };
        Ok(body.version)
    }

    /// Removes a key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when the expectation is not met, [`StoreError::OutcomeUnknown`]
    /// when the answer was lost.
    pub async fn delete(&self, key: &str, expectation: Expectation) -> Result<(), StoreError> {
        let request = key_request(Kind::Write, Method::DELETE, key)?;
        let NoDetails {} = self.call(&expecting(request, expectation)).await?;
        Ok(())
    }

    /// Waits up to `wait` for changes above version `after` of keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut request = Request::new(Kind::Read, Method::GET, "/v1/watch")
            .parameter("prefix", prefix)
            .parameter("after", after)
            .parameter("wait_ms", wait.as_millis());
        request.extra_time = wait;
        self.call(&request).await
    }

    /// Starts a lease that lives for `ttl` (whole milliseconds) after each renewal.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a write. A lease whose number was lost lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = Request::new(Kind::Write, Method::POST, "/v1/lease")
            .parameter("ttl_ms", ttl.as_millis());
        let body: LeaseBody = self.call(&request).await?;
        Ok(body.lease)
    }

    /// Lets a lease run for its whole time again.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when it is over, or any [`StoreError`] of a write.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/lease/{}/renew", lease.0);
        let request = Request::new(Kind::Write, Method::POST, path);
        let NoDetails {} = self.call_with_lease(&request).await?;
        Ok(())
    }

    /// Ends a lease, whose keys go with it.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a write.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/lease/{}", lease.0);
        let request = Request::new(Kind::Write, Method::DELETE, path);
        let NoDetails {} = self.call(&request).await?;
        Ok(())
    }

    async fn call<T: DeserializeOwned>(&self, request: &Request) -> Result<T, StoreError> {
        let response = self.transport.send(request).await?;
        read_answer(request.kind, response).await
    }

    /// A call that names a lease: 404 says that the lease is over.
    async fn call_with_lease<T: DeserializeOwned>(
        &self,
        request: &Request,
    ) -> Result<T, StoreError> {
        let response = self.transport.send(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(StoreError::LeaseLapsed);
        }
        read_answer(request.kind, response).await
    }
}

fn key_request(kind: Kind, method: Method, key: &str) -> Result<Request, StoreError> {
    check_key(key)?;
    Ok(Request::new(kind, method, format!("/v1/kv/{key}")))
}

fn expecting(request: Request, expectation: Expectation) -> Request {
    match expectation.parameter() {
        Some(version) => request.parameter("expect", version),
        None => request,
    }
}
