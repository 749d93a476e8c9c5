//! Sending a request to one of the store's addresses.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use reqwest::{Client, Method, Response, StatusCode, Url};

use super::{answer::Kind, error::StoreError, options::StoreClientOptions};

/// One request, whatever address it goes to.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whether it changes anything.
    pub kind: Kind,
    /// HTTP method.
    pub method: Method,
    /// Path, which needs no encoding.
    pub path: String,
    /// Query parameters.
    pub query: Vec<(&'static str, String)>,
    /// Body.
    pub body: Option<String>,
    /// Time on top of the usual timeout.
    pub extra_time: Duration,
}

impl Request {
    /// A request without parameters.
    pub fn new(kind: Kind, method: Method, path: impl Into<String>) -> Self {
        Self {
            kind,
            method,
            path: path.into(),
            query: Vec::new(),
            body: None,
            extra_time: Duration::ZERO,
        }
    }

    /// Adds a parameter.
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

/// Connections to the store's addresses.
#[derive(Debug)]
pub struct Transport {
    client: Client,
    addresses: Vec<SocketAddr>,
    request_timeout: Duration,
    /// Index of the address that answered last.
    preferred: AtomicUsize,
}

impl Transport {
    /// A transport without any connection yet.
    pub fn new(options: StoreClientOptions) -> Result<Self, StoreError> {
        let client = Client::builder()
            .connect_timeout(options.connect_timeout)
            .build()
            .map_err(|error| unavailable(&error))?;
        Ok(Self {
            client,
            addresses: options.addresses,
            request_timeout: options.request_timeout,
            preferred: AtomicUsize::new(0),
        })
    }

    /// Sends a request to each address in turn until one answers.
    ///
    /// A read goes on to the next address after any failure. A write goes on only when no
    /// connection could be opened: sent twice, it could be refused by its own first effect.
    pub async fn send(&self, request: &Request) -> Result<Response, StoreError> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut failure = StoreError::Unavailable {
            detail: "no address is known".to_owned(),
        };
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            match self.send_to(self.addresses[index], request).await {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error @ StoreError::Unavailable { .. }) => failure = error,
                Err(error) => {
                    // The next request starts with another address.
                    self.preferred.store(index + 1, Ordering::Relaxed);
                    return Err(error);
                }
            }
        }
        Err(failure)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Response, StoreError> {
        let mut builder = self
            .client
            .request(request.method.clone(), request.url(address)?)
            .timeout(self.request_timeout + request.extra_time);
        if let Some(body) = &request.body {
            builder = builder.body(body.clone());
        }
        match builder.send().await {
            Ok(response) if is_outage(&response) => Err(request
                .kind
                .lost(format!("{address}: {}", response.status()))),
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(unavailable(&error)),
            Err(error) => Err(request.kind.lost(describe(&error))),
        }
    }
}

fn is_outage(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn unavailable(error: &reqwest::Error) -> StoreError {
    StoreError::Unavailable {
        detail: describe(error),
    }
}

/// The error with its causes, which `Display` of reqwest leaves out.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
