//! Reading and writing of HTTP/1.1 messages with a length.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut parts = self.first.split(' ');
        parts.nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn ended(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// A connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0_u8; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(ended("closed")),
            count => {
                self.rest.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head. The body of the returned message is empty.
    pub fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            self.more()?;
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Message { first, headers, body: Vec::new() })
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.rest.len() < length {
            self.more()?;
        }
        message.body = self.rest.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
