//! What a back end announced in its answers, told to the entries that pass the answers on.
//!
//! An executor loses this knowledge when it restarts. The entries give it back when they link to the new
//! process, before their first call.

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_fields};

/// The announcements in force of one incarnation of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendNotice {
    /// Id of the back end, which several incarnations may share.
    pub instance: String,
    /// Start time of the incarnation in Unix milliseconds of its own clock; `None` if unknown.
    pub started_at_ms: Option<u64>,
    /// Rate limit in requests per second; `None` if the back end announces none.
    pub rate_limit: Option<f64>,
    /// Whether the back end is about to end.
    pub is_leaving: bool,
}

// Rates are finite, as [`BackendNotice::decode`] checks.
impl Eq for BackendNotice {}

/// Fixed fields of a notice, which precede the id of the back end.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct NoticeFields {
    /// 0 if unknown.
    started_at_ms: u64,
    /// Negative without a limit.
    rate_limit: f64,
    is_leaving: u8,
}

const NO_LIMIT: f64 = -1.0;

impl BackendNotice {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = NoticeFields {
            started_at_ms: self.started_at_ms.unwrap_or(0),
            rate_limit: self.rate_limit.unwrap_or(NO_LIMIT),
            is_leaving: self.is_leaving.into(),
        };
        put_fields(&fields, out);
        out.extend_from_slice(self.instance.as_bytes());
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: NoticeFields = take_fields(&mut payload)?;
        let rate = fields.rate_limit;
        Some(Self {
            instance: std::str::from_utf8(&payload).ok()?.to_owned(),
            started_at_ms: Some(fields.started_at_ms).filter(|started| *started > 0),
            rate_limit: Some(rate).filter(|rate| rate.is_finite() && *rate >= 0.0),
            is_leaving: fields.is_leaving != 0,
        })
    }
}
