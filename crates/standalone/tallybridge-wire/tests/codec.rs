//! Frames survive the way over a byte stream, and damaged ones are told apart.

use bytes::BytesMut;
use proptest::prelude::*;
use tallybridge_wire::{
    BodyChunk, Frame, FrameCodec, FrameError, Hello, Message, MessageError, StreamId, Text,
};
use tokio_util::codec::{Decoder, Encoder};

const KIND_OFFSET: usize = 5;
const VERSION_OFFSET: usize = 4;
const HEADER_BYTES: usize = 18;

fn encoded(frame: Frame) -> BytesMut {
    let mut buffer = BytesMut::new();
    FrameCodec.encode(frame, &mut buffer).expect("encodes");
    buffer
}

fn hello() -> Frame {
    let hello = Hello {
        instance: 7,
        peer_address: Text::new("127.0.0.1:1"),
        service: Text::new("balances"),
        region: Text::new("south"),
        zone: Text::new("a"),
        rack: Text::new(""),
    };
    Frame::new(StreamId::CONNECTION, Message::Hello(hello))
}

#[test]
fn a_frame_cut_in_pieces_is_read_once_it_is_whole() {
    let whole = encoded(hello());
    let mut buffer = BytesMut::new();
    for (position, byte) in whole.iter().enumerate() {
        assert!(
            FrameCodec.decode(&mut buffer).expect("decodes").is_none(),
            "{position}"
        );
        buffer.extend_from_slice(&[*byte]);
    }
    assert_eq!(
        FrameCodec.decode(&mut buffer).expect("decodes"),
        Some(hello())
    );
}

#[test]
fn a_damaged_payload_ends_the_connection() {
    let mut buffer = encoded(hello());
    buffer[HEADER_BYTES] ^= 1;
    assert!(matches!(
        FrameCodec.decode(&mut buffer),
        Err(FrameError::Checksum)
    ));
}

#[test]
fn another_version_ends_the_connection() {
    let mut buffer = encoded(hello());
    buffer[VERSION_OFFSET] += 1;
    assert!(matches!(
        FrameCodec.decode(&mut buffer),
        Err(FrameError::Version(2))
    ));
}

#[test]
fn an_unknown_kind_harms_its_own_stream_only() {
    let mut buffer = encoded(hello());
    buffer[KIND_OFFSET] = 200;
    buffer.unsplit(encoded(hello()));
    let first = FrameCodec
        .decode(&mut buffer)
        .expect("decodes")
        .expect("whole");
    assert_eq!(first.message, Err(MessageError::UnknownKind(200)));
    assert_eq!(
        FrameCodec.decode(&mut buffer).expect("decodes"),
        Some(hello())
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_read_or_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let before = buffer.len();
        if let Ok(Some(_)) = FrameCodec.decode(&mut buffer) {
            prop_assert!(buffer.len() < before);
        }
    }

    #[test]
    fn chunks_come_back_as_they_were_sent(bytes in prop::collection::vec(any::<u8>(), 0..2048), stream in any::<u64>()) {
        let frame = Frame::new(StreamId(stream), Message::Chunk(BodyChunk::new(&bytes)));
        let mut buffer = encoded(frame.clone());
        prop_assert_eq!(FrameCodec.decode(&mut buffer).expect("decodes"), Some(frame));
        prop_assert!(buffer.is_empty());
    }
}
