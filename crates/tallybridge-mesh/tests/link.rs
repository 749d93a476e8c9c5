//! A link to a node that falls silent: new calls avoid it first, then calls under way are given up.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    link::{Link, LinkError},
    protocol::{CallMessage, Frame, Message},
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver},
    time::{Instant, advance},
};

const FLEET: u32 = 12;

fn call(is_idempotent: bool) -> CallMessage {
    CallMessage {
        remaining_ms: 1000,
        wait_ms: 100,
        criticality: 0,
        route_number: 1,
        is_idempotent,
        is_urgent: false,
        is_retry: false,
        is_head_request: false,
        attempt: Bytes::from_static(b"a"),
        head: Bytes::new(),
        body: Bytes::new(),
    }
}

fn sent(frames: &mut UnboundedReceiver<Bytes>) -> Vec<Message> {
    let mut messages = Vec::new();
    while let Ok(frame) = frames.try_recv() {
        let mut buffer = BytesMut::from(&frame[..]);
        messages.push(Frame::decode(&mut buffer).unwrap().unwrap().message);
    }
    messages
}

async fn pass(link: &Link, milliseconds: u64) {
    for _ in 0..milliseconds / 50 {
        advance(Duration::from_millis(50)).await;
        link.check(Instant::now(), FLEET);
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_link_is_asked_then_avoided_then_its_repeatable_calls_are_given_up() {
    let (sender, mut frames) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new("peer", sender));
    let mut read = link.call(call(true)).unwrap();
    let mut payment = link.call(call(false)).unwrap();
    sent(&mut frames);
    pass(&link, 300).await;
    assert_eq!(sent(&mut frames), [Message::Ping]);
    assert!(!link.is_suspect());
    pass(&link, 350).await;
    assert!(link.is_suspect());
    pass(&link, 400).await;
    assert_eq!(read.reply().await.unwrap_err(), LinkError::Lost);
    let waiting = tokio::time::timeout(Duration::from_millis(1), payment.reply()).await;
    assert!(waiting.is_err(), "a payment waits for its answer");
    assert_eq!(sent(&mut frames), [], "asked once");
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_dropped_is_cancelled_at_the_other_node() {
    let (sender, mut frames) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new("peer", sender));
    let under_way = link.call(call(true)).unwrap();
    sent(&mut frames);
    drop(under_way);
    assert_eq!(sent(&mut frames), [Message::Cancel]);
}

#[tokio::test(start_paused = true)]
async fn a_link_at_rest_is_asked_less_often_in_a_larger_fleet() {
    for (fleet, due_ms) in [(12, 1000), (300, 3600)] {
        let (sender, mut frames) = mpsc::unbounded_channel();
        let link = Link::new("peer", sender);
        advance(Duration::from_millis(due_ms - 1)).await;
        link.check(Instant::now(), fleet);
        assert_eq!(sent(&mut frames), []);
        advance(Duration::from_millis(1)).await;
        link.check(Instant::now(), fleet);
        assert_eq!(sent(&mut frames), [Message::Ping]);
    }
}

/// What a peer tells may be held up for seconds on a link that was cut. It is dated by the peer's
/// clock, so it does not look fresh when it comes.
#[tokio::test(start_paused = true)]
async fn news_that_was_held_up_on_the_way_is_as_old_as_it_is() {
    let (sender, _frames) = mpsc::unbounded_channel();
    let link = Link::new("peer", sender);
    assert_eq!(
        link.to_local_time(7_000),
        None,
        "the peer's clock is not known yet"
    );
    let introduced_at = BootInstant::now();
    advance(Duration::from_millis(40)).await;
    link.set_peer_clock(introduced_at, 5_000);
    advance(Duration::from_secs(10)).await;
    let dated = link.to_local_time(7_000).expect("the clock is known");
    assert_eq!(dated, introduced_at + Duration::from_secs(2));
    assert!(dated.elapsed() >= Duration::from_secs(8));
    let before = link.to_local_time(4_000).expect("the clock is known");
    assert_eq!(before + Duration::from_secs(1), introduced_at);
}
