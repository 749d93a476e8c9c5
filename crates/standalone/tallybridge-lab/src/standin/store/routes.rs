//! From HTTP to operations.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use warp::{
    Filter, Rejection, Reply,
    filters::BoxedFilter,
    http::StatusCode,
    path::Tail,
    reply::{Json, Response},
};

use super::{
    fault::FaultOrder,
    operation::{DeleteQuery, GrantQuery, LeaseNumber, ListQuery, Operation, PutQuery, WatchQuery},
    reply,
    shared::Shared,
};

/// Largest value of a key, in bytes; etcd has the same default for a request.
const MAX_VALUE_BYTES: usize = 1536 * 1024;

/// Everything that the stand-in answers.
pub fn routes(shared: Arc<Shared>) -> BoxedFilter<(impl Reply,)> {
    let store = operations()
        .and(with(Arc::clone(&shared)))
        .then(|operation, shared: Arc<Shared>| async move { shared.handle(operation).await });
    admin(shared).or(store).unify().boxed()
}

fn with(shared: Arc<Shared>) -> impl Filter<Extract = (Arc<Shared>,), Error = Infallible> + Clone {
    warp::any().map(move || Arc::clone(&shared))
}

fn admin(shared: Arc<Shared>) -> BoxedFilter<(Response,)> {
    let fault = warp::path!("fault")
        .and(warp::post())
        .and(with(Arc::clone(&shared)))
        .and(warp::body::json())
        .map(set_fault);
    let requests = warp::path!("requests")
        .and(warp::get())
        .and(with(shared))
        .map(|shared: Arc<Shared>| -> Json { warp::reply::json(&shared.requests()) })
        .map(Reply::into_response);
    fault.or(requests).unify().boxed()
}

fn set_fault(shared: Arc<Shared>, order: FaultOrder) -> Response {
    shared.set_fault(&order);
    reply::status(StatusCode::OK)
}

fn operations() -> BoxedFilter<(Operation,)> {
    key_operations()
        .or(range_operations())
        .unify()
        .or(lease_operations())
        .unify()
        .boxed()
}

fn key() -> impl Filter<Extract = (String,), Error = Rejection> + Copy {
    warp::path!("v1" / "kv" / ..)
        .and(warp::path::tail())
        .map(|tail: Tail| tail.as_str().to_owned())
}

fn key_operations() -> BoxedFilter<(Operation,)> {
    let get = warp::get().and(key()).map(|key| Operation::Get { key });
    let put = warp::put()
        .and(key())
        .and(warp::query::<PutQuery>())
        .and(value())
        .map(|key, query, value| Operation::Put { key, query, value });
    let delete = warp::delete()
        .and(key())
        .and(warp::query::<DeleteQuery>())
        .map(|key, query| Operation::Delete { key, query });
    get.or(put).unify().or(delete).unify().boxed()
}

/// The body as text. A client may send an empty one without `Content-Length`, so the length is
/// looked at afterwards.
fn value() -> impl Filter<Extract = (String,), Error = Rejection> + Copy {
    warp::body::bytes().and_then(|body: Bytes| async move {
        if body.len() > MAX_VALUE_BYTES {
            return Err(warp::reject());
        }
        String::from_utf8(body.into()).map_err(|_| warp::reject())
    })
}

fn range_operations() -> BoxedFilter<(Operation,)> {
    let list = warp::path!("v1" / "list")
        .and(warp::get())
        .and(warp::query::<ListQuery>())
        .map(Operation::List);
    let watch = warp::path!("v1" / "watch")
        .and(warp::get())
        .and(warp::query::<WatchQuery>())
        .map(Operation::Watch);
    list.or(watch).unify().boxed()
}

fn lease_operations() -> BoxedFilter<(Operation,)> {
    let grant = warp::path!("v1" / "lease")
        .and(warp::post())
        .and(warp::query::<GrantQuery>())
        .map(Operation::Grant);
    let renew = warp::path!("v1" / "lease" / LeaseNumber / "renew")
        .and(warp::post())
        .map(|lease| Operation::Renew { lease });
    let revoke = warp::path!("v1" / "lease" / LeaseNumber)
        .and(warp::delete())
        .map(|lease| Operation::Revoke { lease });
    grant.or(renew).unify().or(revoke).unify().boxed()
}
