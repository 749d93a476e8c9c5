//! Requests of the store client.

use std::{sync::Arc, time::Duration};

use reqwest::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use super::{
    error::StoreError,
    key::check_key,
    options::StoreClientOptions,
    response::{RequestKind, read_response},
    transport::{Request, Transport},
    types::{Changes, Entry, Expectation, LeaseId, Page, PutOptions},
};

/// Client of the key-value store. Clones share a connection pool.
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

#[derive(Debug, Deserialize)]
struct EmptyBody {}

impl StoreClient {
    /// Creates a client, which connects at its first request.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] when the HTTP client cannot be built.
    pub fn new(options: StoreClientOptions) -> Result<Self, StoreError> {
        Ok(Self {
            transport: Arc::new(Transport::new(options)?),
        })
    }

    /// Reads a key. Returns `None` when the key is absent.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = key_request(RequestKind::Read, Method::GET, key)?;
        let response = self.transport.send(&request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_response(RequestKind::Read, response).await.map(Some)
    }

    /// Reads up to `limit` entries whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, StoreError> {
        let request = Request::new(RequestKind::Read, Method::GET, "/v1/list")
            .parameter("prefix", prefix)
            .parameter("after", after)
            .parameter("limit", limit);
        self.send(&request).await
    }

    /// Writes a key and returns its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when the expectation is not met, [`StoreError::LeaseLapsed`] when
    /// the lease in `options` has expired, [`StoreError::OutcomeUnknown`] when the response was
    /// lost.
    pub async fn put(
        &self,
        key: &str,
        value: String,
        options: impl Into<PutOptions>,
    ) -> Result<u64, StoreError> {
        let options = options.into();
        let mut request = key_request(RequestKind::Write, Method::PUT, key)?;
        request = with_expectation(request, options.expectation);
        if let Some(LeaseId(lease)) = options.lease {
            request = request.parameter("lease", lease);
        }
        request.body = Some(value);
        let body: VersionBody = if options.lease.is_some() {
            self.send_with_lease(&request).await?
        } else {
            self.send(&request).await?
        };
        Ok(body.version)
    }

    /// Removes a key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when the expectation is not met, [`StoreError::OutcomeUnknown`]
    /// when the response was lost.
    pub async fn delete(&self, key: &str, expectation: Expectation) -> Result<(), StoreError> {
        let request = key_request(RequestKind::Write, Method::DELETE, key)?;
        let EmptyBody {} = self.send(&with_expectation(request, expectation)).await?;
        Ok(())
    }

    /// Waits up to `wait` for changes after version `after` to keys that start with `prefix`.
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
        let mut request = Request::new(RequestKind::Read, Method::GET, "/v1/watch")
            .parameter("prefix", prefix)
            .parameter("after", after)
            .parameter("wait_ms", wait.as_millis());
        request.extra_timeout = wait;
        self.send(&request).await
    }

    /// Creates a lease that expires `ttl` (in whole milliseconds) after its last renewal.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a write. A lease whose ID was lost with the response expires.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = Request::new(RequestKind::Write, Method::POST, "/v1/lease")
            .parameter("ttl_ms", ttl.as_millis());
        let body: LeaseBody = self.send(&request).await?;
        Ok(body.lease)
    }

    /// Renews a lease for its full time to live.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] when the lease has expired, or any [`StoreError`] of a write.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/lease/{}/renew", lease.0);
        let request = Request::new(RequestKind::Write, Method::POST, path);
        let EmptyBody {} = self.send_with_lease(&request).await?;
        Ok(())
    }

    /// Ends a lease. The store removes the keys attached to the lease.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a write.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/lease/{}", lease.0);
        let request = Request::new(RequestKind::Write, Method::DELETE, path);
        let EmptyBody {} = self.send(&request).await?;
        Ok(())
    }

    async fn send<T: DeserializeOwned>(&self, request: &Request) -> Result<T, StoreError> {
        let response = self.transport.send(request).await?;
        read_response(request.kind, response).await
    }

    /// Sends a request that names a lease. A 404 response means that the lease has expired.
    async fn send_with_lease<T: DeserializeOwned>(
        &self,
        request: &Request,
    ) -> Result<T, StoreError> {
        let response = self.transport.send(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(StoreError::LeaseLapsed);
        }
        read_response(request.kind, response).await
    }
}

fn key_request(kind: RequestKind, method: Method, key: &str) -> Result<Request, StoreError> {
    check_key(key)?;
    Ok(Request::new(kind, method, format!("/v1/kv/{key}")))
}

fn with_expectation(request: Request, expectation: Expectation) -> Request {
    match expectation.expect_parameter() {
        Some(version) => request.parameter("expect", version),
        None => request,
    }
}
