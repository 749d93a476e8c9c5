//! The line with which a stand-in says that it is ready.

use std::{io::Write, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// What a stand-in prints on standard output when it takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// The address it listens on.
    pub listening: SocketAddr,
}

/// Prints the line.
///
/// # Errors
///
/// When standard output is closed.
pub fn announce(address: SocketAddr) -> std::io::Result<()> {
    let line = serde_json::to_string(&Listening { listening: address })?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
