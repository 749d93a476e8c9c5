//! One caller's connection: pipelined requests are answered side by side, in order on the wire.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, ready},
    stream::FuturesOrdered,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use super::{
    answer::{Answer, PendingAnswer},
    body::{BodyError, BodyLength, BodyReader},
    head::{HeadError, RequestHead},
};
use crate::clock::BootInstant;

/// Requests of one connection that are worked on at once.
const MAX_PIPELINED: usize = 32;
/// Bytes of requests that wait behind those, before the connection is read no further.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Room that is made for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Time in which a caller must take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a closed connection is still read, so that unread bytes don't reset it before
/// the last answer has arrived.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds of what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Time that a connection may rest between requests, or between pieces of a body.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its whole body.
    pub body: Bytes,
    /// When its last byte was read.
    pub arrived: BootInstant,
    /// The caller's address.
    pub caller: SocketAddr,
}

/// What answers the requests of a listener.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes its connection.
    fn handle(&self, request: Request) -> impl Future<Output = Answer> + Send;

    /// The bounds in force.
    fn limits(&self) -> HttpLimits;

    /// Whether connections are to be closed at the next answer.
    fn is_closing(&self) -> bool;
}

/// Serves one connection to its end.
pub async fn serve_connection<H: RequestHandler>(
    handler: H,
    mut stream: TcpStream,
    caller: SocketAddr,
) {
    let mut connection = ServerConnection {
        caller,
        buffer: BytesMut::new(),
        partial: None,
        pending: FuturesOrdered::new(),
        resting_since: Instant::now(),
        is_resting: true,
        intake: Intake::Open,
    };
    // A caller that breaks off ends its connection; there is nobody to be told.
    let _ = connection.run(&handler, &mut stream).await;
}

/// Whether more requests are taken off the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intake {
    Open,
    Ended,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
}

struct ServerConnection {
    caller: SocketAddr,
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    pending: FuturesOrdered<BoxFuture<'static, PendingAnswer>>,
    resting_since: Instant,
    is_resting: bool,
    intake: Intake,
}

impl ServerConnection {
    async fn run<H: RequestHandler>(
        &mut self,
        handler: &H,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        loop {
            self.take_requests(handler, stream).await?;
            if self.intake == Intake::Ended && self.pending.is_empty() {
                return linger(stream).await;
            }
            let reads = self.may_read();
            let deadline = self.deadline(&handler.limits());
            tokio::select! {
                biased;
                Some(answer) = self.pending.next(), if !self.pending.is_empty() => {
                    self.write(handler, stream, &answer).await?;
                }
                read = read_some(stream, &mut self.buffer), if reads => {
                    if read? == 0 {
                        return Ok(());
                    }
                    match self.intake {
                        Intake::Open => self.note_progress(),
                        Intake::Ended => self.buffer.clear(),
                    }
                }
                () = sleep_until(deadline), if self.pending.is_empty() => {
                    if self.is_at_rest() {
                        return Ok(());
                    }
                    self.refuse(408);
                }
            }
        }
    }

    /// The time for a head runs from its first byte, that for a body from its last piece.
    fn note_progress(&mut self) {
        let is_first_byte = self.is_resting;
        if is_first_byte || self.partial.is_some() {
            self.resting_since = Instant::now();
        }
        self.is_resting = false;
    }

    fn may_read(&self) -> bool {
        match self.intake {
            Intake::Open => self.buffer.len() < MAX_READ_AHEAD || self.partial.is_some(),
            // What comes is thrown away; it is read so that a caller that closes is noticed while its
            // last request is worked on.
            Intake::Ended => true,
        }
    }

    fn is_at_rest(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    fn deadline(&self, limits: &HttpLimits) -> Instant {
        if self.partial.is_some() || self.is_at_rest() {
            self.resting_since + limits.idle_timeout
        } else {
            self.resting_since + limits.header_timeout
        }
    }

    /// Starts work on every whole request in the buffer.
    async fn take_requests<H: RequestHandler>(
        &mut self,
        handler: &H,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        while self.intake == Intake::Open && self.pending.len() < MAX_PIPELINED {
            let limits = handler.limits();
            match self.take_request(&limits) {
                Ok(Some(request)) => self.start(handler, request),
                Ok(None) => {
                    return self.continue_if_expected(stream).await;
                }
                Err(status) => self.refuse(status),
            }
        }
        Ok(())
    }

    fn take_request(&mut self, limits: &HttpLimits) -> Result<Option<Request>, u16> {
        let mut partial = match self.partial.take() {
            Some(partial) => partial,
            None => {
                let head = RequestHead::take(&mut self.buffer, limits.max_header_bytes);
                let Some(head) = head.map_err(head_status)? else {
                    return Ok(None);
                };
                let length = BodyLength::of_request(&head).map_err(body_status)?;
                let body = BodyReader::new(length, limits.max_body_bytes).map_err(body_status)?;
                PartialRequest { head, body }
            }
        };
        if !partial.body.read(&mut self.buffer).map_err(body_status)? {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(Request {
            head: partial.head,
            body: partial.body.into_body().into(),
            arrived: BootInstant::of_arrival(),
            caller: self.caller,
        }))
    }

    /// Tells a caller that waits for it that its body is wanted.
    async fn continue_if_expected(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let expected = self.partial.as_ref().is_some_and(|partial| {
            partial.body.is_empty() && partial.head.headers.has_token("expect", "100-continue")
        });
        if expected && self.pending.is_empty() {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        Ok(())
    }

    fn start<H: RequestHandler>(&mut self, handler: &H, request: Request) {
        let is_head_request = request.head.method == "HEAD";
        if request.head.closes() {
            self.end_intake();
        }
        let handler = handler.clone();
        let answering = async move {
            PendingAnswer {
                answer: handler.handle(request).await,
                is_head_request,
            }
        };
        self.pending.push_back(answering.boxed());
    }

    fn refuse(&mut self, status: u16) {
        let answer = PendingAnswer {
            answer: Answer::new(status, Bytes::new()),
            is_head_request: false,
        };
        self.end_intake();
        self.pending.push_back(ready(answer).boxed());
    }

    fn end_intake(&mut self) {
        self.intake = Intake::Ended;
        self.partial = None;
        self.buffer.clear();
    }

    async fn write<H: RequestHandler>(
        &mut self,
        handler: &H,
        stream: &mut TcpStream,
        pending: &PendingAnswer,
    ) -> io::Result<()> {
        // A close is announced on the last answer only: requests behind it are already worked on.
        if handler.is_closing() && self.pending.is_empty() && self.partial.is_none() {
            self.end_intake();
        }
        let closes = self.intake == Intake::Ended && self.pending.is_empty();
        let writing = pending.write(stream, closes);
        let written = timeout(WRITE_TIMEOUT, writing).await;
        self.resting_since = Instant::now();
        self.is_resting = self.is_at_rest();
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

fn head_status(error: HeadError) -> u16 {
    match error {
        HeadError::Malformed => 400,
        HeadError::TooLarge => 431,
    }
}

fn body_status(error: BodyError) -> u16 {
    match error {
        BodyError::Malformed => 400,
        BodyError::TooLarge => 413,
    }
}

async fn read_some(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ_BYTES);
    stream.read_buf(buffer).await
}

/// Ends a connection so that its last answer arrives.
async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0_u8; 1024];
    let reading = async {
        while stream.read(&mut rest).await? > 0 {}
        Ok(())
    };
    timeout(LINGER, reading).await.unwrap_or(Ok(()))
}
