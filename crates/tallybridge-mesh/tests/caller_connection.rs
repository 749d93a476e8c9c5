//! One connection of a caller.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tallybridge_mesh::{
    http::{Answer, Connection, HttpLimits, Request, RequestHandler},
    listener::serve,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

/// Answers with the path; one under `/wait` waits for a permit first.
#[derive(Clone)]
struct Echo {
    permits: Arc<Semaphore>,
    started: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
}

struct CountDrop(Arc<AtomicUsize>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl RequestHandler for Echo {
    async fn handle(&self, request: Request) -> Answer {
        self.started.fetch_add(1, Ordering::SeqCst);
        let unfinished = CountDrop(self.dropped.clone());
        if request.head.target.starts_with("/wait") {
            self.permits.acquire().await.unwrap().forget();
        }
        std::mem::forget(unfinished);
        Answer::new(200, request.head.target.clone())
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
}

async fn start() -> (Echo, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = Echo {
        permits: Arc::new(Semaphore::new(0)),
        started: Arc::default(),
        dropped: Arc::default(),
        closing: Arc::default(),
    };
    tokio::spawn(serve(echo.clone(), listener));
    (echo, TcpStream::connect(address).await.unwrap())
}

async fn until(mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), waiting)
        .await
        .expect("it never happened");
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

#[tokio::test]
async fn answers_come_in_the_order_of_their_requests() {
    let (echo, mut stream) = start().await;
    let requests = [get("/wait/1"), get("/2"), get("/wait/3"), get("/4")].concat();
    stream.write_all(&requests).await.unwrap();
    until(|| echo.started.load(Ordering::SeqCst) == 4).await;
    echo.permits.add_permits(2);
    let mut connection = Connection::new(stream);
    for path in ["/wait/1", "/2", "/wait/3", "/4"] {
        let answer = connection.next_answer(false).await.unwrap();
        assert_eq!(answer.body, path);
        assert!(answer.goes_on);
    }
}

#[tokio::test]
async fn a_caller_that_closes_ends_the_work_on_all_its_requests() {
    let (echo, mut stream) = start().await;
    let requests = [get("/wait/1"), get("/wait/2")].concat();
    stream.write_all(&requests).await.unwrap();
    until(|| echo.started.load(Ordering::SeqCst) == 2).await;
    drop(stream);
    until(|| echo.dropped.load(Ordering::SeqCst) == 2).await;
}

#[tokio::test]
async fn a_close_is_announced_on_the_last_answer_only() {
    let (echo, mut stream) = start().await;
    stream
        .write_all(&[get("/wait/1"), get("/wait/2")].concat())
        .await
        .unwrap();
    until(|| echo.started.load(Ordering::SeqCst) == 2).await;
    echo.closing.store(true, Ordering::SeqCst);
    echo.permits.add_permits(2);
    let mut connection = Connection::new(stream);
    assert!(connection.next_answer(false).await.unwrap().goes_on);
    assert!(!connection.next_answer(false).await.unwrap().goes_on);
}

#[tokio::test]
async fn a_connection_at_rest_is_closed_without_a_word() {
    let (_echo, mut stream) = start().await;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

#[tokio::test]
async fn a_connection_that_waits_for_its_answer_is_not_at_rest() {
    let (echo, mut stream) = start().await;
    stream.write_all(&get("/wait/1")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(900)).await;
    echo.permits.add_permits(1);
    let mut connection = Connection::new(stream);
    assert_eq!(connection.next_answer(false).await.unwrap().body, "/wait/1");
}

#[tokio::test]
async fn the_time_for_a_head_runs_from_its_first_byte() {
    let (_echo, mut stream) = start().await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    stream.write_all(b"GET /a HTTP/1.1\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(150)).await;
    stream.write_all(b"Host: h\r\n\r\n").await.unwrap();
    let mut connection = Connection::new(stream);
    let answer = connection.next_answer(false).await.unwrap();
    assert_eq!(answer.head.status, 200);
}

#[tokio::test]
async fn an_old_caller_gets_one_answer_and_a_head_request_no_body() {
    let (_echo, mut stream) = start().await;
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
async fn a_body_that_is_waited_for_is_asked_for() {
    let (_echo, mut stream) = start().await;
    let head = "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut asked = [0_u8; 25];
    stream.read_exact(&mut asked).await.unwrap();
    assert_eq!(&asked, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ok").await.unwrap();
    let mut connection = Connection::new(stream);
    assert_eq!(connection.next_answer(false).await.unwrap().body, "/b");
}
