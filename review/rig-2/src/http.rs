//! Blocking HTTP/1.1, as sound clients and servers speak it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// One side of a connection, with the bytes that were read ahead.
pub struct Peer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request or an answer: its first line, its headers and its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(closed()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    /// Reads one message, whose body has a length or is empty.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(pair);
            }
        }
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads the answer.
    pub fn call(&mut self, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.write(head, body)?;
        self.read()
    }
}

/// Sends one request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    Peer::connect(address, Duration::from_millis(1000))?.call(head, body, timeout)
}
