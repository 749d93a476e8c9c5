//! Limits on what a client reads of responses that never end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use tallybridge_mesh::{
    http::{
        Connection, ExchangeError, ExchangeFailure, HeadError, ReceivedResponse, ResponseLimits,
    },
    memory::MemoryBudget,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const MIB: usize = 1 << 20;
const BUDGET_BYTES: usize = 8 * MIB;
/// Size up to which a response does not count against the budget.
const UNCOUNTED_BYTES: usize = 64 * 1024;
const UNSIZED_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(20);

/// What the server sends on each connection, whatever is requested.
#[derive(Clone)]
struct Script {
    first: Vec<u8>,
    repeated: Vec<u8>,
    /// Number of times that `repeated` is sent; after that, the connection stays open.
    repetitions: usize,
}

async fn start_server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let script = script.clone();
            tokio::spawn(async move {
                let _ = stream.write_all(&script.first).await;
                for _ in 0..script.repetitions {
                    if stream.write_all(&script.repeated).await.is_err() {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

async fn request(
    address: SocketAddr,
    budget: &MemoryBudget,
) -> Result<ReceivedResponse, ExchangeError> {
    let limits = ResponseLimits {
        budget: Some(budget.clone()),
        ..ResponseLimits::default()
    };
    let stream = TcpStream::connect(address).await.unwrap();
    let mut connection = Connection::with_limits(stream, limits);
    let exchange = connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", false);
    timeout(MAX_EXCHANGE_TIME, exchange)
        .await
        .expect("the exchange ends in time")
}

fn endless(first: &str, repeated: Vec<u8>) -> Script {
    Script {
        first: first.into(),
        repeated,
        repetitions: usize::MAX,
    }
}

fn sized_response(bytes: usize) -> Script {
    let mut first = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n").into_bytes();
    first.resize(first.len() + bytes, b'x');
    Script {
        first,
        repeated: Vec::new(),
        repetitions: 0,
    }
}

/// Guards against endless bodies that take all memory of the process together.
#[tokio::test]
async fn endless_bodies_together_stay_within_the_budget() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let server = start_server(endless(UNSIZED_HEAD, vec![b'x'; 16 * 1024])).await;
    let exchanges = join_all((0..24).map(|_| request(server, &budget)));
    let watching = async {
        loop {
            assert!(budget.used_bytes() <= BUDGET_BYTES + UNCOUNTED_BYTES);
            sleep(Duration::from_millis(1)).await;
        }
    };
    let results = tokio::select! {
        results = exchanges => results,
        () = watching => unreachable!("watches without end"),
    };
    for result in results {
        let cause = result.unwrap_err().cause;
        assert!(
            matches!(cause, ExchangeFailure::OutOfMemoryBudget),
            "{cause}"
        );
    }
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against ordinary answers that fail because of the large ones of a back end in trouble.
#[tokio::test]
async fn answers_that_stall_leave_room_for_others() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let stalling = Script {
        first: UNSIZED_HEAD.into(),
        repeated: vec![b'x'; 64 * 1024],
        repetitions: 5,
    };
    let server = start_server(stalling).await;
    let stalled = join_all((0..24).map(|_| request(server, &budget)));
    let small = start_server(sized_response(UNCOUNTED_BYTES)).await;
    let medium = start_server(sized_response(MIB)).await;
    let others = async {
        while budget.used_bytes() < BUDGET_BYTES / 2 {
            sleep(Duration::from_millis(1)).await;
        }
        for server in [small, medium] {
            assert_eq!(request(server, &budget).await.unwrap().head.status, 200);
        }
    };
    tokio::select! {
        _ = stalled => panic!("a stalled answer ended"),
        () = others => {}
    }
}

#[tokio::test]
async fn single_answer_may_take_most_of_the_budget() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let allowed = start_server(sized_response(BUDGET_BYTES / 2)).await;
    let body = request(allowed, &budget).await.unwrap().body;
    assert_eq!(body.len(), BUDGET_BYTES / 2);
    let too_large = start_server(sized_response(BUDGET_BYTES)).await;
    let cause = request(too_large, &budget).await.unwrap_err().cause;
    assert!(
        matches!(cause, ExchangeFailure::OutOfMemoryBudget),
        "{cause}"
    );
}

/// Guards against a client that reads header lines or interim responses until its deadline.
#[tokio::test]
async fn endless_heads_and_interim_responses_fail() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let lines = b"X-Filler: filler\r\n".repeat(512);
    let heads = start_server(endless("HTTP/1.1 200 OK\r\n", lines)).await;
    let cause = request(heads, &budget).await.unwrap_err().cause;
    let is_too_large = matches!(cause, ExchangeFailure::Head(HeadError::TooLarge));
    assert!(is_too_large, "{cause}");
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(512);
    let interim = start_server(endless("", interim)).await;
    let cause = request(interim, &budget).await.unwrap_err().cause;
    let is_interim = matches!(cause, ExchangeFailure::TooManyInterimResponses);
    assert!(is_interim, "{cause}");
}
