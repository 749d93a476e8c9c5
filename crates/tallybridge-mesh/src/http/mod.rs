//! HTTP/1.1 as entries and executors need it: complete messages, exact framing, nothing hidden.
//!
//! `server` answers callers; `client`, `pool` and `persistent` call back ends and the
//! platform's store; heads, header lines and bodies are read by one code for both.
//!
//! Built on `httparse`, the parser under `hyper` and so under `warp` and `reqwest`. Those hide what
//! must be decided here: answering pipelined requests side by side, telling a caller that closed
//! from one that waits, and refusing to reuse a connection with surplus bytes (`docs/DESIGN.md`).

mod answer;
mod body_length;
mod body_reader;
mod client;
mod exchange_error;
mod head;
mod headers;
mod persistent;
mod pool;
mod server;
mod socket;

pub use self::{
    answer::Answer,
    body_length::{BodyError, BodyLength},
    body_reader::BodyReader,
    client::{Connection, Received},
    exchange_error::{ExchangeError, ExchangeFailure, ExchangeStage},
    head::{HeadError, RequestHead, ResponseHead},
    headers::{HeaderLines, write_line},
    persistent::PersistentConnection,
    pool::{Checkout, ConnectionPool},
    server::{HttpLimits, Request, RequestHandler, serve_connection},
    socket::{connect, set_liveness_options},
};
