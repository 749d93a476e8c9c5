//! How a stand-in tells the process that started it where it listens.

use std::{io::Write, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// The line that a stand-in prints on standard output once it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// Where it listens.
    pub listening: SocketAddr,
}

/// Prints where this process listens.
///
/// # Errors
///
/// Standard output is closed.
pub fn announce(address: SocketAddr) -> std::io::Result<()> {
    let line = serde_json::to_string(&Listening { listening: address })?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
