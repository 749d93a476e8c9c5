//! Tests how the server handles one connection of a caller.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tallybridge_mesh::{
    http::{Connection, HttpLimits, Request, RequestHandler, Response},
    in_flight::{InFlight, InFlightCounter},
    listener::serve,
    memory::MemoryBudget,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Semaphore,
};

/// Size of the answer to `/large`, in bytes. Exceeds what the system buffers for a connection.
const LARGE_BYTES: usize = 32 << 20;
/// Size of the answer to `/part`, in bytes. The system buffers several of them for a connection.
const PART_BYTES: usize = 5_000;
const PART_COUNT: usize = 6;
/// Memory and connections beyond what any test here takes.
const BUDGET_BYTES: usize = 256 << 20;
const MAX_CONNECTIONS: usize = 100;
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
const SEGMENT_BYTES: u32 = 1448;

/// Answers each request with its path. Requests under `/wait` wait for a permit first.
#[derive(Clone)]
struct Echo {
    permits: Arc<Semaphore>,
    started: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
    completed: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
    idle_close: Arc<Semaphore>,
    in_flight: InFlightCounter,
    closing_connections: InFlightCounter,
}

struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl RequestHandler for Echo {
    type Guard = InFlight;

    fn track_request(&self) -> InFlight {
        self.in_flight.begin()
    }

    fn track_closing_connection(&self) -> InFlight {
        self.closing_connections.begin()
    }

    async fn handle(&self, request: Request) -> Response {
        self.started.fetch_add(1, Ordering::SeqCst);
        let drop_guard = DropCounter(self.dropped.clone());
        if request.head.target.starts_with("/wait") {
            self.permits.acquire().await.unwrap().forget();
        }
        std::mem::forget(drop_guard);
        self.completed.fetch_add(1, Ordering::SeqCst);
        if request.head.target == "/large" {
            return Response::new(200, vec![b'x'; LARGE_BYTES]);
        }
        if request.head.target == "/part" {
            return Response::new(200, vec![b'x'; PART_BYTES]);
        }
        Response::new(200, request.head.target.clone())
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits {
            idle_timeout: Duration::from_millis(600),
            header_timeout: Duration::from_millis(300),
            ..HttpLimits::default()
        }
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    async fn idle_close_due(&self) {
        // Fails only if the semaphore is closed, which makes the close due.
        let _ = self.idle_close.acquire().await;
    }
}

async fn start_server() -> (Echo, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = Echo {
        permits: Arc::new(Semaphore::new(0)),
        started: Arc::default(),
        dropped: Arc::default(),
        completed: Arc::default(),
        closing: Arc::default(),
        idle_close: Arc::new(Semaphore::new(0)),
        in_flight: InFlightCounter::default(),
        closing_connections: InFlightCounter::default(),
    };
    let clients = MemoryBudget::new(BUDGET_BYTES).listener_clients(MAX_CONNECTIONS);
    tokio::spawn(serve(echo.clone(), listener, clients));
    (echo, connect_with_small_window(address).await)
}

/// The small window and segments keep most of what is written at the sender until the caller reads.
async fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Sends pipelined requests, and waits until the server has written all answers, which the caller has not
/// read.
async fn leave_parts_unread(echo: &Echo, stream: &mut TcpStream) {
    let requests = get("/part").repeat(PART_COUNT);
    stream.write_all(&requests).await.unwrap();
    wait_until(|| echo.completed.load(Ordering::SeqCst) == PART_COUNT).await;
    wait_until(|| echo.in_flight.count() == 0).await;
}

async fn expect_parts(connection: &mut Connection) {
    for number in 0..PART_COUNT {
        let answer = connection.next_response(false).await;
        let answer = answer.unwrap_or_else(|error| panic!("answer {number} is lost: {error}"));
        assert_eq!(answer.body.len(), PART_BYTES);
    }
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), polling)
        .await
        .expect("condition did not hold within 20 s");
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

#[tokio::test]
async fn answers_pipelined_requests_in_order() {
    let (echo, mut stream) = start_server().await;
    let requests = [get("/wait/1"), get("/2"), get("/wait/3"), get("/4")].concat();
    stream.write_all(&requests).await.unwrap();
    wait_until(|| echo.started.load(Ordering::SeqCst) == 4).await;
    echo.permits.add_permits(2);
    let mut connection = Connection::new(stream);
    for path in ["/wait/1", "/2", "/wait/3", "/4"] {
        let answer = connection.next_response(false).await.unwrap();
        assert_eq!(answer.body, path);
        assert!(answer.is_persistent);
    }
}

#[tokio::test]
async fn cancels_requests_when_caller_closes() {
    let (echo, mut stream) = start_server().await;
    let requests = [get("/wait/1"), get("/wait/2")].concat();
    stream.write_all(&requests).await.unwrap();
    wait_until(|| echo.started.load(Ordering::SeqCst) == 2).await;
    drop(stream);
    wait_until(|| echo.dropped.load(Ordering::SeqCst) == 2).await;
}

#[tokio::test]
async fn announces_close_on_last_response_only() {
    let (echo, mut stream) = start_server().await;
    stream
        .write_all(&[get("/wait/1"), get("/wait/2")].concat())
        .await
        .unwrap();
    wait_until(|| echo.started.load(Ordering::SeqCst) == 2).await;
    echo.closing.store(true, Ordering::SeqCst);
    echo.permits.add_permits(2);
    let mut connection = Connection::new(stream);
    assert!(connection.next_response(false).await.unwrap().is_persistent);
    assert!(!connection.next_response(false).await.unwrap().is_persistent);
}

/// Guards against a stop that ends the process while a slow caller still reads its answer.
#[tokio::test]
async fn request_is_in_flight_until_its_answer_is_written() {
    let (echo, mut stream) = start_server().await;
    stream.write_all(&get("/large")).await.unwrap();
    wait_until(|| echo.completed.load(Ordering::SeqCst) == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(echo.in_flight.count(), 1);
    let mut connection = Connection::new(stream);
    let answer = connection.next_response(false).await.unwrap();
    assert_eq!(answer.body.len(), LARGE_BYTES);
    wait_until(|| echo.in_flight.count() == 0).await;
}

/// Guards against the same for the rest of the last answer, which the system still holds.
#[tokio::test]
async fn closing_connection_counts_until_the_caller_has_its_last_answer() {
    let (echo, mut stream) = start_server().await;
    echo.closing.store(true, Ordering::SeqCst);
    stream.write_all(&get("/small")).await.unwrap();
    let mut connection = Connection::new(stream);
    assert!(!connection.next_response(false).await.unwrap().is_persistent);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(echo.closing_connections.count(), 1);
    drop(connection);
    wait_until(|| echo.closing_connections.count() == 0).await;
}

/// Guards against requests that stand still, and hold slots, behind an answer that is read slowly.
#[tokio::test]
async fn pipelined_requests_proceed_behind_a_slow_answer() {
    let (echo, mut stream) = start_server().await;
    let requests = [get("/large"), get("/wait/2"), get("/wait/3")].concat();
    stream.write_all(&requests).await.unwrap();
    wait_until(|| echo.started.load(Ordering::SeqCst) == 3).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    echo.permits.add_permits(2);
    wait_until(|| echo.completed.load(Ordering::SeqCst) == 3).await;
    assert_eq!(echo.in_flight.count(), 3);
    let mut connection = Connection::new(stream);
    let large = connection.next_response(false).await.unwrap();
    assert_eq!(large.body.len(), LARGE_BYTES);
    for path in ["/wait/2", "/wait/3"] {
        assert_eq!(connection.next_response(false).await.unwrap().body, path);
    }
    wait_until(|| echo.in_flight.count() == 0).await;
}

#[tokio::test]
async fn closes_idle_connection_without_response() {
    let (_echo, mut stream) = start_server().await;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

/// Guards against an idle close that resets a connection whose caller still reads its answers.
#[tokio::test]
async fn connection_is_not_idle_until_its_answers_arrived() {
    let (echo, mut stream) = start_server().await;
    leave_parts_unread(&echo, &mut stream).await;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    stream.write_all(&get("/again")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut connection = Connection::new(stream);
    expect_parts(&mut connection).await;
    let answer = connection.next_response(false).await.unwrap();
    assert_eq!(answer.body, "/again");
}

/// Guards against a stop that resets a connection whose caller sends again before it has read its answers.
#[tokio::test]
async fn stop_answers_requests_behind_answers_that_have_not_arrived() {
    let (echo, mut stream) = start_server().await;
    leave_parts_unread(&echo, &mut stream).await;
    echo.closing.store(true, Ordering::SeqCst);
    echo.idle_close.add_permits(1);
    wait_until(|| echo.closing_connections.count() == 1).await;
    stream.write_all(&get("/again")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(echo.in_flight.count() + echo.closing_connections.count() > 0);
    let mut connection = Connection::new(stream);
    expect_parts(&mut connection).await;
    let answer = connection.next_response(false).await.unwrap();
    assert_eq!(answer.body, "/again");
    assert!(!answer.is_persistent);
    drop(connection);
    wait_until(|| echo.closing_connections.count() == 0).await;
}

/// Guards against the same where the caller is still reading when the time for closing is over.
#[tokio::test]
async fn closing_connection_waits_while_answers_arrive_slowly() {
    let (echo, mut stream) = start_server().await;
    echo.closing.store(true, Ordering::SeqCst);
    leave_parts_unread(&echo, &mut stream).await;
    let mut bytes = Vec::new();
    let started_at = std::time::Instant::now();
    // Longer than a closing connection is kept without progress.
    while started_at.elapsed() < Duration::from_millis(5600) {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let mut limited = (&mut stream).take(768);
        limited.read_buf(&mut bytes).await.unwrap();
    }
    stream.write_all(&get("/again")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.len() > PART_BYTES * PART_COUNT);
}

/// Guards against a stop that leaves a kept connection to the end of the process.
#[tokio::test]
async fn stop_closes_connections_at_rest_and_waits_for_their_callers() {
    let (echo, mut stream) = start_server().await;
    stream.write_all(&get("/1")).await.unwrap();
    let mut connection = Connection::new(stream);
    connection.next_response(false).await.unwrap();
    echo.idle_close.add_permits(1);
    wait_until(|| echo.closing_connections.count() == 1).await;
    assert!(connection.next_response(false).await.is_err());
    drop(connection);
    wait_until(|| echo.closing_connections.count() == 0).await;
}

#[tokio::test]
async fn keeps_connection_open_while_request_runs() {
    let (echo, mut stream) = start_server().await;
    stream.write_all(&get("/wait/1")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(900)).await;
    echo.permits.add_permits(1);
    let mut connection = Connection::new(stream);
    assert_eq!(
        connection.next_response(false).await.unwrap().body,
        "/wait/1"
    );
}

#[tokio::test]
async fn header_timeout_starts_at_first_byte() {
    let (_echo, mut stream) = start_server().await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    stream.write_all(b"GET /a HTTP/1.1\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(150)).await;
    stream.write_all(b"Host: h\r\n\r\n").await.unwrap();
    let mut connection = Connection::new(stream);
    let answer = connection.next_response(false).await.unwrap();
    assert_eq!(answer.head.status, 200);
}

#[tokio::test]
async fn answers_http_1_0_head_request_without_body() {
    let (_echo, mut stream) = start_server().await;
    stream
        .write_all(b"HEAD /head HTTP/1.0\r\n\r\n")
        .await
        .unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.contains("Content-Length: 5\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\n"), "{text}");
    assert!(text.contains("Connection: close\r\n"));
}

#[tokio::test]
async fn sends_100_continue_when_expected() {
    let (_echo, mut stream) = start_server().await;
    let head = "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0_u8; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ok").await.unwrap();
    let mut connection = Connection::new(stream);
    assert_eq!(connection.next_response(false).await.unwrap().body, "/b");
}
