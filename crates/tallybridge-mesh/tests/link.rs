//! Reaction of a link to an unresponsive peer: new calls avoid it first, then pending calls fail.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    link::{Link, LinkError, framing::QueuedFrame},
    protocol::{CallMessage, Frame, Message},
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver},
    time::{Instant, advance},
};

const LINK_COUNT: u32 = 12;

fn call_message(is_idempotent: bool) -> CallMessage {
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

fn take_sent(frames: &mut UnboundedReceiver<QueuedFrame>) -> Vec<Message> {
    let mut messages = Vec::new();
    while let Ok(frame) = frames.try_recv() {
        let mut buffer = BytesMut::from(&frame.to_bytes()[..]);
        messages.push(Frame::decode(&mut buffer).unwrap().unwrap().message);
    }
    messages
}

async fn advance_and_check(link: &Link, duration_ms: u64) {
    for _ in 0..duration_ms / 50 {
        advance(Duration::from_millis(50)).await;
        link.check(Instant::now(), LINK_COUNT);
    }
}

#[tokio::test(start_paused = true)]
async fn abandons_idempotent_calls_on_unresponsive_link() {
    let (sender, mut frames) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new("peer", sender));
    let mut idempotent = link.call(call_message(true)).unwrap();
    let mut non_idempotent = link.call(call_message(false)).unwrap();
    take_sent(&mut frames);
    advance_and_check(&link, 300).await;
    assert_eq!(take_sent(&mut frames), [Message::Ping]);
    assert!(!link.is_suspect());
    advance_and_check(&link, 350).await;
    assert!(link.is_suspect());
    advance_and_check(&link, 400).await;
    assert_eq!(idempotent.reply().await.unwrap_err(), LinkError::NoReply);
    let result = tokio::time::timeout(Duration::from_millis(1), non_idempotent.reply()).await;
    assert!(result.is_err(), "a non-idempotent call was abandoned");
    assert_eq!(take_sent(&mut frames), [], "the link was pinged again");
}

#[tokio::test(start_paused = true)]
async fn dropped_call_is_cancelled_at_peer() {
    let (sender, mut frames) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new("peer", sender));
    let pending = link.call(call_message(true)).unwrap();
    take_sent(&mut frames);
    drop(pending);
    assert_eq!(take_sent(&mut frames), [Message::Cancel]);
}

#[tokio::test(start_paused = true)]
async fn pings_idle_links_less_often_with_many_links() {
    for (link_count, ping_delay_ms) in [(12, 1000), (300, 3600)] {
        let (sender, mut frames) = mpsc::unbounded_channel();
        let link = Link::new("peer", sender);
        advance(Duration::from_millis(ping_delay_ms - 1)).await;
        link.check(Instant::now(), link_count);
        assert_eq!(take_sent(&mut frames), []);
        advance(Duration::from_millis(1)).await;
        link.check(Instant::now(), link_count);
        assert_eq!(take_sent(&mut frames), [Message::Ping]);
    }
}

/// A delayed message must not look recent: its times are on the peer's clock.
#[tokio::test(start_paused = true)]
async fn delayed_peer_times_keep_their_age() {
    let (sender, _frames) = mpsc::unbounded_channel();
    let link = Link::new("peer", sender);
    assert_eq!(
        link.to_local_time(7_000),
        None,
        "a time was translated without the peer's clock"
    );
    let hello_sent_at = BootInstant::now();
    advance(Duration::from_millis(40)).await;
    link.set_peer_clock(hello_sent_at, 5_000);
    advance(Duration::from_secs(10)).await;
    let translated = link.to_local_time(7_000).expect("the peer's clock is set");
    assert_eq!(translated, hello_sent_at + Duration::from_secs(2));
    assert!(translated.elapsed() >= Duration::from_secs(8));
    let earlier = link.to_local_time(4_000).expect("the peer's clock is set");
    assert_eq!(earlier + Duration::from_secs(1), hello_sent_at);
}
