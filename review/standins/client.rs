//! Stand-in of a client: it keeps a connection and reads answers fast or slowly.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, Wire};

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segments of an ordinary network and a small window, as DEPLOY.md says of the links. With those of the
/// loopback interface, the kernel would hold megabytes that the client has not read.
const SEGMENT_BYTES: i32 = 1400;
const WINDOW_BYTES: i32 = 2 * 1024;

/// Connects with segments of an ordinary network and a small window.
pub fn connect_as_remote(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("IPv4 only"));
    };
    let raw = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // The options must be set before the connection opens.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        if connect(descriptor, &raw, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

pub fn request(method: &str, host: &str, target: &str, attempt: &str, deadline_ms: u64) -> String {
    request_with(method, host, target, attempt, deadline_ms, "")
}

/// Returns a request with further header lines.
pub fn request_with(
    method: &str,
    host: &str,
    target: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &str,
) -> String {
    let body = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n{headers}{body}\r\n"
    )
}

/// How an answer ended.
#[derive(Debug)]
// The record prints all fields.
#[allow(dead_code)]
pub enum End {
    /// `is_last` tells that the node closes the connection.
    Whole { status: u16, bytes: usize, is_last: bool, signature: String },
    /// The connection ended before the answer was whole.
    Cut { status: Option<u16>, bytes: usize, length: usize, error: String },
    /// The client's deadline passed first.
    Deadline { bytes: usize, length: usize },
}

/// Sends a request and reads its answer at `bytes_per_second`, or at once without it.
pub fn exchange(wire: &mut Wire, request: &str, deadline: Duration, bytes_per_second: Option<usize>) -> End {
    let started_at = Instant::now();
    let cut = |status: Option<u16>, bytes: usize, length: usize, error: io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Deadline { bytes, length },
        _ => End::Cut { status, bytes, length, error: error.to_string() },
    };
    let _ = wire.stream.set_read_timeout(Some(deadline));
    if let Err(error) = wire.write(request.as_bytes()) {
        return cut(None, 0, 0, error);
    }
    let head: Message = match wire.head() {
        Ok(head) => head,
        Err(error) => return cut(None, 0, 0, error),
    };
    let status = head.status();
    let signature = head.header("x-server-signature").unwrap_or("none").to_owned();
    let is_last = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let length: usize = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut bytes = wire.rest.len().min(length);
    wire.rest.drain(..bytes);
    let reading_since = Instant::now();
    let mut part = vec![0_u8; 4 * 1024];
    while bytes < length {
        if let Some(rate) = bytes_per_second {
            let due_at = reading_since + Duration::from_secs_f64(bytes as f64 / rate as f64);
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
        }
        let Some(left) = deadline.checked_sub(started_at.elapsed()).filter(|left| !left.is_zero()) else {
            return End::Deadline { bytes, length };
        };
        let _ = wire.stream.set_read_timeout(Some(left));
        let wanted = part.len().min(length - bytes);
        match wire.stream.read(&mut part[..wanted]) {
            Ok(0) => return cut(Some(status), bytes, length, io::Error::other("closed")),
            Ok(count) => bytes += count,
            Err(error) => return cut(Some(status), bytes, length, error),
        }
    }
    End::Whole { status, bytes, is_last, signature }
}

/// Sends requests one behind the other, and reads the answers in their order at `bytes_per_second`. Returns
/// the number of whole answers with status 200, and how the connection ended if some are missing.
pub fn exchange_pipelined(
    wire: &mut Wire,
    requests: &[String],
    deadline: Duration,
    bytes_per_second: usize,
) -> (usize, Option<End>) {
    let sent_at = Instant::now();
    if let Err(error) = wire.write(requests.concat().as_bytes()) {
        let error = error.to_string();
        return (0, Some(End::Cut { status: None, bytes: 0, length: 0, error }));
    }
    for whole in 0..requests.len() {
        let left = deadline.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        match exchange(wire, "", left, Some(bytes_per_second)) {
            End::Whole { status: 200, .. } => {}
            end => return (whole, Some(end)),
        }
    }
    (requests.len(), None)
}
