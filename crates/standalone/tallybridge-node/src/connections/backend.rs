//! The connection to the back end beside this node.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, HeaderValue, StatusCode};
use tallybridge_config::settings::BackendSettings;
use tallybridge_core::{CallToken, ErrorKind, Outcome, Refusal, header};

use crate::path::{CarriedRequest, WholeAnswer, headers};

/// A call as it is handed to a back end.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// What the caller sent.
    pub carried: CarriedRequest,
    /// Token for nested calls.
    pub token: CallToken,
    /// Tenant.
    pub tenant: String,
    /// Identity of the whole request, for logs.
    pub request_id: String,
    /// Time left.
    pub remaining: Duration,
    /// Largest answer body, in bytes.
    pub max_answer_bytes: usize,
}

/// What a back end answered.
#[derive(Debug, Clone)]
pub struct BackendAnswer {
    /// The answer.
    pub answer: WholeAnswer,
    /// It says that it refused before it did any work.
    pub refused_unrun: bool,
    /// It says that it is leaving.
    pub draining: bool,
}

/// Why a back end gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendFailure {
    /// No connection was made, so the call did not reach the back end.
    #[error("the back end could not be reached: {0}")]
    NotConnected(String),
    /// The connection failed with the call on it, or the answer was cut short.
    #[error("the back end gave no whole answer: {0}")]
    Broken(String),
    /// The answer is above the limit.
    #[error("the answer is larger than the {limit} bytes that its template allows")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
}

impl BackendFailure {
    /// The refusal that the caller gets.
    #[must_use]
    pub fn into_refusal(self) -> Refusal {
        match &self {
            Self::NotConnected(_) => {
                Refusal::new(ErrorKind::NoBackend, self.to_string()).with_outcome(Outcome::NotRun)
            }
            Self::Broken(_) => Refusal::new(ErrorKind::BackendFailed, self.to_string()),
            Self::TooLarge { .. } => Refusal::new(ErrorKind::AnswerTooLarge, self.to_string()),
        }
    }
}

/// Hands calls to a back end.
pub trait BackendClient: Send + Sync {
    /// Hands over one call and waits for the whole answer. Dropping the future cancels the call.
    fn call(&self, request: BackendRequest)
    -> BoxFuture<'_, Result<BackendAnswer, BackendFailure>>;
}

/// A back end that speaks HTTP.
pub struct HttpBackend {
    client: reqwest::Client,
    address: SocketAddr,
}

/// Time that an idle connection is kept, below what servers usually keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl HttpBackend {
    /// A client of one back end. The concurrency limit in front of it keeps its connections below
    /// `max_connections`; idle ones are reused, since a new one costs time.
    ///
    /// # Errors
    ///
    /// The HTTP library could not be set up.
    pub fn new(settings: &BackendSettings) -> Result<Self, reqwest::Error> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            // A repeat by the library would be one that the allowance does not know of.
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(settings.max_connections.into())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            address: settings.address,
        })
    }

    async fn exchange(&self, request: BackendRequest) -> Result<BackendAnswer, BackendFailure> {
        let max_answer_bytes = request.max_answer_bytes;
        let response = self.send(request).await?;
        let status = response.status();
        let response_headers = response.headers().clone();
        check_length_is_known(&response)?;
        let body = read_whole(response, max_answer_bytes).await?;
        Ok(BackendAnswer {
            refused_unrun: refused_unrun(status, &response_headers),
            draining: has_value(&response_headers, header::DRAINING, "true"),
            answer: WholeAnswer {
                status: status.as_u16(),
                headers: headers::forwarded(&response_headers),
                body,
            },
        })
    }

    async fn send(&self, request: BackendRequest) -> Result<reqwest::Response, BackendFailure> {
        let url = format!("http://{}{}", self.address, request.carried.path_and_query);
        let method = request
            .carried
            .method
            .parse()
            .unwrap_or(reqwest::Method::GET);
        let mut request_headers = HeaderMap::new();
        headers::extend(&mut request_headers, &request.carried.headers);
        add_own_headers(&mut request_headers, &request);
        self.client
            .request(method, url)
            .headers(request_headers)
            .body(request.carried.body)
            .send()
            .await
            .map_err(|error| failure_of(&error))
    }
}

impl BackendClient for HttpBackend {
    fn call(
        &self,
        request: BackendRequest,
    ) -> BoxFuture<'_, Result<BackendAnswer, BackendFailure>> {
        self.exchange(request).boxed()
    }
}

fn add_own_headers(target: &mut HeaderMap, request: &BackendRequest) {
    let own = [
        (header::CALL_TOKEN, request.token.to_string()),
        (header::REQUEST_ID, request.request_id.clone()),
        (header::TENANT, request.tenant.clone()),
        (
            header::TIMEOUT_MS,
            request.remaining.as_millis().to_string(),
        ),
    ];
    for (name, value) in own {
        if let Ok(value) = HeaderValue::from_str(&value) {
            target.insert(name, value);
        }
    }
}

fn failure_of(error: &reqwest::Error) -> BackendFailure {
    let reason = with_sources(error);
    if error.is_connect() {
        BackendFailure::NotConnected(reason)
    } else {
        BackendFailure::Broken(reason)
    }
}

fn with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// An answer that ends where its connection ends can't be told from one that was cut short.
fn check_length_is_known(response: &reqwest::Response) -> Result<(), BackendFailure> {
    let by_header = response.headers().contains_key("content-length")
        || response.headers().contains_key("transfer-encoding");
    let without_body = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if by_header || without_body {
        Ok(())
    } else {
        Err(BackendFailure::Broken(
            "the answer has neither Content-Length nor Transfer-Encoding".to_owned(),
        ))
    }
}

async fn read_whole(
    mut response: reqwest::Response,
    limit: usize,
) -> Result<Bytes, BackendFailure> {
    if response
        .content_length()
        .is_some_and(|length| length > limit as u64)
    {
        return Err(BackendFailure::TooLarge { limit });
    }
    let mut body = BytesMut::new();
    loop {
        let chunk = response.chunk().await.map_err(|error| failure_of(&error))?;
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > limit {
            return Err(BackendFailure::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
}

fn refused_unrun(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && has_value(headers, header::OUTCOME, Outcome::NotRun.as_str())
}

fn has_value(headers: &HeaderMap, name: &str, wanted: &str) -> bool {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value == wanted)
}
