//! Limits on what a node holds for clients: the budget of bytes, and the connections of a listener.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use tallybridge_mesh::{
    http::{HttpLimits, Request, RequestHandler, Response},
    link::framing::{FrameReader, FrameSender, Received, write_frames},
    listener::serve,
    memory::{Activity, Client, MemoryBudget, MemoryShare, MemoryUse},
    protocol::{CallMessage, Frame, Message},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{advance, timeout},
};

const MIB: usize = 1 << 20;
const LIMIT_BYTES: usize = 8 * MIB;
const MAX_CONNECTIONS: usize = 3;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a client that claims a request of `bytes`.
fn sender(budget: &MemoryBudget, bytes: usize) -> (Client, MemoryShare) {
    let client = budget.listener_clients(usize::MAX).admit().unwrap();
    let mut share = budget.begin_request_of(&client);
    assert!(share.grow_to(bytes));
    (client, share)
}

async fn must_give_up(client: &Client) -> bool {
    timeout(Duration::ZERO, client.memory_demanded())
        .await
        .is_ok()
}

/// Guards against small messages that find no room beside the largest ones.
#[test]
fn small_messages_find_room_beside_large_ones() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut large: Vec<_> = (0..40).map(|_| budget.begin(MemoryUse::Request)).collect();
    for step in 1..100 {
        large.retain_mut(|share| share.grow_to(step * 64 * 1024));
        assert!(budget.used_bytes() <= LIMIT_BYTES);
        let mut small = budget.begin(MemoryUse::Request);
        assert!(small.grow_to(4 * 1024), "at {} bytes", budget.used_bytes());
    }
}

/// Guards against a message that counts no more while a queue or a reader still has it.
#[test]
fn body_counts_until_its_last_reference_is_dropped() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut share = budget.begin(MemoryUse::Request);
    assert!(share.grow_to(MIB));
    let body = share.hold(Bytes::from(vec![0; MIB]));
    let part = body.slice(10..20);
    drop(body.clone());
    drop(body);
    assert_eq!(budget.used_bytes(), MIB);
    drop(part);
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against requests that leave no memory for the answers of those that have run.
#[test]
fn requests_leave_room_for_answers() {
    let budget = MemoryBudget::of_process(160 * MIB);
    let mut requests = Vec::new();
    for _ in 0..10_000 {
        let mut share = budget.begin(MemoryUse::Request);
        if share.grow_to(64 * 1024) {
            requests.push(share);
        }
    }
    let mut answer = budget.begin(MemoryUse::Answer);
    assert!(answer.grow_to(10 * MIB));
}

/// Guards against a limit below the largest legal request at the default memory.
#[test]
fn largest_request_fits_the_default_memory() {
    let budget = MemoryBudget::of_process(160 * MIB);
    let mut share = budget.begin(MemoryUse::Request);
    assert!(share.grow_to(HttpLimits::default().max_body_bytes + MIB));
}

/// Guards against clients that keep memory by sending nothing more.
#[tokio::test(start_paused = true)]
async fn largest_and_slowest_clients_give_up_memory_first() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (slow, _slow_share) = sender(&budget, 2 * MIB);
    advance(Duration::from_secs(10)).await;
    let (large, _large_share) = sender(&budget, 3 * MIB);
    advance(Duration::from_secs(1)).await;
    let (small, _small_share) = sender(&budget, MIB);
    let mut growing = budget.begin(MemoryUse::Request);
    assert!(growing.grow_to(3 * MIB));
    assert!(must_give_up(&slow).await);
    assert!(!must_give_up(&large).await && !must_give_up(&small).await);
    assert_eq!(budget.evictions(), 1);
}

/// Guards against a fast client that goes on growing after it was asked to give way.
#[tokio::test(start_paused = true)]
async fn client_that_must_give_way_grows_no_more() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (slow, mut slow_share) = sender(&budget, 4 * MIB);
    advance(Duration::from_secs(10)).await;
    let mut growing = budget.begin(MemoryUse::Request);
    assert!(growing.grow_to(4 * MIB));
    assert!(must_give_up(&slow).await);
    assert!(!slow_share.grow_to(5 * MIB));
}

/// Guards against a kept connection whose later requests count no more, since it gave way once.
#[tokio::test(start_paused = true)]
async fn client_that_gave_way_counts_again() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (slow, slow_share) = sender(&budget, 4 * MIB);
    advance(Duration::from_secs(10)).await;
    let mut growing = budget.begin(MemoryUse::Request);
    assert!(growing.grow_to(4 * MIB));
    assert!(must_give_up(&slow).await);
    drop(slow_share);
    slow.meet_memory_demand();
    assert!(!must_give_up(&slow).await);
    drop(growing);
    let mut again = budget.begin_request_of(&slow);
    assert!(again.grow_to(4 * MIB));
    advance(Duration::from_secs(10)).await;
    let mut other = budget.begin(MemoryUse::Request);
    assert!(other.grow_to(4 * MIB));
    assert!(must_give_up(&slow).await);
}

/// Guards against an old large request that takes the memory of new small ones.
#[tokio::test(start_paused = true)]
async fn request_that_costs_most_fails_itself() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (_large, mut large_share) = sender(&budget, 4 * MIB);
    advance(Duration::from_secs(1)).await;
    let (small, _small_share) = sender(&budget, 2 * MIB);
    assert!(!large_share.grow_to(6 * MIB));
    assert!(!must_give_up(&small).await);
    assert_eq!(budget.failures(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Begin { use_index: usize, by_client: bool },
    Grow { index: usize, bytes: usize },
    Split { index: usize },
    Drop { index: usize },
    GiveUp,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..2_usize, any::<bool>())
            .prop_map(|(use_index, by_client)| Step::Begin { use_index, by_client }),
        6 => (0..16_usize, 0..4 * MIB).prop_map(|(index, bytes)| Step::Grow { index, bytes }),
        1 => (0..16_usize).prop_map(|index| Step::Split { index }),
        2 => (0..16_usize).prop_map(|index| Step::Drop { index }),
        2 => Just(Step::GiveUp),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against bytes that are counted twice, or never given back.
    #[test]
    fn budget_counts_exactly_what_is_held(steps in prop::collection::vec(any_step(), 1..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        runtime.block_on(async {
            let budget = MemoryBudget::new(LIMIT_BYTES);
            let clients = budget.listener_clients(usize::MAX);
            let mut held: Vec<(MemoryShare, usize, Option<Client>)> = Vec::new();
            for step in steps {
                match step {
                    Step::Begin { use_index, by_client } => {
                        let client = by_client.then(|| clients.admit().unwrap());
                        let share = match &client {
                            Some(client) => budget.begin_request_of(client),
                            None => budget.begin(MemoryUse::ALL[use_index]),
                        };
                        held.push((share, 0, client));
                    }
                    Step::Grow { index, bytes } if index < held.len() => {
                        let (share, held_bytes, _) = &mut held[index];
                        let has_room = share.grow_to(bytes);
                        *held_bytes = bytes.max(*held_bytes);
                        if !has_room {
                            held.swap_remove(index);
                        }
                    }
                    Step::Split { index } if index < held.len() => {
                        let (share, held_bytes, _) = &mut held[index];
                        let half = *held_bytes / 2;
                        let part = share.split(half);
                        *held_bytes -= half;
                        held.push((part, half, None));
                    }
                    Step::Drop { index } if index < held.len() => {
                        held.swap_remove(index);
                    }
                    Step::GiveUp => {
                        let mut kept = Vec::new();
                        for each in held {
                            let gives_up = match &each.2 {
                                Some(client) => must_give_up(client).await,
                                None => false,
                            };
                            if !gives_up {
                                kept.push(each);
                            }
                        }
                        held = kept;
                    }
                    _ => {}
                }
                let expected: usize = held.iter().map(|(_, bytes, _)| bytes).sum();
                prop_assert_eq!(budget.used_bytes(), expected);
            }
            held.clear();
            prop_assert_eq!(budget.used_bytes(), 0);
            // All of the budget can be used again.
            prop_assert!(budget.begin(MemoryUse::Answer).grow_to(LIMIT_BYTES / 4 * 3));
            Ok(())
        })?;
    }
}

async fn must_close(client: &Client) -> bool {
    timeout(Duration::ZERO, client.connection_demanded())
        .await
        .is_ok()
}

/// Guards against a full listener that closes a connection whose request runs.
#[tokio::test(start_paused = true)]
async fn full_listener_closes_what_does_nothing_for_longest() {
    let clients = MemoryBudget::new(LIMIT_BYTES).listener_clients(MAX_CONNECTIONS);
    let reading = clients.admit().unwrap();
    reading.set_activity(Activity::Reading);
    let busy = clients.admit().unwrap();
    busy.set_activity(Activity::Busy);
    advance(Duration::from_secs(1)).await;
    let idle = clients.admit().unwrap();
    let first = clients.admit().unwrap();
    first.set_activity(Activity::Busy);
    assert!(must_close(&idle).await && !must_close(&reading).await);
    let second = clients.admit().unwrap();
    second.set_activity(Activity::Busy);
    assert!(must_close(&reading).await && !must_close(&busy).await);
    assert!(clients.admit().is_none(), "all connections are busy");
    drop((idle, reading));
    assert!(clients.admit().is_none(), "others have taken their places");
    drop(busy);
    assert!(clients.admit().is_some());
}

/// Answers with the length of the body, and counts the requests.
#[derive(Clone, Default)]
struct Counter(Arc<AtomicUsize>);

impl RequestHandler for Counter {
    type Guard = ();

    fn track_request(&self) {}

    fn track_closing_connection(&self) {}

    async fn handle(&self, request: Request) -> Response {
        self.0.fetch_add(1, Ordering::Relaxed);
        Response::new(200, request.body.len().to_string())
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits::default()
    }

    fn is_closing(&self) -> bool {
        false
    }

    async fn idle_close_due(&self) {
        std::future::pending().await
    }
}

async fn start_server(budget: &MemoryBudget) -> (Counter, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counter = Counter::default();
    let clients = budget.listener_clients(MAX_CONNECTIONS);
    tokio::spawn(serve(counter.clone(), listener, clients));
    (counter, address)
}

/// Sends a request and returns all that arrives until the server closes.
async fn exchange(address: SocketAddr, body_bytes: usize) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head =
        format!("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n");
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        let _ = writer.write_all(head.as_bytes()).await;
        let _ = writer.write_all(&vec![b'x'; body_bytes]).await;
        std::future::pending::<()>().await;
    };
    let receiving = async {
        let mut answer = Vec::new();
        let _ = reader.read_to_end(&mut answer).await;
        String::from_utf8(answer).unwrap()
    };
    let answer = async {
        tokio::select! {
            () = sending => unreachable!("waits without end"),
            answer = receiving => answer,
        }
    };
    timeout(WAIT_TIMEOUT, answer)
        .await
        .expect("an answer arrives")
}

/// Guards against a refused request that runs, or whose caller is not told when to come back.
#[tokio::test]
async fn request_without_memory_is_refused_and_does_not_run() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (counter, address) = start_server(&budget).await;
    let refused = exchange(address, LIMIT_BYTES).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("Retry-After: "), "{refused}");
    assert_eq!(counter.0.load(Ordering::Relaxed), 0);
    let answer = exchange(address, LIMIT_BYTES / 2).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(budget.used_bytes_for(MemoryUse::Request), 0);
}

fn call(body_bytes: usize) -> Frame {
    numbered_call(7, body_bytes)
}

fn numbered_call(call: u32, body_bytes: usize) -> Frame {
    Frame {
        call,
        message: Message::Call(CallMessage {
            remaining_ms: 1000,
            wait_ms: 100,
            criticality: 0,
            route_number: 1,
            is_idempotent: true,
            is_urgent: false,
            is_retry: false,
            is_head_request: false,
            attempt: Bytes::from_static(b"a"),
            head: Bytes::new(),
            body: vec![b'x'; body_bytes].into(),
        }),
    }
}

async fn next_frame(reader: &mut FrameReader) -> Received {
    loop {
        let received = timeout(WAIT_TIMEOUT, reader.next()).await;
        match received.expect("a frame arrives").unwrap() {
            Received::Part => {}
            received => return received,
        }
    }
}

/// Guards against a call without memory that keeps the later frames of its link from being read.
#[tokio::test]
async fn call_without_memory_is_skipped_on_its_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (stream_reader, _writer) = stream.into_split();
    let mut reader = FrameReader::new(stream_reader, BytesMut::new(), budget.clone());
    let frames = [
        call(LIMIT_BYTES),
        Frame::without_call(Message::Ping),
        call(MIB),
    ];
    let sending = tokio::spawn(async move {
        for frame in frames {
            peer.write_all(&frame.encode()).await.unwrap();
        }
        peer
    });
    let Received::Discarded(preview) = next_frame(&mut reader).await else {
        panic!("a call of the size of the budget was read");
    };
    assert_eq!(preview.call, 7);
    let Received::Frame(ping) = next_frame(&mut reader).await else {
        panic!("the frame behind was discarded");
    };
    assert_eq!(ping.message, Message::Ping);
    let Received::Frame(small) = next_frame(&mut reader).await else {
        panic!("a call of the budget's size was discarded");
    };
    assert!(budget.used_bytes_for(MemoryUse::Request) >= MIB);
    drop(small);
    assert_eq!(budget.used_bytes(), 0);
    sending.await.unwrap();
}

/// Guards against small calls that wait until all large ones are sent, and against large ones that are sent
/// although they are cancelled.
#[tokio::test]
async fn small_frames_overtake_waiting_large_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_peer_reader, writer) = peer.into_split();
    let (sender, frames) = mpsc::unbounded_channel();
    let sender = FrameSender::new(sender);
    for number in 1..=4 {
        sender.send(&numbered_call(number, MIB));
    }
    sender.send(&Frame {
        call: 3,
        message: Message::Cancel,
    });
    sender.send(&numbered_call(5, 10));
    drop(sender);
    let writing = tokio::spawn(write_frames(writer, frames));
    let (stream_reader, _writer) = stream.into_split();
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut reader = FrameReader::new(stream_reader, BytesMut::new(), budget);
    let mut order = Vec::new();
    for _ in 0..4 {
        let Received::Frame(frame) = next_frame(&mut reader).await else {
            panic!("a frame was discarded");
        };
        assert!(matches!(frame.message, Message::Call(_)));
        order.push(frame.call);
    }
    assert_eq!(order, [5, 1, 2, 4]);
    let written = timeout(WAIT_TIMEOUT, writing).await;
    written.expect("the writer ends").unwrap().unwrap();
}
