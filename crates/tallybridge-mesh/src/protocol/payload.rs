//! The payload of each kind of message, to and from its bytes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use deku::prelude::*;

use super::{
    BackendState, CrashReport, DIGEST_BYTES, EpochSpending, Load, PeerStatus, QuarantinedRequest,
    QuotaAsk, QuotaGrant, RequestDigest, ServiceTime, SlotTimes, WindowSpending,
};
use super::{CallMessage, Message};

/// Size of a [`CallFields`], in bytes.
const CALL_BYTES: usize = 18;
/// Size of an [`AnswerFields`], in bytes.
const ANSWER_BYTES: usize = 21;
/// Size of a [`TimeFields`], in bytes.
const TIME_BYTES: usize = 5;
/// Most services whose slot times an answer tells. At the design size there are 54.
const MAX_TIMES: usize = 64;
/// Size of a [`RefusalFields`], in bytes.
const REFUSAL_BYTES: usize = 19;
/// Size of a [`StatusFields`], in bytes.
const STATUS_BYTES: usize = 26;
/// Size of [`ConfirmedFields`], in bytes.
const CONFIRMED_BYTES: usize = 20;
/// Size of [`ClockFields`], in bytes.
const CLOCK_BYTES: usize = 8;
/// Size of [`LifeFields`], in bytes.
const LIFE_BYTES: usize = 11;
/// Size of a [`QuotaAskFields`], in bytes.
const QUOTA_ASK_BYTES: usize = 18;
/// Size of a [`QuotaGrantFields`], in bytes.
const QUOTA_GRANT_BYTES: usize = 6;
/// Size of [`CrashFields`], in bytes.
const CRASH_BYTES: usize = 8;
/// Size of [`HeldFields`], in bytes.
const HELD_BYTES: usize = 25;

const FLAG_MAY_REPEAT: u8 = 1;
const FLAG_HEAD_REQUEST: u8 = 2;
const FLAG_URGENT: u8 = 4;
const FLAG_REPEAT: u8 = 8;

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct CallFields {
    remaining_ms: u32,
    wait_ms: u32,
    criticality: u8,
    flags: u8,
    kind: u16,
    attempt_length: u16,
    head_length: u32,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct AnswerFields {
    status: u16,
    made_calls: u8,
    head_length: u32,
    load: Load,
    times: u8,
}

/// One entry of the slot times that follow the fields of an answer.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct TimeFields {
    held_us: u32,
    service_length: u8,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct RefusalFields {
    kind: u8,
    outcome: u8,
    retry_after_ms: u32,
    load: Load,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct StatusFields {
    backend: u8,
    slots: u32,
    version: u64,
    load: Load,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct ConfirmedFields {
    version: u64,
    age_ms: u32,
    read_at_ms: u64,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct ClockFields {
    now_ms: u64,
}

/// What one home gave out: its parts follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct LifeFields {
    life: u32,
    total: u32,
    age_ms: u16,
    parts: u8,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaAskFields {
    entry: u64,
    ahead: u32,
    spent: u32,
    is_forwarded: u8,
    lives: u8,
}

/// A grant: tokens, or the time to come back in milliseconds, and what all entries let in.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaGrantFields {
    kind: u8,
    amount: u32,
    lives: u8,
}

/// A crash: the digests of its suspects follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct CrashFields {
    id: u64,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct HeldFields {
    digest: [u8; DIGEST_BYTES],
    crashes: u8,
    left_ms: u64,
}

pub(super) fn fields<T: DekuContainerWrite>(value: &T) -> Vec<u8> {
    // Fails only for values that don't fit their fields, and these are whole bytes.
    value.to_bytes().unwrap_or_default()
}

impl Message {
    pub(super) fn encode_payload(&self, out: &mut Vec<u8>) {
        match self {
            Self::Hello(bytes) | Self::Nodes(bytes) | Self::Configuration(bytes) => {
                out.extend_from_slice(bytes);
            }
            Self::Call(call) => encode_call(call, out),
            Self::Answer {
                status,
                made_calls,
                times,
                load,
                head,
                body,
            } => {
                *out = fields(&AnswerFields {
                    status: *status,
                    made_calls: u8::from(*made_calls),
                    head_length: head.len() as u32,
                    load: *load,
                    times: told_times(times).count() as u8,
                });
                encode_times(times, out);
                out.reserve(head.len() + body.len());
                out.extend_from_slice(head);
                out.extend_from_slice(body);
            }
            Self::Refusal {
                kind,
                outcome,
                retry_after_ms,
                load,
            } => {
                *out = fields(&RefusalFields {
                    kind: *kind,
                    outcome: *outcome,
                    retry_after_ms: *retry_after_ms,
                    load: *load,
                });
            }
            Self::Status(status) => encode_status(status, out),
            Self::Confirmed {
                version,
                age_ms,
                read_at_ms,
            } => {
                *out = fields(&ConfirmedFields {
                    version: *version,
                    age_ms: *age_ms,
                    read_at_ms: *read_at_ms,
                });
            }
            Self::Clock { now_ms } => *out = fields(&ClockFields { now_ms: *now_ms }),
            Self::QuotaAsk {
                tenant,
                ask,
                is_forwarded,
            } => {
                *out = fields(&QuotaAskFields {
                    entry: ask.entry,
                    ahead: ask.ahead,
                    spent: ask.spent,
                    is_forwarded: u8::from(*is_forwarded),
                    lives: told_lives(&ask.fleet),
                });
                encode_lives(&ask.fleet, out);
                out.extend_from_slice(tenant);
            }
            Self::QuotaGrant(grant) => encode_grant(grant, out),
            Self::Crash(report) => {
                *out = fields(&CrashFields { id: report.id });
                for suspect in &report.suspects {
                    out.extend_from_slice(&suspect.0);
                }
            }
            Self::Quarantined(held) => *out = fields(&held_fields(*held)),
            Self::Cleared(digest) => out.extend_from_slice(&digest.0),
            Self::Cancel | Self::Ping | Self::FetchConfiguration | Self::FetchNodes => {}
        }
    }
}

fn encode_grant(grant: &QuotaGrant, out: &mut Vec<u8>) {
    let (kind, amount, fleet): (u8, u32, &[EpochSpending]) = match grant {
        QuotaGrant::NotOwner => (0, 0, &[]),
        QuotaGrant::Tokens { tokens, fleet } => (1, *tokens, fleet),
        QuotaGrant::Spent { wait, fleet } => {
            let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            (2, wait, fleet)
        }
    };
    *out = fields(&QuotaGrantFields {
        kind,
        amount,
        lives: told_lives(fleet),
    });
    encode_lives(fleet, out);
}

fn told_lives(lives: &[EpochSpending]) -> u8 {
    u8::try_from(lives.len()).unwrap_or(u8::MAX)
}

fn encode_lives(lives: &[EpochSpending], out: &mut Vec<u8>) {
    for life in lives.iter().take(told_lives(lives).into()) {
        let parts = u8::try_from(life.requests.len()).unwrap_or(u8::MAX);
        out.extend_from_slice(&fields(&LifeFields {
            life: life.epoch,
            total: life.total,
            age_ms: life.age_ms,
            parts,
        }));
        for requests in life.requests.iter().take(parts.into()) {
            out.extend_from_slice(&requests.to_be_bytes());
        }
    }
}

fn decode_lives(payload: &mut Bytes, count: u8) -> Option<WindowSpending> {
    (0..count).map(|_| decode_life(payload)).collect()
}

fn decode_life(payload: &mut Bytes) -> Option<EpochSpending> {
    let fields: LifeFields = take_fields(payload, LIFE_BYTES)?;
    let length = usize::from(fields.parts) * size_of::<u16>();
    if payload.len() < length {
        return None;
    }
    let parts = payload.split_to(length);
    let requests = parts.chunks_exact(size_of::<u16>());
    Some(EpochSpending {
        epoch: fields.life,
        total: fields.total,
        age_ms: fields.age_ms,
        requests: requests
            .map(|part| u16::from_be_bytes([part[0], part[1]]))
            .collect(),
    })
}

fn decode_grant(mut payload: Bytes) -> Option<QuotaGrant> {
    let fields: QuotaGrantFields = take_fields(&mut payload, QUOTA_GRANT_BYTES)?;
    let fleet = decode_lives(&mut payload, fields.lives)?;
    match fields.kind {
        0 => Some(QuotaGrant::NotOwner),
        1 => Some(QuotaGrant::Tokens {
            tokens: fields.amount,
            fleet,
        }),
        2 => Some(QuotaGrant::Spent {
            wait: Duration::from_millis(fields.amount.into()),
            fleet,
        }),
        _ => None,
    }
}

fn held_fields(held: QuarantinedRequest) -> HeldFields {
    HeldFields {
        digest: held.digest.0,
        crashes: held.crashes,
        left_ms: u64::try_from(held.left.as_millis()).unwrap_or(u64::MAX),
    }
}

fn decode_held(mut payload: Bytes) -> Option<QuarantinedRequest> {
    let fields: HeldFields = take_fields(&mut payload, HELD_BYTES)?;
    Some(QuarantinedRequest {
        digest: RequestDigest(fields.digest),
        crashes: fields.crashes,
        left: Duration::from_millis(fields.left_ms),
    })
}

fn decode_crash(mut payload: Bytes) -> Option<CrashReport> {
    let fields: CrashFields = take_fields(&mut payload, CRASH_BYTES)?;
    let suspects = payload.chunks(DIGEST_BYTES).map(decode_digest);
    Some(CrashReport {
        id: fields.id,
        suspects: suspects.collect::<Option<_>>()?,
    })
}

fn decode_digest(bytes: &[u8]) -> Option<RequestDigest> {
    bytes.try_into().ok().map(RequestDigest)
}

fn encode_call(call: &CallMessage, out: &mut Vec<u8>) {
    let mut flags = 0;
    if call.is_idempotent {
        flags |= FLAG_MAY_REPEAT;
    }
    if call.is_head_request {
        flags |= FLAG_HEAD_REQUEST;
    }
    if call.is_urgent {
        flags |= FLAG_URGENT;
    }
    if call.is_retry {
        flags |= FLAG_REPEAT;
    }
    *out = fields(&CallFields {
        remaining_ms: call.remaining_ms,
        wait_ms: call.wait_ms,
        criticality: call.criticality,
        flags,
        kind: call.kind,
        attempt_length: call.attempt.len() as u16,
        head_length: call.head.len() as u32,
    });
    out.reserve(call.attempt.len() + call.head.len() + call.body.len());
    out.extend_from_slice(&call.attempt);
    out.extend_from_slice(&call.head);
    out.extend_from_slice(&call.body);
}

/// The slot times that an answer tells. A service whose name is too long for the wire is left out:
/// its calls count as free.
fn told_times(times: &SlotTimes) -> impl Iterator<Item = &ServiceTime> {
    let fits = |time: &&ServiceTime| time.service.len() <= u8::MAX.into();
    times.iter().filter(fits).take(MAX_TIMES)
}

fn encode_times(times: &SlotTimes, out: &mut Vec<u8>) {
    for time in told_times(times) {
        let name = time.service.as_bytes();
        out.extend(fields(&TimeFields {
            held_us: u32::try_from(time.held.as_micros()).unwrap_or(u32::MAX),
            service_length: name.len() as u8,
        }));
        out.extend_from_slice(name);
    }
}

fn decode_times(payload: &mut Bytes, count: u8) -> Option<SlotTimes> {
    (0..count).map(|_| decode_time(payload)).collect()
}

fn decode_time(payload: &mut Bytes) -> Option<ServiceTime> {
    let fields: TimeFields = take_fields(payload, TIME_BYTES)?;
    let name = take_bytes(payload, fields.service_length.into())?;
    Some(ServiceTime {
        service: std::str::from_utf8(&name).ok()?.into(),
        held: Duration::from_micros(fields.held_us.into()),
    })
}

fn encode_status(status: &PeerStatus, out: &mut Vec<u8>) {
    *out = fields(&StatusFields {
        backend: status.backend as u8,
        slots: status.slots,
        version: status.version,
        load: status.load,
    });
    out.extend_from_slice(status.calls.join("\n").as_bytes());
}

pub(super) fn decode_payload(kind: u8, mut payload: Bytes) -> Option<Message> {
    Some(match kind {
        1 => Message::Hello(payload),
        2 => Message::Nodes(payload),
        3 => Message::Call(decode_call(payload)?),
        4 => {
            let fields: AnswerFields = take_fields(&mut payload, ANSWER_BYTES)?;
            let times = decode_times(&mut payload, fields.times)?;
            Message::Answer {
                status: fields.status,
                made_calls: fields.made_calls != 0,
                times,
                load: fields.load,
                head: take_bytes(&mut payload, fields.head_length as usize)?,
                body: payload,
            }
        }
        5 => {
            let fields: RefusalFields = take_fields(&mut payload, REFUSAL_BYTES)?;
            Message::Refusal {
                kind: fields.kind,
                outcome: fields.outcome,
                retry_after_ms: fields.retry_after_ms,
                load: fields.load,
            }
        }
        6 => Message::Cancel,
        7 => Message::Ping,
        8 => Message::Status(decode_status(payload)?),
        9 => Message::FetchConfiguration,
        10 => Message::Configuration(payload),
        11 => Message::FetchNodes,
        12 => {
            let fields: ConfirmedFields = take_fields(&mut payload, CONFIRMED_BYTES)?;
            Message::Confirmed {
                version: fields.version,
                age_ms: fields.age_ms,
                read_at_ms: fields.read_at_ms,
            }
        }
        13 => {
            let fields: ClockFields = take_fields(&mut payload, CLOCK_BYTES)?;
            Message::Clock {
                now_ms: fields.now_ms,
            }
        }
        14 => {
            let fields: QuotaAskFields = take_fields(&mut payload, QUOTA_ASK_BYTES)?;
            let fleet = decode_lives(&mut payload, fields.lives)?;
            Message::QuotaAsk {
                tenant: payload,
                ask: QuotaAsk {
                    entry: fields.entry,
                    ahead: fields.ahead,
                    spent: fields.spent,
                    fleet,
                },
                is_forwarded: fields.is_forwarded != 0,
            }
        }
        15 => Message::QuotaGrant(decode_grant(payload)?),
        16 => Message::Crash(decode_crash(payload)?),
        17 => Message::Quarantined(decode_held(payload)?),
        18 => Message::Cleared(decode_digest(&payload)?),
        _ => return None,
    })
}

fn decode_call(mut payload: Bytes) -> Option<CallMessage> {
    let fields: CallFields = take_fields(&mut payload, CALL_BYTES)?;
    Some(CallMessage {
        remaining_ms: fields.remaining_ms,
        wait_ms: fields.wait_ms,
        criticality: fields.criticality,
        kind: fields.kind,
        is_idempotent: fields.flags & FLAG_MAY_REPEAT != 0,
        is_urgent: fields.flags & FLAG_URGENT != 0,
        is_retry: fields.flags & FLAG_REPEAT != 0,
        is_head_request: fields.flags & FLAG_HEAD_REQUEST != 0,
        attempt: take_bytes(&mut payload, fields.attempt_length.into())?,
        head: take_bytes(&mut payload, fields.head_length as usize)?,
        body: payload,
    })
}

fn decode_status(mut payload: Bytes) -> Option<PeerStatus> {
    let fields: StatusFields = take_fields(&mut payload, STATUS_BYTES)?;
    let names = std::str::from_utf8(&payload).ok()?;
    let calls = names
        .split('\n')
        .filter(|name| !name.is_empty())
        .map(Arc::from)
        .collect();
    Some(PeerStatus {
        backend: BackendState::from_wire(fields.backend),
        load: fields.load,
        slots: fields.slots,
        version: fields.version,
        calls,
    })
}

fn take_fields<T>(payload: &mut Bytes, length: usize) -> Option<T>
where
    T: for<'a> DekuContainerRead<'a>,
{
    let bytes = take_bytes(payload, length)?;
    T::from_bytes((&bytes, 0)).ok().map(|(_, fields)| fields)
}

fn take_bytes(payload: &mut Bytes, length: usize) -> Option<Bytes> {
    (payload.len() >= length).then(|| payload.split_to(length))
}
