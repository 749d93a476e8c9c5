//! What a back end announces about itself in the headers of its answers.

use crate::{http::HeaderLines, platform::HeaderNames};

/// Value of the leaving header by which a back end announces that it is about to end.
const LEAVING_VALUE: &str = "1";

/// The rate limit in the head of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnnouncedRate {
    /// The back end announces no rate limit.
    Unlimited,
    /// The back end accepts this many requests per second; finite and not negative.
    PerSecond(f64),
    /// The value of the header, given here, is not a decimal number.
    Malformed(String),
}

/// What the head of one answer announces.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// Rate limit of the back end.
    pub rate: AnnouncedRate,
    /// Whether the back end is about to end.
    pub is_leaving: bool,
}

impl Announcement {
    /// Reads the announcement of an answer.
    #[must_use]
    pub fn from_headers(headers: &HeaderLines, names: &HeaderNames) -> Self {
        let rate = match headers.first(names.rate_limit) {
            None => AnnouncedRate::Unlimited,
            Some(value) => {
                let text = String::from_utf8_lossy(value);
                parse_rate(text.trim()).map_or_else(
                    || AnnouncedRate::Malformed(text.into_owned()),
                    AnnouncedRate::PerSecond,
                )
            }
        };
        Self {
            rate,
            is_leaving: headers.text(names.leaving) == Some(LEAVING_VALUE),
        }
    }
}

/// Parses a number of digits with an optional decimal point. Rejects signs, exponents and words, which
/// the parser of the standard library accepts.
fn parse_rate(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate: f64 = text.parse().ok()?;
    (is_decimal && rate.is_finite()).then_some(rate)
}
