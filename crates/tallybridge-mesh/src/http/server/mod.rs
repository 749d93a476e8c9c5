//! One caller's connection: pipelined requests are worked on side by side and answered in the order
//! in which they came.
//!
//! A caller that closes its connection drops the work on all its requests. Relies on
//! [`request_reader`] for taking requests off the connection, and on a [`RequestHandler`] for the
//! answers.

mod handler;
mod request_reader;

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
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

pub use self::handler::{HttpLimits, Request, RequestHandler};
use self::request_reader::RequestReader;
use super::answer::{Answer, PendingAnswer};

/// Requests of one connection that are worked on at once. Origin not recorded.
const MAX_PIPELINED: usize = 32;
/// Time in which a caller must take an answer. Origin not recorded.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a connection that is being closed is still read, so that unread bytes don't reset
/// it before the last answer has arrived. Origin not recorded.
const LINGER: Duration = Duration::from_millis(500);
/// Status of the answer to a caller that sent the rest of its request too late.
const REQUEST_TIMEOUT: u16 = 408;

/// Serves one connection to its end.
pub async fn serve_connection<H: RequestHandler>(
    handler: H,
    stream: TcpStream,
    caller: SocketAddr,
) {
    let mut connection = ServerConnection {
        handler,
        stream,
        requests: RequestReader::new(caller),
        pending: FuturesOrdered::new(),
        waiting_since: Instant::now(),
        is_idle: true,
        intake: Intake::Open,
    };
    // An error is the caller breaking off: its work is dropped, and nobody is left to answer.
    let _ = connection.run().await;
}

/// Whether more requests are taken off the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intake {
    Open,
    /// The last request was taken, or what came is no request. The connection closes after the last
    /// answer.
    Ended,
}

struct ServerConnection<H> {
    handler: H,
    stream: TcpStream,
    requests: RequestReader,
    pending: FuturesOrdered<BoxFuture<'static, PendingAnswer>>,
    /// When the time began in which the caller must send more.
    waiting_since: Instant,
    /// Whether nothing of a next request had come when last looked.
    is_idle: bool,
    intake: Intake,
}

impl<H: RequestHandler> ServerConnection<H> {
    async fn run(&mut self) -> io::Result<()> {
        loop {
            self.take_requests().await?;
            if self.intake == Intake::Ended && self.pending.is_empty() {
                return linger(&mut self.stream).await;
            }
            let may_read = self.may_read();
            let deadline = self.deadline();
            tokio::select! {
                biased;
                Some(answer) = self.pending.next(), if !self.pending.is_empty() => {
                    self.write(&answer).await?;
                }
                read = self.requests.read_some(&mut self.stream), if may_read => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.note_read();
                }
                () = sleep_until(deadline), if self.pending.is_empty() => {
                    if self.requests.is_empty() {
                        return Ok(());
                    }
                    self.refuse(REQUEST_TIMEOUT);
                }
            }
        }
    }

    fn may_read(&self) -> bool {
        match self.intake {
            Intake::Open => self.requests.has_room(),
            // What comes is thrown away; it is read so that a caller that closes is noticed while its
            // last request is worked on.
            Intake::Ended => true,
        }
    }

    /// Bytes came. The time for a head runs from its first byte, that for a body from its last piece.
    fn note_read(&mut self) {
        if self.intake == Intake::Ended {
            self.requests.discard();
            return;
        }
        if self.is_idle || self.requests.is_in_body() {
            self.waiting_since = Instant::now();
        }
        self.is_idle = false;
    }

    /// When the caller must have sent more, unless answers are pending.
    fn deadline(&self) -> Instant {
        let limits = self.handler.limits();
        if self.requests.is_in_body() || self.requests.is_empty() {
            self.waiting_since + limits.idle_timeout
        } else {
            self.waiting_since + limits.header_timeout
        }
    }

    /// Starts work on every complete request that has come.
    async fn take_requests(&mut self) -> io::Result<()> {
        while self.intake == Intake::Open && self.pending.len() < MAX_PIPELINED {
            match self.requests.take(&self.handler.limits()) {
                Ok(Some(request)) => self.start(request),
                Ok(None) => return self.continue_if_expected().await,
                Err(error) => self.refuse(error.status()),
            }
        }
        Ok(())
    }

    /// Tells a caller that waits for it that its body is wanted.
    async fn continue_if_expected(&mut self) -> io::Result<()> {
        if self.requests.awaits_continue() && self.pending.is_empty() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(interim).await?;
        }
        Ok(())
    }

    fn start(&mut self, request: Request) {
        let is_head_request = request.head.method == "HEAD";
        if request.head.closes() {
            self.end_intake();
        }
        let handler = self.handler.clone();
        let answering = async move {
            PendingAnswer {
                answer: handler.handle(request).await,
                is_head_request,
            }
        };
        self.pending.push_back(answering.boxed());
    }

    /// Answers what is no request, after the answers before it, and takes no more.
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
        self.requests.discard();
    }

    async fn write(&mut self, answer: &PendingAnswer) -> io::Result<()> {
        // A close is announced on the last answer only: requests behind it are already worked on.
        let is_last = self.pending.is_empty();
        if self.handler.is_closing() && is_last && !self.requests.is_in_body() {
            self.end_intake();
        }
        let closes = self.intake == Intake::Ended && is_last;
        let writing = answer.write(&mut self.stream, closes);
        let written = timeout(WRITE_TIMEOUT, writing).await;
        self.waiting_since = Instant::now();
        self.is_idle = self.requests.is_empty();
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
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
