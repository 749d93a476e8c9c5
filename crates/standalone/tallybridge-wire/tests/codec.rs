//! Tests that frames are decoded as they were encoded and that damaged frames are rejected.

use bytes::BytesMut;
use proptest::prelude::*;
use tallybridge_wire::{
    BodyChunk, Frame, FrameCodec, FrameError, Hello, Message, MessageError, StreamId, Text,
};
use tokio_util::codec::{Decoder, Encoder};

const KIND_OFFSET: usize = 5;
const VERSION_OFFSET: usize = 4;
const HEADER_BYTES: usize = 18;

fn encode_frame(frame: Frame) -> BytesMut {
    let mut buffer = BytesMut::new();
    FrameCodec
        .encode(frame, &mut buffer)
        .expect("the frame encodes");
    buffer
}

fn hello_frame() -> Frame {
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
fn decodes_frame_after_its_last_byte() {
    let frame_bytes = encode_frame(hello_frame());
    let mut buffer = BytesMut::new();
    for (position, byte) in frame_bytes.iter().enumerate() {
        assert!(
            FrameCodec
                .decode(&mut buffer)
                .expect("the frame is valid")
                .is_none(),
            "decoded a frame from its first {position} bytes"
        );
        buffer.extend_from_slice(&[*byte]);
    }
    assert_eq!(
        FrameCodec.decode(&mut buffer).expect("the frame is valid"),
        Some(hello_frame())
    );
}

#[test]
fn rejects_damaged_payload() {
    let mut buffer = encode_frame(hello_frame());
    buffer[HEADER_BYTES] ^= 1;
    assert!(matches!(
        FrameCodec.decode(&mut buffer),
        Err(FrameError::Checksum)
    ));
}

#[test]
fn rejects_other_protocol_version() {
    let mut buffer = encode_frame(hello_frame());
    buffer[VERSION_OFFSET] += 1;
    assert!(matches!(
        FrameCodec.decode(&mut buffer),
        Err(FrameError::Version(2))
    ));
}

#[test]
fn decodes_next_frame_after_unknown_kind() {
    let mut buffer = encode_frame(hello_frame());
    buffer[KIND_OFFSET] = 200;
    buffer.unsplit(encode_frame(hello_frame()));
    let first = FrameCodec
        .decode(&mut buffer)
        .expect("the frame is valid")
        .expect("the frame is complete");
    assert_eq!(first.message, Err(MessageError::UnknownKind(200)));
    assert_eq!(
        FrameCodec.decode(&mut buffer).expect("the frame is valid"),
        Some(hello_frame())
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decodes_arbitrary_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let initial_length = buffer.len();
        if let Ok(Some(_)) = FrameCodec.decode(&mut buffer) {
            prop_assert!(buffer.len() < initial_length);
        }
    }

    #[test]
    fn decodes_encoded_chunk(bytes in prop::collection::vec(any::<u8>(), 0..2048), stream in any::<u64>()) {
        let frame = Frame::new(StreamId(stream), Message::Chunk(BodyChunk::new(&bytes)));
        let mut buffer = encode_frame(frame.clone());
        prop_assert_eq!(FrameCodec.decode(&mut buffer).expect("the frame is valid"), Some(frame));
        prop_assert!(buffer.is_empty());
    }
}
