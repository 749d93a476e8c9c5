//! HTTP/1.1 as both doors need it: whole messages, exact framing, nothing hidden.
//!
//! Built on `httparse`, the parser under `hyper` and so under `warp` and `reqwest`. Those hide
//! what the doors must decide themselves: answering pipelined requests side by side, telling a
//! caller that closed from one that waits, and refusing to reuse a connection with surplus bytes.

mod answer;
pub mod body;
pub mod client;
pub mod head;
mod persistent;
pub mod pool;
pub mod server;

pub use answer::Answer;
pub use body::{BodyError, BodyLength, BodyReader};
pub use client::{Connection, ExchangeError, ExchangeStage, Received};
pub use head::{HeadError, HeaderLines, RequestHead, ResponseHead};
pub use persistent::PersistentConnection;
pub use server::{HttpLimits, Request, RequestHandler, serve_connection};
