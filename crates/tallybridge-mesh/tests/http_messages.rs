//! Tests that requests parse identically in any split of their bytes, and that ambiguous framing is
//! rejected.

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_mesh::http::{BodyError, BodyLength, BodyReader, HeadError, RequestHead};

const MAX_HEAD_BYTES: usize = 4096;
const MAX_BODY_BYTES: usize = 1 << 16;

/// Reads one request from consecutive pieces. Returns the head, the body and the unread bytes.
fn read_request(pieces: &[&[u8]]) -> Option<(RequestHead, Vec<u8>, BytesMut)> {
    let mut buffer = BytesMut::new();
    let mut head = None;
    let mut body: Option<BodyReader> = None;
    for piece in pieces {
        buffer.extend_from_slice(piece);
        if head.is_none() {
            head = RequestHead::take(&mut buffer, MAX_HEAD_BYTES).unwrap();
            if let Some(head) = &head {
                let length = BodyLength::from_request(head).unwrap();
                body = Some(BodyReader::new(length, MAX_BODY_BYTES).unwrap());
            }
        }
        if let Some(reader) = &mut body
            && reader.read(&mut buffer).unwrap()
        {
            let body = body.take().unwrap().into_body();
            return Some((head.unwrap(), body, buffer));
        }
    }
    None
}

fn encode_chunked(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = body;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let size = (*sizes.next().unwrap()).clamp(1, rest.len());
        let (chunk, tail) = rest.split_at(size);
        bytes.extend_from_slice(format!("{size:x};ext=1\r\n").as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        rest = tail;
    }
    bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
    bytes
}

/// Splits bytes at positions given in thousandths of their length.
fn split_at_thousandths<'a>(bytes: &'a [u8], positions: &[usize]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = positions
        .iter()
        .map(|position| position * bytes.len() / 1000)
        .collect();
    positions.sort_unstable();
    let mut pieces = Vec::new();
    let mut start = 0;
    for position in positions {
        pieces.push(&bytes[start..position]);
        start = position;
    }
    pieces.push(&bytes[start..]);
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn reads_request_split_at_any_position(
        body in prop::collection::vec(any::<u8>(), 0..600),
        sizes in prop::collection::vec(1_usize..200, 1..5),
        positions in prop::collection::vec(0_usize..1000, 0..12),
        is_chunked in any::<bool>(),
    ) {
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let mut bytes = format!("POST /a?b=c HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").into_bytes();
        if is_chunked {
            bytes.extend(encode_chunked(&body, &sizes));
        } else {
            bytes.extend_from_slice(&body);
        }
        bytes.extend_from_slice(b"GET /next");
        let (head, read, rest) = read_request(&split_at_thousandths(&bytes, &positions)).unwrap();
        prop_assert_eq!(head.method, "POST");
        prop_assert_eq!(head.target, "/a?b=c");
        prop_assert_eq!(read, body);
        // The rest holds only the bytes that arrived before the request was complete.
        prop_assert!(b"GET /next".starts_with(&rest[..]));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RequestHead::take(&mut buffer, MAX_HEAD_BYTES);
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut reader = BodyReader::new(BodyLength::Chunked, MAX_BODY_BYTES).unwrap();
        let _ = reader.read(&mut buffer);
    }
}

fn parse_head(lines: &str) -> Result<Option<RequestHead>, HeadError> {
    let bytes = format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    RequestHead::take(&mut BytesMut::from(bytes.as_bytes()), MAX_HEAD_BYTES)
}

#[test]
fn rejects_ambiguous_body_lengths() {
    let malformed = [
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 0x10\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999999\r\n",
    ];
    for lines in malformed {
        let head = parse_head(lines).unwrap().unwrap();
        assert_eq!(
            BodyLength::from_request(&head),
            Err(BodyError::Malformed),
            "{lines}"
        );
    }
}

#[test]
fn rejects_malformed_and_oversized_heads() {
    for lines in [
        "X-A : b\r\n",
        "X-A: b\r\n c\r\n",
        ": b\r\n",
        "X\u{1}: b\r\n",
    ] {
        assert_eq!(
            parse_head(lines).unwrap_err(),
            HeadError::Malformed,
            "{lines:?}"
        );
    }
    let oversized = format!("X-A: {}\r\n", "b".repeat(MAX_HEAD_BYTES));
    assert_eq!(parse_head(&oversized).unwrap_err(), HeadError::TooLarge);
}

#[test]
fn rejects_oversized_body_in_any_framing() {
    assert_eq!(
        BodyReader::new(BodyLength::Sized(11), 10).unwrap_err(),
        BodyError::TooLarge
    );
    let mut reader = BodyReader::new(BodyLength::Chunked, 10).unwrap();
    let mut buffer = BytesMut::from(&b"b\r\n12345678901\r\n"[..]);
    assert_eq!(reader.read(&mut buffer), Err(BodyError::TooLarge));
}

#[test]
fn does_not_forward_hop_by_hop_headers() {
    let head = parse_head(
        "Connection: close, X-Named\r\nX-Named: 1\r\nKeep-Alive: 5\r\nTE: x\r\nX-Kept: 2\r\nX-Drop: 3\r\n",
    );
    let mut out = Vec::new();
    let head = head.unwrap().unwrap();
    head.headers.write_end_to_end(&["x-drop"], &mut out);
    assert_eq!(String::from_utf8(out).unwrap(), "Host: h\r\nX-Kept: 2\r\n");
}
