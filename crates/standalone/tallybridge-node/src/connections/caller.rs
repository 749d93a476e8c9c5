//! Callers: HTTP requests from outside and nested calls of the back end beside this node.

use std::{convert::Infallible, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{HeaderMap, Method, Response, StatusCode};
use serde::Serialize;
use tallybridge_core::{
    CallToken, ErrorKind, Outcome, Refusal, RequestKey, ServiceName, TenantName, header,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use warp::Filter;

use crate::{
    context::NodeContext,
    path::{CallEnd, CarriedRequest, WholeAnswer, claim::settle_refusal, entry, headers},
    systems::begin::{CallRequest, NestedIdentity, Origin},
};

/// Largest request body that is read at all, in bytes; templates bound it further.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Prefix of the paths under which calls are taken.
const CALL_PREFIX: &str = "/call/";

/// Serves callers until the node stops, then finishes the answers that are under way.
pub async fn serve_callers(context: NodeContext, listener: TcpListener) {
    let shutdown = context.shutdown.clone();
    let route = warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(optional_query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            move |method, path: warp::path::FullPath, query, headers, body| {
                let context = context.clone();
                async move {
                    let request = RawRequest {
                        method,
                        path: path.as_str().to_owned(),
                        query,
                        headers,
                    };
                    answer(&context, request, body).await
                }
            },
        );
    warp::serve(route)
        .incoming(listener)
        .graceful(async move { shutdown.cancelled().await })
        .run()
        .await;
}

fn optional_query() -> impl Filter<Extract = (Option<String>,), Error = Infallible> + Clone {
    warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify()
}

/// A request as it came in, without its body.
struct RawRequest {
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
}

impl RawRequest {
    fn header(&self, name: &str) -> Result<Option<&str>, Refusal> {
        self.headers
            .get(name)
            .map(|value| {
                value
                    .to_str()
                    .map_err(|_| invalid(format!("header {name} is not visible ASCII text")))
            })
            .transpose()
    }
}

async fn answer<S, B>(context: &NodeContext, request: RawRequest, body: S) -> Response<Bytes>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let prepared = match read_body(body).await {
        Ok(body) => prepare(&request, body),
        Err(refusal) => Err(refusal),
    };
    match prepared {
        Ok((call, carried)) => respond(carry_to_the_end(context, call, carried).await),
        Err(refusal) => respond(CallEnd {
            request_id: None,
            result: settle_unread(context, &request, refusal).await,
        }),
    }
}

/// Settles the refusal of a request that can't be read as a call but has a caller's key.
async fn settle_unread(
    context: &NodeContext,
    request: &RawRequest,
    refusal: Refusal,
) -> Result<WholeAnswer, Refusal> {
    let is_root = !request.headers.contains_key(header::CALL_TOKEN);
    let key = request.header(header::IDEMPOTENCY_KEY).ok().flatten();
    match key.and_then(|key| root_key(key).ok()) {
        Some(key) if is_root => settle_refusal(context, key, None, refusal).await,
        _ => Err(refusal),
    }
}

/// Carries the call in a task of its own. When the caller closes its connection this future is
/// dropped, and the task is told to cancel what runs; it still settles its row in the tables.
async fn carry_to_the_end(
    context: &NodeContext,
    call: CallRequest,
    carried: CarriedRequest,
) -> CallEnd {
    let cancelled = CancellationToken::new();
    let _cancel_on_drop = cancelled.clone().drop_guard();
    let task_context = context.clone();
    let task = context
        .calls
        .spawn(async move { entry::carry(&task_context, call, carried, cancelled).await });
    task.await.unwrap_or_else(|error| CallEnd {
        request_id: None,
        result: Err(Refusal::new(ErrorKind::Internal, error.to_string())),
    })
}

async fn read_body<S, B>(body: S) -> Result<Bytes, Refusal>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|error| invalid(format!("the body is cut: {error}")))?;
        if whole.len() + chunk.remaining() > MAX_REQUEST_BYTES {
            return Err(Refusal::new(
                ErrorKind::RequestTooLarge,
                format!("the body is above {MAX_REQUEST_BYTES} bytes"),
            ));
        }
        whole.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(whole.freeze())
}

/// Checks a request and splits it into what the tables need and what the back end gets.
fn prepare(request: &RawRequest, body: Bytes) -> Result<(CallRequest, CarriedRequest), Refusal> {
    let (service, path) = split_path(&request.path)?;
    let path_and_query = request
        .query
        .as_ref()
        .map_or_else(|| path.clone(), |query| format!("{path}?{query}"));
    let call = CallRequest {
        tenant: request.header(header::TENANT)?.map(TenantName::from),
        service,
        method: request.method.to_string(),
        path,
        body_bytes: body.len(),
        timeout: timeout(request)?,
        origin: origin(request, &path_and_query, &body)?,
    };
    let carried = CarriedRequest {
        method: request.method.to_string(),
        path_and_query,
        headers: headers::forwarded(&request.headers),
        body,
    };
    Ok((call, carried))
}

fn split_path(path: &str) -> Result<(ServiceName, String), Refusal> {
    let rest = path
        .strip_prefix(CALL_PREFIX)
        .ok_or_else(|| invalid(format!("path {path} does not start with {CALL_PREFIX}")))?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(invalid("the path names no service".to_owned()));
    }
    Ok((ServiceName::from(service), format!("/{path}")))
}

fn timeout(request: &RawRequest) -> Result<Option<Duration>, Refusal> {
    let Some(text) = request.header(header::TIMEOUT_MS)? else {
        return Ok(None);
    };
    let milliseconds: u32 = text.parse().map_err(|_| {
        invalid(format!(
            "header {} is {text:?}: give whole milliseconds",
            header::TIMEOUT_MS
        ))
    })?;
    Ok(Some(Duration::from_millis(milliseconds.into())))
}

fn origin(request: &RawRequest, path_and_query: &str, body: &Bytes) -> Result<Origin, Refusal> {
    let explicit_key = request.header(header::IDEMPOTENCY_KEY)?;
    if let Some(token) = request.header(header::CALL_TOKEN)? {
        let token: CallToken = token
            .parse()
            .map_err(|error| invalid(format!("header {}: {error}", header::CALL_TOKEN)))?;
        let identity = NestedIdentity {
            explicit_key: explicit_key.map(str::to_owned),
            path_and_query: path_and_query.to_owned(),
            body_digest: xxhash_rust::xxh3::xxh3_128(body).to_be_bytes(),
        };
        return Ok(Origin::Nested { token, identity });
    }
    let key = explicit_key.map(root_key).transpose()?;
    Ok(Origin::Root {
        caller_key: key.is_some(),
        key: key.unwrap_or_else(RequestKey::generate),
    })
}

/// The key of an `Idempotency-Key` header: a UUIDv7, bare or as a quoted string, which is the
/// draft's form.
fn root_key(text: &str) -> Result<RequestKey, Refusal> {
    let bare = text.trim_matches('"');
    Uuid::parse_str(bare)
        .ok()
        .and_then(RequestKey::from_uuid)
        .ok_or_else(|| {
            invalid(format!(
                "header {} is {text:?}: give a UUIDv7",
                header::IDEMPOTENCY_KEY
            ))
        })
}

fn invalid(detail: String) -> Refusal {
    Refusal::new(ErrorKind::InvalidRequest, detail)
}

fn respond(end: CallEnd) -> Response<Bytes> {
    let mut response = match end.result {
        Ok(answer) => answer_response(answer),
        Err(refusal) => refusal_response(&refusal, end.request_id.as_deref()),
    };
    if let Some(request_id) = end.request_id
        && let Ok(value) = request_id.parse()
    {
        response.headers_mut().insert(header::REQUEST_ID, value);
    }
    response
}

fn answer_response(answer: WholeAnswer) -> Response<Bytes> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    headers::extend(response.headers_mut(), &answer.headers);
    set_outcome(&mut response, Outcome::Completed);
    response
}

/// Problem details (RFC 9457).
#[derive(Serialize)]
struct Problem<'a> {
    /// URI reference that identifies the kind.
    #[serde(rename = "type")]
    kind: String,
    /// The kind's name.
    title: &'a str,
    /// HTTP status.
    status: u16,
    /// What exactly went wrong.
    detail: &'a str,
    /// What is known about the execution.
    outcome: &'a str,
    /// Whether the same request may be sent again.
    retry_safe: bool,
    /// What to do.
    hint: &'a str,
    /// Identity of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    instance: Option<&'a str>,
}

fn refusal_response(refusal: &Refusal, request_id: Option<&str>) -> Response<Bytes> {
    let row = refusal.kind.answer();
    let problem = Problem {
        kind: format!("/errors/{}", row.name),
        title: row.name,
        status: row.status,
        detail: &refusal.detail,
        outcome: refusal.outcome.as_str(),
        retry_safe: refusal.outcome == Outcome::NotRun && row.retry_safe,
        hint: row.hint,
        instance: request_id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    insert(headers, "content-type", "application/problem+json");
    insert(headers, header::ERROR_KIND, row.name);
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_secs_f64().ceil();
        insert(headers, "retry-after", &format!("{seconds:.0}"));
    }
    set_outcome(&mut response, refusal.outcome);
    response
}

fn set_outcome(response: &mut Response<Bytes>, outcome: Outcome) {
    insert(response.headers_mut(), header::OUTCOME, outcome.as_str());
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}
