//! Pins the wire format of each message kind. Nodes of two releases communicate during a rollout, so
//! any change of the format requires a new protocol version.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tallybridge_core::{ErrorKind, Outcome};
use tallybridge_mesh::protocol::{
    AnswerMessage, BackendState, CallMessage, ClockMessage, ConfirmationMessage, CrashReport,
    EpochSpending, Frame, Load, Message, PeerStatus, QuarantinedRequest, QuotaGrant, QuotaRequest,
    QuotaRequestMessage, RefusalMessage, RequestDigest, ServiceTime, SlotTimes,
};

const LOAD: Load = Load {
    limit: 0x0102,
    in_flight: 0x0304,
    queued: 0x0506,
    wait_ms: 0x0708,
    service_ms: 0x090a,
    failing: 0x0b,
    offered: 0x0c0d,
};

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn digest(byte: u8) -> RequestDigest {
    RequestDigest([byte; 16])
}

fn recent_grants() -> Vec<EpochSpending> {
    vec![EpochSpending {
        epoch: 0x0102_0304,
        total: 0x0506_0708,
        age_ms: 0x090a,
        requests: vec![1, 0, 0x0203],
    }]
}

fn call(flags: [bool; 4]) -> Message {
    let [is_idempotent, is_head_request, is_urgent, is_retry] = flags;
    Message::Call(CallMessage {
        remaining_ms: 0x0102_0304,
        wait_ms: 0x0506_0708,
        criticality: 3,
        route_number: 0x0a0b,
        is_idempotent,
        is_urgent,
        is_retry,
        is_head_request,
        attempt: bytes("attempt"),
        head: bytes("GET /"),
        body: bytes("body"),
    })
}

fn answer() -> Message {
    let times = [("ledger", 0x0102_0304), ("portal", 5)];
    let times = times.map(|(service, micros)| ServiceTime {
        service: service.into(),
        held: Duration::from_micros(micros),
    });
    Message::Answer(AnswerMessage {
        status: 0x00c8,
        made_calls: true,
        times: times.into_iter().collect::<SlotTimes>(),
        load: LOAD,
        head: bytes("A: b\r\n"),
        body: bytes("body"),
    })
}

fn quota_request() -> Message {
    Message::QuotaRequest(QuotaRequestMessage {
        tenant: bytes("ana"),
        request: QuotaRequest {
            entry: 0x0102_0304_0506_0708,
            extra_tokens: 9,
            admitted: 10,
            spending: recent_grants(),
        },
        is_forwarded: true,
    })
}

/// Messages of every kind and variant, each with the expected frame in hexadecimal.
fn messages() -> Vec<(Message, &'static str)> {
    vec![
        (Message::Hello(bytes("{}")), "000000020801112233447b7d"),
        (Message::Nodes(bytes("[]")), "000000020802112233445b5d"),
        (
            call([true, false, true, false]),
            "00000022080311223344010203040506070803050a0b000700000005617474656d7074474554202f626f6479",
        ),
        (
            call([false, true, false, true]),
            "000000220803112233440102030405060708030a0a0b000700000005617474656d7074474554202f626f6479",
        ),
        (
            answer(),
            "0000003508041122334400c801000000060102030405060708090a0b0c0d0201020304066c65646765720000000506706f7274616c413a20620d0a626f6479",
        ),
        (
            Message::Refusal(RefusalMessage {
                kind: ErrorKind::from_wire(5).unwrap(),
                outcome: Outcome::Unknown,
                retry_after: Some(Duration::from_millis(0x0102_0304)),
                load: LOAD,
            }),
            "000000130805112233440502010203040102030405060708090a0b0c0d",
        ),
        (Message::Cancel, "00000000080611223344"),
        (Message::Ping, "00000000080711223344"),
        (
            Message::Status(PeerStatus {
                backend: BackendState::Stopping,
                load: LOAD,
                slots: 0x0102_0304,
                version: 0x0506_0708_090a_0b0c,
                called_services: vec!["ledger".into(), "portal".into()],
            }),
            "00000027080811223344030102030405060708090a0b0c0102030405060708090a0b0c0d6c65646765720a706f7274616c",
        ),
        (Message::FetchConfiguration, "00000000080911223344"),
        (
            Message::Configuration(bytes("{}")),
            "00000002080a112233447b7d",
        ),
        (Message::FetchNodes, "00000000080b11223344"),
        (
            Message::Confirmed(ConfirmationMessage {
                version: 0x0102_0304_0506_0708,
                age_ms: 0x090a_0b0c,
                read_at_ms: 0x0d0e_0f10_1112_1314,
            }),
            "00000014080c112233440102030405060708090a0b0c0d0e0f1011121314",
        ),
        (
            Message::Clock(ClockMessage {
                now_ms: 0x0102_0304_0506_0708,
            }),
            "00000008080d112233440102030405060708",
        ),
        (
            quota_request(),
            "00000026080e112233440102030405060708000000090000000a01010102030405060708090a03000100000203616e61",
        ),
        (
            Message::QuotaGrant(QuotaGrant::NotOwner),
            "00000006080f11223344000000000000",
        ),
        (
            Message::QuotaGrant(QuotaGrant::Tokens {
                tokens: 0x0102_0304,
                spending: recent_grants(),
            }),
            "00000017080f112233440101020304010102030405060708090a03000100000203",
        ),
        (
            Message::QuotaGrant(QuotaGrant::Exhausted {
                wait: Duration::from_millis(0x0102_0304),
                spending: recent_grants(),
            }),
            "00000017080f112233440201020304010102030405060708090a03000100000203",
        ),
        (
            Message::Crash(CrashReport {
                id: 0x0102_0304_0506_0708,
                suspects: vec![digest(0xa1), digest(0xb2)],
            }),
            "000000280810112233440102030405060708a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2",
        ),
        (
            Message::Quarantined(QuarantinedRequest {
                digest: digest(0xc3),
                crashes: 3,
                remaining: Duration::from_millis(0x0102_0304_0506),
            }),
            "00000019081111223344c3c3c3c3c3c3c3c3c3c3c3c3c3c3c3c3030000010203040506",
        ),
        (
            Message::QuarantineStored(QuarantinedRequest {
                digest: digest(0xc3),
                crashes: 3,
                remaining: Duration::from_millis(0x0102_0304_0506),
            }),
            "0000001a081111223344c3c3c3c3c3c3c3c3c3c3c3c3c3c3c3c303000001020304050601",
        ),
        (
            Message::Cleared(digest(0xd4)),
            "00000010081211223344d4d4d4d4d4d4d4d4d4d4d4d4d4d4d4d4",
        ),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hexadecimal(digits: &str) -> BytesMut {
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn encodes_each_message_as_pinned() {
    for (message, expected) in messages() {
        let frame = Frame {
            call: 0x1122_3344,
            message,
        };
        assert_eq!(hexadecimal(&frame.encode()), expected, "{frame:?}");
    }
}

#[test]
fn decodes_each_message_from_pinned_bytes() {
    for (message, digits) in messages() {
        let frame = Frame::decode(&mut parse_hexadecimal(digits))
            .unwrap()
            .unwrap();
        assert_eq!((frame.call, frame.message), (0x1122_3344, message));
    }
}

/// A peer of a newer release may send a kind or an outcome that this release does not define.
#[test]
fn decodes_unknown_refusal_as_unknown_outcome() {
    for value in 0..=u8::MAX {
        let mut bytes =
            parse_hexadecimal("000000130805112233440502010203040102030405060708090a0b0c0d");
        bytes[10] = value;
        bytes[11] = value;
        let frame = Frame::decode(&mut bytes).unwrap().unwrap();
        let Message::Refusal(refusal) = frame.message else {
            panic!("frame was not decoded as a refusal: {frame:?}");
        };
        let kind = ErrorKind::from_wire(value).unwrap_or(ErrorKind::PeerLost);
        let outcome = Outcome::from_wire(value).unwrap_or(Outcome::Unknown);
        assert_eq!((refusal.kind, refusal.outcome), (kind, outcome));
    }
}

#[test]
fn encodes_missing_retry_delay_as_zero() {
    let encode_refusal = |retry_after| {
        let message = Message::Refusal(RefusalMessage {
            kind: ErrorKind::PeerLost,
            outcome: Outcome::Unknown,
            retry_after,
            load: LOAD,
        });
        Frame::without_call(message).encode()
    };
    let without_delay = encode_refusal(None);
    assert_eq!(without_delay[12..16], [0; 4]);
    assert_eq!(
        encode_refusal(Some(Duration::from_micros(999))),
        without_delay
    );
    let frame = Frame::decode(&mut BytesMut::from(&without_delay[..]))
        .unwrap()
        .unwrap();
    assert!(matches!(frame.message, Message::Refusal(refusal) if refusal.retry_after.is_none()));
}
