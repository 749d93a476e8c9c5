//! Heads and bodies are read the same however their bytes come, and never in two ways.

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_mesh::http::{BodyError, BodyLength, BodyReader, HeadError, RequestHead};

const MAX_HEAD: usize = 4096;
const MAX_BODY: usize = 1 << 16;

/// Reads one request from pieces of bytes.
fn read_request(pieces: &[&[u8]]) -> Option<(RequestHead, Vec<u8>, BytesMut)> {
    let mut buffer = BytesMut::new();
    let mut head = None;
    let mut body: Option<BodyReader> = None;
    for piece in pieces {
        buffer.extend_from_slice(piece);
        if head.is_none() {
            head = RequestHead::take(&mut buffer, MAX_HEAD).unwrap();
            if let Some(head) = &head {
                let length = BodyLength::of_request(head).unwrap();
                body = Some(BodyReader::new(length, MAX_BODY).unwrap());
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

fn chunked(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = body;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let size = (*sizes.next().unwrap()).clamp(1, rest.len());
        let (chunk, after) = rest.split_at(size);
        bytes.extend_from_slice(format!("{size:x};ext=1\r\n").as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        rest = after;
    }
    bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
    bytes
}

/// Cuts bytes at places that are given as shares of 1,000.
fn cut<'a>(bytes: &'a [u8], places: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = places
        .iter()
        .map(|place| place * bytes.len() / 1000)
        .collect();
    places.sort_unstable();
    let mut pieces = Vec::new();
    let mut from = 0;
    for place in places {
        pieces.push(&bytes[from..place]);
        from = place;
    }
    pieces.push(&bytes[from..]);
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn a_request_is_read_the_same_in_any_pieces(
        body in prop::collection::vec(any::<u8>(), 0..600),
        sizes in prop::collection::vec(1_usize..200, 1..5),
        places in prop::collection::vec(0_usize..1000, 0..12),
        in_chunks in any::<bool>(),
    ) {
        let framing = if in_chunks {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let mut bytes = format!("POST /a?b=c HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").into_bytes();
        if in_chunks {
            bytes.extend(chunked(&body, &sizes));
        } else {
            bytes.extend_from_slice(&body);
        }
        bytes.extend_from_slice(b"GET /next");
        let (head, read, rest) = read_request(&cut(&bytes, &places)).unwrap();
        prop_assert_eq!(head.method, "POST");
        prop_assert_eq!(head.target, "/a?b=c");
        prop_assert_eq!(read, body);
        // What had not come when the request was whole is not in the rest.
        prop_assert!(b"GET /next".starts_with(&rest[..]));
    }

    #[test]
    fn no_bytes_make_the_readers_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RequestHead::take(&mut buffer, MAX_HEAD);
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut reader = BodyReader::new(BodyLength::Chunked, MAX_BODY).unwrap();
        let _ = reader.read(&mut buffer);
    }
}

fn head_of(lines: &str) -> Result<Option<RequestHead>, HeadError> {
    let bytes = format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    RequestHead::take(&mut BytesMut::from(bytes.as_bytes()), MAX_HEAD)
}

#[test]
fn lengths_that_contradict_each_other_are_refused() {
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
        let head = head_of(lines).unwrap().unwrap();
        assert_eq!(
            BodyLength::of_request(&head),
            Err(BodyError::Malformed),
            "{lines}"
        );
    }
}

#[test]
fn heads_that_are_none_are_refused() {
    for lines in [
        "X-A : b\r\n",
        "X-A: b\r\n c\r\n",
        ": b\r\n",
        "X\u{1}: b\r\n",
    ] {
        assert_eq!(
            head_of(lines).unwrap_err(),
            HeadError::Malformed,
            "{lines:?}"
        );
    }
    let long = format!("X-A: {}\r\n", "b".repeat(MAX_HEAD));
    assert_eq!(head_of(&long).unwrap_err(), HeadError::TooLarge);
}

#[test]
fn a_body_above_its_limit_is_refused_whatever_its_framing() {
    assert_eq!(
        BodyReader::new(BodyLength::Sized(11), 10).unwrap_err(),
        BodyError::TooLarge
    );
    let mut reader = BodyReader::new(BodyLength::Chunked, 10).unwrap();
    let mut buffer = BytesMut::from(&b"b\r\n12345678901\r\n"[..]);
    assert_eq!(reader.read(&mut buffer), Err(BodyError::TooLarge));
}

#[test]
fn headers_of_the_connection_are_not_passed_on() {
    let head = head_of(
        "Connection: close, X-Named\r\nX-Named: 1\r\nKeep-Alive: 5\r\nTE: x\r\nX-Kept: 2\r\nX-Drop: 3\r\n",
    );
    let mut out = Vec::new();
    let head = head.unwrap().unwrap();
    head.headers.write_end_to_end(&["x-drop"], &mut out);
    assert_eq!(String::from_utf8(out).unwrap(), "Host: h\r\nX-Kept: 2\r\n");
}
