//! Sends requests to the store's addresses.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use reqwest::{Client, Method, Response, StatusCode, Url};

use super::{error::StoreError, options::StoreClientOptions, response::RequestKind};

/// A request that can be sent to any address of the store.
#[derive(Debug, Clone)]
pub struct Request {
    pub kind: RequestKind,
    pub method: Method,
    /// Must need no URL encoding.
    pub path: String,
    pub query: Vec<(&'static str, String)>,
    pub body: Option<String>,
    /// Added to the request timeout.
    pub extra_timeout: Duration,
}

impl Request {
    pub fn new(kind: RequestKind, method: Method, path: impl Into<String>) -> Self {
        Self {
            kind,
            method,
            path: path.into(),
            query: Vec::new(),
            body: None,
            extra_timeout: Duration::ZERO,
        }
    }

    pub fn parameter(mut self, name: &'static str, value: impl ToString) -> Self {
        self.query.push((name, value.to_string()));
        self
    }

    fn url(&self, address: SocketAddr) -> Result<Url, StoreError> {
        let text = format!("http://{address}{}", self.path);
        let mut url = Url::parse(&text).map_err(|error| StoreError::Protocol {
            detail: error.to_string(),
        })?;
        if !self.query.is_empty() {
            let pairs = self.query.iter().map(|(name, value)| (name, value));
            url.query_pairs_mut().extend_pairs(pairs);
        }
        Ok(url)
    }
}

/// HTTP client with the store's addresses.
#[derive(Debug)]
pub struct Transport {
    client: Client,
    addresses: Vec<SocketAddr>,
    request_timeout: Duration,
    /// Index of the address to try first, taken modulo the number of addresses.
    preferred_index: AtomicUsize,
}

impl Transport {
    pub fn new(options: StoreClientOptions) -> Result<Self, StoreError> {
        let client = Client::builder()
            .connect_timeout(options.connect_timeout)
            .build()
            .map_err(|error| unavailable_error(&error))?;
        Ok(Self {
            client,
            addresses: options.addresses,
            request_timeout: options.request_timeout,
            preferred_index: AtomicUsize::new(0),
        })
    }

    /// Sends a request to each address in turn until one responds.
    ///
    /// A read is retried at the next address after a connection error, a timeout or status 503. A
    /// write is retried only when no connection could be opened: a write that is sent twice could
    /// conflict with itself.
    pub async fn send(&self, request: &Request) -> Result<Response, StoreError> {
        let first_index = self.preferred_index.load(Ordering::Relaxed);
        let mut last_error = StoreError::Unavailable {
            detail: "no store address is configured".to_owned(),
        };
        for offset in 0..self.addresses.len() {
            let index = (first_index + offset) % self.addresses.len();
            match self.send_to(self.addresses[index], request).await {
                Ok(response) => {
                    self.preferred_index.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error @ StoreError::Unavailable { .. }) => last_error = error,
                Err(error) => {
                    // The next request starts at the next address.
                    self.preferred_index.store(index + 1, Ordering::Relaxed);
                    return Err(error);
                }
            }
        }
        Err(last_error)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Response, StoreError> {
        let mut builder = self
            .client
            .request(request.method.clone(), request.url(address)?)
            .timeout(self.request_timeout + request.extra_timeout);
        if let Some(body) = &request.body {
            builder = builder.body(body.clone());
        }
        match builder.send().await {
            Ok(response) if is_unavailable(&response) => Err(request
                .kind
                .lost_response_error(format!("{address}: {}", response.status()))),
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(unavailable_error(&error)),
            Err(error) => Err(request.kind.lost_response_error(format_with_causes(&error))),
        }
    }
}

fn is_unavailable(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn unavailable_error(error: &reqwest::Error) -> StoreError {
    StoreError::Unavailable {
        detail: format_with_causes(error),
    }
}

/// Formats the error with its causes, which the `Display` of reqwest omits.
fn format_with_causes(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
