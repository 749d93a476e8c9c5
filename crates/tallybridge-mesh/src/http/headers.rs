//! Header lines: looking them up, and writing those that go on to the next hop.

use std::ops::Range;

use bytes::Bytes;

/// Headers that concern one connection only and are never passed on.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// Header lines of one message, kept as the bytes that came.
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
    /// Lines that were parsed out of `bytes`.
    pub(super) fn new(bytes: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let start = bytes.as_ptr() as usize;
        let range = |part: &[u8]| {
            let from = part.as_ptr() as usize - start;
            from..from + part.len()
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

    /// All lines as name and value, in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|line| {
            // Names were parsed as text, so none is lost here.
            let name = std::str::from_utf8(&self.bytes[line.name.clone()]).unwrap_or_default();
            (name, &self.bytes[line.value.clone()])
        })
    }

    /// The values of all lines of a name, whatever its case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(line, _)| line.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first line of a name.
    #[must_use]
    pub fn first(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// The value of the first line of a name, as text; `None` also for one that is not UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.first(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether a comma-separated header holds a token, whatever its case. Lines that are not UTF-8 hold
    /// none.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Writes the lines that are passed on: those of the connection and those of `dropped` are not.
    pub fn write_end_to_end(&self, dropped: &[&str], out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            if self.is_of_connection(name) || is_one_of(name, dropped) {
                continue;
            }
            write_line(name, value, out);
        }
    }

    /// Whether a line concerns this connection only: by its name, or because the `Connection` header
    /// names it. `Host` is always passed on.
    fn is_of_connection(&self, name: &str) -> bool {
        is_one_of(name, &CONNECTION_HEADERS)
            || name.eq_ignore_ascii_case("content-length")
            || (!name.eq_ignore_ascii_case("host") && self.has_token("connection", name))
    }
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|other| name.eq_ignore_ascii_case(other))
}

/// Writes one header line.
pub fn write_line(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
