//! What a peer sends damaged is answered at once and harms nothing else.

mod support;

use futures::{SinkExt, StreamExt};
use support::Chain;
use tallybridge_core::{ErrorKind, Outcome};
use tallybridge_wire::{
    BodyChunk, CallHead, Frame, FrameCodec, Hello, Message, StreamId, Text, WireHeaders,
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

const STREAM: StreamId = StreamId(1);
const BODY: &[u8] = b"12345";

fn hello() -> Message {
    Message::Hello(Hello {
        instance: 1,
        peer_address: Text::new("127.0.0.1:1"),
        service: Text::new(""),
        region: Text::new("south"),
        zone: Text::new("a"),
        rack: Text::new(""),
    })
}

fn call(body_checksum: u32) -> Message {
    Message::Call(CallHead {
        key_issued_unix_ms: 0,
        key_digest: 1,
        claim_needed: 0,
        max_runs: 1,
        attempt: 1,
        repeated: 0,
        depth: 1,
        criticality: 2,
        idempotent: 1,
        allowance: 0,
        remaining_ms: 60_000,
        max_answer_bytes: 1_000,
        concurrency_limit: 0,
        reserve: 0,
        service: Text::new("service-0"),
        tenant: Text::new(support::TENANT),
        template: Text::new("service-0-any"),
        request_id: Text::new("damaged"),
        method: Text::new("POST"),
        path: Text::new("/pay"),
        headers: WireHeaders::default(),
        body_length: u32::try_from(BODY.len()).expect("short"),
        body_checksum,
    })
}

/// Sends a call as a peer would and gives the head of its answer.
async fn answer_to(chain: &Chain, body_checksum: u32, body: &[u8]) -> tallybridge_wire::AnswerHead {
    let address = chain.hops[0].settings.peer_address;
    let stream = TcpStream::connect(address).await.expect("connects");
    let mut frames = Framed::new(stream, FrameCodec);
    let chunk = Message::Chunk(BodyChunk::new(body));
    let sent = [
        Frame::new(StreamId::CONNECTION, hello()),
        Frame::new(STREAM, call(body_checksum)),
        Frame::new(STREAM, chunk),
    ];
    for frame in sent {
        frames.send(frame).await.expect("sends");
    }
    loop {
        let frame = frames.next().await.expect("open").expect("a frame");
        if let Ok(Message::Answer(head)) = frame.message {
            return head;
        }
    }
}

#[tokio::test]
async fn a_call_whose_body_is_damaged_is_refused_at_once_and_does_not_run() {
    let chain = Chain::start(1, None).await;
    let wrong_checksum = answer_to(&chain, !crc32fast::hash(BODY), BODY).await;
    let too_long = answer_to(&chain, crc32fast::hash(BODY), b"123456").await;
    for head in [wrong_checksum, too_long] {
        assert_eq!(head.outcome, Outcome::NotRun as u8);
        assert_eq!(head.error_kind, ErrorKind::PeerLost as u8);
    }
    assert_eq!(chain.executions(0), 0);
    let sound = answer_to(&chain, crc32fast::hash(BODY), BODY).await;
    assert_eq!(sound.outcome, Outcome::Completed as u8);
    assert_eq!(chain.executions(0), 1);
}
