//! Addresses of a run's machines, all within 127.0.0.0/8.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// How often an address that is taken is replaced by another.
const ATTEMPTS: usize = 20;

/// The loopback address that stands for one machine.
///
/// Each machine has its own, so the ports that it is given are not at risk from the outgoing
/// connections of other processes, which leave from 127.0.0.1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoopbackMachine(pub Ipv4Addr);

/// Where the processes of one machine listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineAddresses {
    /// The back end.
    pub backend: SocketAddr,
    /// The node, for callers.
    pub caller: SocketAddr,
    /// The node, for metrics and status.
    pub admin: SocketAddr,
    /// The node, for peers (TCP and UDP).
    pub peer: SocketAddr,
}

impl LoopbackMachine {
    /// The machine of a number in the network of a run. Runs at the same time have different
    /// process ids and so, but for a rare clash, different networks.
    #[must_use]
    pub fn new(number: u8) -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Self(Ipv4Addr::new(
            127,
            high.max(1),
            low,
            number.saturating_add(1),
        ))
    }

    /// Free ports of this machine.
    ///
    /// # Errors
    ///
    /// The system has none.
    pub fn addresses(self) -> std::io::Result<MachineAddresses> {
        // All four are held at once, so that they are different.
        let backend = self.listen()?;
        let caller = self.listen()?;
        let admin = self.listen()?;
        let (peer, _datagrams) = self.listen_with_datagrams()?;
        Ok(MachineAddresses {
            backend: backend.local_addr()?,
            caller: caller.local_addr()?,
            admin: admin.local_addr()?,
            peer: peer.local_addr()?,
        })
    }

    fn listen(self) -> std::io::Result<TcpListener> {
        TcpListener::bind(SocketAddr::new(IpAddr::V4(self.0), 0))
    }

    fn listen_with_datagrams(self) -> std::io::Result<(TcpListener, UdpSocket)> {
        for _ in 1..ATTEMPTS {
            let listener = self.listen()?;
            if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
                return Ok((listener, socket));
            }
        }
        let listener = self.listen()?;
        let socket = UdpSocket::bind(listener.local_addr()?)?;
        Ok((listener, socket))
    }
}
