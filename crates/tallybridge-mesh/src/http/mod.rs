//! HTTP/1.1 server and client for entries and executors, which exchange complete messages.
//!
//! `server` serves callers. `client`, `pool` and `persistent` call back ends and the platform's
//! store. Server and client share the parsing of heads, header lines and bodies.
//!
//! The module uses the `httparse` parser directly. Higher-level libraries do not expose the control
//! needed to process pipelined requests concurrently, to detect a caller that closes its connection
//! and to refuse reuse of a connection with surplus bytes.

mod body_length;
mod body_reader;
mod client;
mod closing;
mod exchange_error;
mod head;
mod headers;
mod persistent;
mod pool;
mod response;
mod server;
mod socket;

pub use self::{
    body_length::{BodyError, BodyLength},
    body_reader::BodyReader,
    client::{Connection, ReceivedResponse, ResponseLimits},
    closing::{Delivery, discard_until_closed},
    exchange_error::{ExchangeError, ExchangeFailure, ExchangeStage},
    head::{HeadError, RequestHead, ResponseHead, is_final_status},
    headers::{HeaderLines, write_line},
    persistent::PersistentConnection,
    pool::{Checkout, ConnectionPool},
    response::Response,
    server::{HttpLimits, Request, RequestHandler, serve_connection},
    socket::{connect, set_liveness_options},
};
