//! Serves the connection of one caller. Pipelined requests run concurrently and are answered in the
//! order received. They also proceed while a response is written to a caller that reads slowly.
//!
//! Guards of the handler count each request until its response is written, and each connection that
//! closes until the caller has received its last response.
//!
//! A connection is idle from when its caller has acknowledged all responses. Until then it is neither
//! closed as idle nor, in a planned stop, left to the end of the process.
//!
//! When a caller closes its connection, the server cancels all requests of that connection. The
//! module relies on [`request_reader`] to parse requests and on a [`RequestHandler`] to answer them.
//!
//! When the [memory budget](crate::memory) has no room, an incomplete request is refused without reading the rest
//! of it, and a connection whose answers wait for their caller is closed.

mod handler;
mod request_reader;

use std::{collections::VecDeque, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, pending, ready},
    stream::FuturesOrdered,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, sleep_until, timeout},
};

pub use self::handler::{HttpLimits, Request, RequestHandler};
use self::request_reader::{CompleteRequest, RequestError, RequestReader};
use super::{
    closing::{
        DELIVERY_POLL_INTERVAL, Delivery, MAX_DISCARDED_BYTES, close_idle, discard_until_closed,
        unacknowledged_bytes,
    },
    response::{PendingResponse, Response},
};
use crate::{
    log::rate_limit::LogRateLimit,
    memory::{Activity, Client, MemoryUse},
};

/// Requests of one connection that run concurrently.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// A connection is closed if the caller does not accept a response within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a closing connection is still read while the caller acknowledges nothing. Closing a socket
/// with unread bytes would reset the connection, and the caller could lose the last response.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST_TIMEOUT_STATUS: u16 = 408;

/// Serves requests of `client` on `stream` until either side closes the connection.
pub async fn serve_connection<H: RequestHandler>(
    handler: H,
    stream: TcpStream,
    caller: SocketAddr,
    client: Client,
) {
    let mut connection = ServerConnection {
        handler,
        stream,
        requests: RequestReader::new(caller, client.budget()),
        client,
        discarded_bytes: 0,
        pending: FuturesOrdered::new(),
        finished: VecDeque::new(),
        waiting_since: Instant::now(),
        is_idle: true,
        has_answered: false,
        delivery: None,
        intake: Intake::Open,
    };
    // An error means that the connection has failed, so no response can be sent any more.
    let _ = connection.run().await;
}

/// Whether the server accepts further requests on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intake {
    Open,
    /// The caller sent its last request or an invalid one, or the server is closing. The connection
    /// closes after the last pending response.
    Closed,
}

struct ServerConnection<H: RequestHandler> {
    handler: H,
    stream: TcpStream,
    requests: RequestReader,
    client: Client,
    /// Bytes that were read and dropped since the server accepts no more requests.
    discarded_bytes: usize,
    pending: FuturesOrdered<BoxFuture<'static, PendingResponse<H::Guard>>>,
    /// Responses that became ready while an earlier one was being written.
    finished: VecDeque<PendingResponse<H::Guard>>,
    /// Start of the idle or header timeout.
    waiting_since: Instant,
    /// Whether no byte of the next request has been received.
    is_idle: bool,
    /// Whether a response was written on the connection.
    has_answered: bool,
    /// Delivery of the last responses, once the idle timeout has expired.
    delivery: Option<Delivery>,
    intake: Intake,
}

impl<H: RequestHandler> ServerConnection<H> {
    async fn run(&mut self) -> io::Result<()> {
        let handler = self.handler.clone();
        let idle_close_due = handler.idle_close_due();
        tokio::pin!(idle_close_due);
        let mut closes_idle = false;
        loop {
            self.take_requests().await?;
            if let Some(response) = self.finished.pop_front() {
                self.write(response).await?;
                continue;
            }
            if self.intake == Intake::Closed && self.pending.is_empty() {
                return self.lingering_close().await;
            }
            let is_delivering = closes_idle && self.is_delivering();
            if closes_idle && !is_delivering && self.is_at_rest() {
                return self.close_idle().await;
            }
            let _closing = is_delivering.then(|| self.handler.track_closing_connection());
            self.client.set_activity(self.activity());
            let may_read = self.may_read();
            let deadline = self.deadline();
            tokio::select! {
                biased;
                Some(response) = self.pending.next(), if !self.pending.is_empty() => {
                    self.write(response).await?;
                }
                // Before reading, since a request that has been read must be answered.
                () = self.client.connection_demanded(), if self.pending.is_empty() => {
                    return Ok(());
                }
                () = self.client.memory_demanded() => self.give_up_memory()?,
                read = self.requests.read_some(&mut self.stream), if may_read => {
                    let count = read?;
                    if count == 0 {
                        return Ok(());
                    }
                    self.record_read(count);
                }
                () = sleep_until(deadline), if self.pending.is_empty() => {
                    if !self.requests.is_empty() {
                        self.reject(Response::new(REQUEST_TIMEOUT_STATUS, Bytes::new()));
                    } else if self.has_delivered() {
                        return self.close_idle().await;
                    }
                }
                () = &mut idle_close_due, if !closes_idle => closes_idle = true,
                // Checks again whether the caller has acknowledged the last response.
                () = sleep(DELIVERY_POLL_INTERVAL), if is_delivering => {}
            }
        }
    }

    /// Returns whether the caller has not acknowledged all responses that were written.
    fn is_delivering(&self) -> bool {
        self.has_answered && unacknowledged_bytes(&self.stream) > 0
    }

    /// Returns whether all requests were answered and none has begun to arrive. A connection without any
    /// answer is not at rest, because its first request may be on the way.
    fn is_at_rest(&self) -> bool {
        self.has_answered && self.pending.is_empty() && self.requests.is_empty()
    }

    /// Returns whether the caller has acknowledged all responses, or none for the idle timeout. Otherwise
    /// restarts the idle timeout.
    fn has_delivered(&mut self) -> bool {
        if !self.is_delivering() {
            return true;
        }
        let idle_timeout = self.handler.limits().idle_timeout;
        let delivery = self
            .delivery
            .get_or_insert_with(|| Delivery::of(&self.stream));
        self.waiting_since = Instant::now();
        delivery.has_rested(&self.stream, idle_timeout)
    }

    async fn close_idle(&mut self) -> io::Result<()> {
        let _closing = self.handler.track_closing_connection();
        self.client.set_activity(Activity::Closing);
        tokio::select! {
            closed = close_idle(&mut self.stream) => closed,
            () = self.client.connection_demanded() => Ok(()),
        }
    }

    /// Shuts down the sending side, then reads until the caller closes the connection or a timeout expires.
    async fn lingering_close(&mut self) -> io::Result<()> {
        let _closing = self.handler.track_closing_connection();
        self.client.set_activity(Activity::Closing);
        self.stream.shutdown().await?;
        let (mut reader, _writer) = self.stream.split();
        tokio::select! {
            closed = discard_until_closed(&mut reader, LINGERING_CLOSE_TIMEOUT) => closed,
            () = self.client.connection_demanded() => Ok(()),
        }
    }

    fn activity(&self) -> Activity {
        if !self.pending.is_empty() {
            Activity::Busy
        } else if self.requests.is_empty() {
            Activity::Idle
        } else {
            Activity::Reading
        }
    }

    /// Gives up what the connection holds, since the memory budget needs it: closes the connection if answers
    /// wait for the caller, otherwise refuses the request that is being read.
    fn give_up_memory(&mut self) -> io::Result<()> {
        if self.client.claimed_bytes(MemoryUse::Answer) > 0 {
            log_closed_for_memory();
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        // A request that was read completely meanwhile is not given up.
        if self.requests.is_in_body() {
            self.reject(self.handler.refuse_for_memory());
        }
        self.client.meet_memory_demand();
        Ok(())
    }

    fn may_read(&self) -> bool {
        match self.intake {
            Intake::Open => self.requests.has_room(),
            // Reading detects a caller that closes its connection while the last request runs. The
            // bytes are discarded.
            Intake::Closed => self.discarded_bytes < MAX_DISCARDED_BYTES,
        }
    }

    /// Restarts the timeout after a read. The header timeout starts at the first byte of the head, and
    /// the idle timeout of a body starts at each read.
    fn record_read(&mut self, count: usize) {
        if self.intake == Intake::Closed {
            self.discarded_bytes += count;
            self.requests.discard();
            return;
        }
        if !self.requests.count_buffer() {
            self.reject(self.handler.refuse_for_memory());
            return;
        }
        if self.is_idle || self.requests.is_in_body() {
            self.waiting_since = Instant::now();
        }
        self.is_idle = false;
    }

    /// Returns when the connection times out. The deadline does not apply while responses are pending.
    fn deadline(&self) -> Instant {
        let limits = self.handler.limits();
        if self.requests.is_in_body() || self.requests.is_empty() {
            self.waiting_since + limits.idle_timeout
        } else {
            self.waiting_since + limits.header_timeout
        }
    }

    /// Starts every complete request in the buffer, up to the limit of concurrent requests.
    async fn take_requests(&mut self) -> io::Result<()> {
        while self.intake == Intake::Open && self.unanswered() < MAX_PIPELINED_REQUESTS {
            match self.requests.take(&self.handler.limits(), &self.client) {
                Ok(Some(request)) => self.start_request(request),
                Ok(None) => return self.continue_if_expected().await,
                Err(RequestError::OutOfMemoryBudget) => {
                    self.reject(self.handler.refuse_for_memory());
                }
                Err(RequestError::Invalid(status)) => {
                    self.reject(Response::new(status, Bytes::new()));
                }
            }
        }
        Ok(())
    }

    /// Returns the number of requests whose responses are not written.
    fn unanswered(&self) -> usize {
        self.pending.len() + self.finished.len()
    }

    /// Sends `100 Continue` if the caller waits for it before sending the body.
    async fn continue_if_expected(&mut self) -> io::Result<()> {
        if self.unanswered() == 0 && self.requests.starts_awaiting_continue() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(interim).await?;
        }
        Ok(())
    }

    fn start_request(&mut self, request: CompleteRequest) {
        let CompleteRequest { request, share } = request;
        let is_head_request = request.head.method == "HEAD";
        if request.head.closes_connection() {
            self.close_intake();
        }
        self.client.set_activity(Activity::Busy);
        let handler = self.handler.clone();
        let guard = handler.track_request();
        let claims = self.client.claims().clone();
        let response = async move {
            let response = handler.handle(request).await;
            PendingResponse {
                _claim: Some(claims.claim(MemoryUse::Answer, response.body.len())),
                response,
                is_head_request,
                _guard: Some(guard),
                _share: Some(share),
            }
        };
        self.pending.push_back(response.boxed());
    }

    /// Queues an error response behind the pending responses and accepts no further requests.
    fn reject(&mut self, response: Response) {
        self.close_intake();
        let response = PendingResponse::rejection(response);
        self.pending.push_back(ready(response).boxed());
    }

    fn close_intake(&mut self) {
        self.intake = Intake::Closed;
        self.requests.discard();
    }

    async fn write(&mut self, response: PendingResponse<H::Guard>) -> io::Result<()> {
        // Only the last pending response may announce a close, because later requests already run.
        let is_last = self.unanswered() == 0;
        if self.handler.is_closing() && is_last && !self.requests.is_in_body() {
            self.close_intake();
        }
        let closes_connection = self.intake == Intake::Closed && is_last;
        let writing = timeout(
            WRITE_TIMEOUT,
            response.write(&mut self.stream, closes_connection),
        );
        self.client.set_activity(Activity::Busy);
        let writing = run_beside(writing, &mut self.pending, &mut self.finished);
        let written = tokio::select! {
            biased;
            written = writing => written,
            () = answers_demanded(&self.client) => {
                log_closed_for_memory();
                return Err(io::ErrorKind::OutOfMemory.into());
            }
        };
        self.waiting_since = Instant::now();
        self.is_idle = self.requests.is_empty();
        self.has_answered = true;
        self.delivery = None;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// Waits for `writing`, and meanwhile lets the pending requests proceed. Otherwise a caller that reads
/// slowly would keep them from reading the answers of their back ends.
async fn run_beside<T, G>(
    writing: impl Future<Output = T>,
    pending: &mut FuturesOrdered<BoxFuture<'static, PendingResponse<G>>>,
    finished: &mut VecDeque<PendingResponse<G>>,
) -> T {
    tokio::pin!(writing);
    loop {
        tokio::select! {
            biased;
            written = &mut writing => return written,
            Some(response) = pending.next(), if !pending.is_empty() => {
                finished.push_back(response);
            }
        }
    }
}

/// Waits until the budget needs the memory of answers that wait for their caller.
async fn answers_demanded(client: &Client) {
    client.memory_demanded().await;
    if client.claimed_bytes(MemoryUse::Answer) == 0 {
        pending::<()>().await;
    }
}

fn log_closed_for_memory() {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = LOG_RATE_LIMIT.admit() {
        tracing::warn!(
            left_out,
            "answers of a caller that reads slowly hold too much memory; closing its connection"
        );
    }
}
