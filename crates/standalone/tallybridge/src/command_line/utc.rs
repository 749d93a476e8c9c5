//! Times for people.

use std::fmt;

use time::{
    OffsetDateTime,
    format_description::{BorrowedFormatItem, well_known::Rfc3339},
    macros::format_description,
};

/// RFC 3339 with milliseconds.
const FORMAT: &[BorrowedFormatItem<'_>] =
    format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z");
const NANOSECONDS_OF_MS: i128 = 1_000_000;

/// A time as RFC 3339 writes it, in UTC.
#[derive(Debug, Clone, Copy)]
pub struct Utc {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl fmt::Display for Utc {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nanoseconds = i128::from(self.unix_ms) * NANOSECONDS_OF_MS;
        let time = OffsetDateTime::from_unix_timestamp_nanos(nanoseconds);
        let text = time.ok().and_then(|time| time.format(FORMAT).ok());
        // Years after 9999 have no such form.
        formatter.write_str(text.as_deref().unwrap_or("-"))
    }
}

/// Milliseconds since the Unix epoch of a time that RFC 3339 writes; `None` for anything else.
#[must_use]
pub fn unix_ms_of(text: &str) -> Option<u64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    u64::try_from(time.unix_timestamp_nanos() / NANOSECONDS_OF_MS).ok()
}
