//! Tests of the connections to the back end, and of the test whether it is running.

use tallybridge_mesh::http::{AnswerBudget, ConnectionPool, ExchangeFailure};
use tokio::net::{TcpListener, TcpStream};

const BUDGET_BYTES: usize = 1 << 20;

/// Guards against a second connection for the request after a test.
#[tokio::test]
async fn test_connection_carries_the_next_request() {
    let (pool, listener) = start().await;
    assert_eq!(pool.test_back_end().await.unwrap(), 1);
    let _accepted = accept(&listener).await;
    let checkout = pool.check_out().expect("the pool keeps the connection");
    assert!(!checkout.is_reused);
}

/// Guards against an ended process that counts as running.
#[tokio::test]
async fn ended_back_end_fails_the_test() {
    let (pool, listener) = start().await;
    drop(listener);
    let error = pool.test_back_end().await.unwrap_err();
    assert!(
        matches!(error.cause, ExchangeFailure::Connection(_)),
        "{error}"
    );
    assert!(pool.check_out().is_none());
}

/// Guards against a process that counts as running because its listener closed a little later than its
/// connections.
#[tokio::test]
async fn back_end_that_ends_after_accepting_fails_the_test() {
    let (pool, listener) = start().await;
    tokio::spawn(async move {
        drop(accept(&listener).await);
    });
    assert!(pool.test_back_end().await.is_err());
    assert!(pool.check_out().is_none());
}

/// Guards against a running back end that counts as ended because it was at its connection limit.
#[tokio::test]
async fn one_closed_connection_does_not_fail_the_test() {
    let (pool, listener) = start().await;
    let serving = tokio::spawn(async move {
        drop(accept(&listener).await);
        accept(&listener).await
    });
    assert_eq!(pool.test_back_end().await.unwrap(), 2);
    let _accepted = serving.await.unwrap();
}

async fn start() -> (ConnectionPool, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = ConnectionPool::new(address, AnswerBudget::new(BUDGET_BYTES));
    (pool, listener)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.unwrap().0
}
