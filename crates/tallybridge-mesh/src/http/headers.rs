//! Looks up header lines, and writes those that are forwarded to the next hop.

use std::ops::Range;

use bytes::Bytes;

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header lines of one message, stored as the bytes received.
#[derive(Debug, Clone)]
pub struct HeaderLines {
    bytes: Bytes,
    lines: Vec<HeaderLine>,
}

#[derive(Debug, Clone)]
struct HeaderLine {
    name: Range<usize>,
    value: Range<usize>,
}

impl HeaderLines {
    /// Stores the positions of `headers`, which must borrow from `bytes`.
    pub(super) fn new(bytes: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let base = bytes.as_ptr() as usize;
        let range = |part: &[u8]| {
            let start = part.as_ptr() as usize - base;
            start..start + part.len()
        };
        let lines = headers
            .iter()
            .map(|header| HeaderLine {
                name: range(header.name.as_bytes()),
                value: range(header.value),
            })
            .collect();
        Self { bytes, lines }
    }

    /// Returns the name and value of each line, in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|line| {
            // The parser accepts ASCII names only, so the conversion cannot fail.
            let name = std::str::from_utf8(&self.bytes[line.name.clone()]).unwrap_or_default();
            (name, &self.bytes[line.value.clone()])
        })
    }

    /// Returns the values of all lines with this name, ignoring case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(line, _)| line.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first line with this name, or `None` if the message has none.
    #[must_use]
    pub fn first(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// Returns the trimmed value of the first line with this name, or `None` if the line is missing or
    /// not UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.first(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns `true` if a comma-separated header contains the token, ignoring case and lines that are
    /// not UTF-8.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Appends all end-to-end headers to `out`, except those named in `dropped`.
    pub fn write_end_to_end(&self, dropped: &[&str], out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            if self.is_hop_by_hop(name) || is_one_of(name, dropped) {
                continue;
            }
            write_line(name, value, out);
        }
    }

    /// Returns `true` for headers that apply to this connection only: the known ones, `Content-Length`
    /// and those that the `Connection` header names. `Host` is never one of them, even if named there.
    fn is_hop_by_hop(&self, name: &str) -> bool {
        is_one_of(name, &HOP_BY_HOP_HEADERS)
            || name.eq_ignore_ascii_case("content-length")
            || (!name.eq_ignore_ascii_case("host") && self.has_token("connection", name))
    }
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names
        .iter()
        .any(|candidate| name.eq_ignore_ascii_case(candidate))
}

/// Appends a header line to `out` without validating the name or the value.
pub fn write_line(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
