//! Tests that each message decodes to what was encoded, however its bytes are split, and that no
//! input causes a panic.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_core::{ErrorKind, Outcome};
use tallybridge_mesh::protocol::{
    AnswerMessage, BackendNotice, BackendState, CallMessage, ClockMessage, ConfirmationMessage,
    CrashReport, EpochSpending, Frame, Load, Message, PeerStatus, QuarantinedRequest, QuotaGrant,
    QuotaRequest, QuotaRequestMessage, RefusalMessage, RequestDigest, ServiceTime, SlotTimes,
};

fn bytes() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from)
}

fn epochs() -> impl Strategy<Value = Vec<EpochSpending>> {
    let fields = any::<(u32, u32, u16)>();
    let epoch = (fields, prop::collection::vec(any::<u16>(), 0..22));
    let epoch = epoch.prop_map(|((epoch, total, age_ms), requests)| EpochSpending {
        epoch,
        total,
        age_ms,
        requests,
    });
    prop::collection::vec(epoch, 0..5)
}

fn grant() -> impl Strategy<Value = QuotaGrant> {
    prop_oneof![
        Just(QuotaGrant::NotOwner),
        (any::<u32>(), epochs())
            .prop_map(|(tokens, spending)| QuotaGrant::Tokens { tokens, spending }),
        (any::<u32>(), epochs()).prop_map(|(wait_ms, spending)| {
            let wait = Duration::from_millis(wait_ms.into());
            QuotaGrant::Exhausted { wait, spending }
        }),
    ]
}

fn notice() -> impl Strategy<Value = BackendNotice> {
    let rate_limit = prop::option::of(0.0..1e9);
    (
        "[a-z0-9-]{0,12}",
        prop::option::of(1_u64..),
        rate_limit,
        any::<bool>(),
    )
        .prop_map(
            |(instance, started_at_ms, rate_limit, is_leaving)| BackendNotice {
                instance,
                started_at_ms,
                rate_limit,
                is_leaving,
            },
        )
}

fn digest() -> impl Strategy<Value = RequestDigest> {
    any::<[u8; 16]>().prop_map(RequestDigest)
}

fn load() -> impl Strategy<Value = Load> {
    (any::<[u16; 6]>(), any::<u8>()).prop_map(
        |([limit, in_flight, queued, wait_ms, service_ms, offered], failing)| Load {
            limit,
            in_flight,
            queued,
            wait_ms,
            service_ms,
            failing,
            offered,
        },
    )
}

fn times() -> impl Strategy<Value = SlotTimes> {
    let time = ("[a-z0-9]{1,8}", any::<u32>()).prop_map(|(service, held_us)| ServiceTime {
        service: service.into(),
        held: Duration::from_micros(held_us.into()),
    });
    // Names must be distinct because `SlotTimes` adds up the times of a service.
    prop::collection::vec(time, 0..4).prop_map(|mut times| {
        times.sort_by(|left, right| left.service.cmp(&right.service));
        times.dedup_by(|left, right| left.service == right.service);
        times.into_iter().collect()
    })
}

fn call() -> impl Strategy<Value = CallMessage> {
    (
        any::<u32>(),
        any::<u32>(),
        0_u8..4,
        any::<u16>(),
        any::<[bool; 4]>(),
        bytes(),
        bytes(),
        bytes(),
    )
        .prop_map(
            |(remaining_ms, wait_ms, criticality, route_number, flags, attempt, head, body)| {
                CallMessage {
                    remaining_ms,
                    wait_ms,
                    criticality,
                    route_number,
                    is_idempotent: flags[0],
                    is_urgent: flags[1],
                    is_head_request: flags[2],
                    is_retry: flags[3],
                    attempt,
                    head,
                    body,
                }
            },
        )
}

fn status() -> impl Strategy<Value = PeerStatus> {
    let names = prop::collection::vec("[a-z0-9]{1,8}", 0..4);
    (0_u8..4, load(), any::<u32>(), any::<u64>(), names).prop_map(
        |(backend, load, slots, version, names)| PeerStatus {
            backend: BackendState::from_wire(backend),
            load,
            slots,
            version,
            called_services: names.into_iter().map(Into::into).collect(),
        },
    )
}

fn refusal() -> impl Strategy<Value = RefusalMessage> {
    let kind = prop::sample::select(ErrorKind::ALL);
    let outcome = prop::sample::select(&Outcome::ALL[..]);
    let retry_after = prop::option::of(1_u32..=u32::MAX);
    (kind, outcome, retry_after, load()).prop_map(|(kind, outcome, delay_ms, load)| {
        RefusalMessage {
            kind,
            outcome,
            retry_after: delay_ms.map(|delay_ms| Duration::from_millis(delay_ms.into())),
            load,
        }
    })
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        bytes().prop_map(Message::Hello),
        bytes().prop_map(Message::Nodes),
        call().prop_map(Message::Call),
        (any::<(u16, bool)>(), times(), load(), bytes(), bytes()).prop_map(
            |(fields, times, load, head, body)| {
                let (status, made_calls) = fields;
                Message::Answer(AnswerMessage {
                    status,
                    made_calls,
                    times,
                    load,
                    head,
                    body,
                })
            }
        ),
        refusal().prop_map(Message::Refusal),
        Just(Message::Cancel),
        Just(Message::Ping),
        status().prop_map(Message::Status),
        Just(Message::FetchConfiguration),
        Just(Message::FetchNodes),
        bytes().prop_map(Message::Configuration),
        any::<(u64, u32, u64)>().prop_map(|(version, age_ms, read_at_ms)| {
            Message::Confirmed(ConfirmationMessage {
                version,
                age_ms,
                read_at_ms,
            })
        }),
        any::<u64>().prop_map(|now_ms| Message::Clock(ClockMessage { now_ms })),
        (bytes(), any::<(u64, u32, u32)>(), epochs(), any::<bool>()).prop_map(
            |(tenant, fields, spending, is_forwarded)| {
                let (entry, extra_tokens, admitted) = fields;
                let request = QuotaRequest {
                    entry,
                    extra_tokens,
                    admitted,
                    spending,
                };
                Message::QuotaRequest(QuotaRequestMessage {
                    tenant,
                    request,
                    is_forwarded,
                })
            }
        ),
        grant().prop_map(Message::QuotaGrant),
        (any::<u64>(), prop::collection::vec(digest(), 0..8))
            .prop_map(|(id, suspects)| Message::Crash(CrashReport { id, suspects })),
        (digest(), any::<u8>(), any::<u64>()).prop_map(|(digest, crashes, remaining_ms)| {
            Message::Quarantined(QuarantinedRequest {
                digest,
                crashes,
                remaining: Duration::from_millis(remaining_ms),
            })
        }),
        digest().prop_map(Message::Cleared),
        notice().prop_map(Message::BackendNotice),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn decodes_frames_split_at_any_size(
        frames in prop::collection::vec((any::<u32>(), message()), 1..6),
        chunk_bytes in 1_usize..300,
    ) {
        let frames: Vec<Frame> = frames
            .into_iter()
            .map(|(call, message)| Frame { call, message })
            .collect();
        let wire: Vec<u8> = frames.iter().flat_map(|frame| frame.encode().to_vec()).collect();
        let mut buffer = BytesMut::new();
        let mut decoded = Vec::new();
        for chunk in wire.chunks(chunk_bytes) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = Frame::decode(&mut buffer).unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn decodes_arbitrary_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = Frame::decode(&mut buffer) {}
    }

    #[test]
    fn decodes_truncated_payload_without_panic(message in message(), missing in 1_usize..20) {
        let whole = Frame { call: 1, message }.encode();
        if whole.len() <= 10 + missing {
            return Ok(());
        }
        let mut bytes = whole[..whole.len() - missing].to_vec();
        let length = u32::try_from(bytes.len() - 10).unwrap();
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        // The shorter payload may be rejected or may decode as another valid message.
        let _ = Frame::decode(&mut BytesMut::from(&bytes[..]));
    }
}

#[test]
fn rejects_other_protocol_version() {
    let mut bytes = Frame::without_call(Message::Ping).encode().to_vec();
    bytes[4] = 9; // protocol version
    assert!(Frame::decode(&mut BytesMut::from(&bytes[..])).is_err());
}
