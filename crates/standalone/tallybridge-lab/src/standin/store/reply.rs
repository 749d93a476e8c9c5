//! The store's answers.

use bytes::Bytes;
use futures::stream;
use serde::Serialize;
use warp::{
    Reply,
    http::{HeaderValue, StatusCode, header::RETRY_AFTER},
    reply::Response,
};

use super::{
    operation::LeaseNumber,
    table::{Entry, Refused},
};

/// Answer of a list or a watch.
#[derive(Debug, Serialize)]
pub struct EntriesReply {
    /// The entries, in key order.
    pub entries: Vec<Entry>,
    /// The store's counter when they were read.
    pub version: u64,
}

/// Answer of a write or a refused expectation.
#[derive(Debug, Serialize)]
struct VersionReply {
    version: u64,
}

/// Answer of a new lease.
#[derive(Debug, Serialize)]
struct LeaseReply {
    lease: LeaseNumber,
}

/// An empty JSON object, where the status says everything.
#[derive(Debug, Serialize)]
struct NoDetails {}

/// An answer with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

/// An answer whose status says everything.
pub fn status(status: StatusCode) -> Response {
    json(status, &NoDetails {})
}

/// A key's new version.
pub fn version(version: u64) -> Response {
    json(StatusCode::OK, &VersionReply { version })
}

/// A new lease.
pub fn lease(lease: LeaseNumber) -> Response {
    json(StatusCode::OK, &LeaseReply { lease })
}

/// A write that was not done.
pub fn refused(refused: Refused) -> Response {
    match refused {
        Refused::Conflict { version } => json(StatusCode::CONFLICT, &VersionReply { version }),
        Refused::NoLease => status(StatusCode::NOT_FOUND),
    }
}

/// Over the rate limit.
pub fn limited(retry_after_s: u64) -> Response {
    let mut response = status(StatusCode::TOO_MANY_REQUESTS);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    response
}

/// No answer: the server closes the connection, since the body fails before any of it is sent.
pub fn close_connection() -> Response {
    let failure = stream::iter([Err::<Bytes, _>(std::io::Error::other(
        "answer lost on demand",
    ))]);
    warp::reply::stream(failure).into_response()
}
