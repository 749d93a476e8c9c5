//! Doing one operation on the table.

use std::time::Duration;

use tokio::time::Instant;
use warp::{http::StatusCode, reply::Response};

use super::{
    operation::Operation,
    reply::{self, EntriesReply},
    table::StoreTable,
};

/// Does an operation other than a watch, which waits, and gives its answer.
pub fn apply(store: &mut StoreTable, operation: Operation) -> Response {
    let now = Instant::now();
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
