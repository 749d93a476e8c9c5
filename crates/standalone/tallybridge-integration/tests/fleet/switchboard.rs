//! A network in memory whose links can be cut, delayed, stalled and closed.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_node::connections::peer::network::{
    DatagramSocket, Network, PeerListener, PeerStream,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf},
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;

/// Bytes that a stream holds on each side of the switchboard.
const STREAM_BUFFER: usize = 32 << 10;
/// Datagrams lost, in percent.
const DATAGRAM_LOSS: u32 = 2;
/// Datagrams delivered twice, in percent.
const DATAGRAM_DUPLICATION: u32 = 2;
/// Longest time that a datagram is held back, which reorders them.
const DATAGRAM_JITTER_MS: u64 = 4;

/// A direction between two addresses.
pub type Direction = (SocketAddr, SocketAddr);
type Datagram = (Vec<u8>, SocketAddr);
type OpenedStream = Box<dyn PeerStream>;

/// Connects nodes and applies faults to what they send.
pub struct Switchboard {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

struct State {
    listeners: BTreeMap<SocketAddr, (mpsc::UnboundedSender<OpenedStream>, CancellationToken)>,
    sockets: BTreeMap<SocketAddr, mpsc::UnboundedSender<Datagram>>,
    cut: BTreeSet<Direction>,
    frozen: BTreeSet<SocketAddr>,
    delays: BTreeMap<Direction, Duration>,
    rng: SmallRng,
}

impl Switchboard {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                listeners: BTreeMap::new(),
                sockets: BTreeMap::new(),
                cut: BTreeSet::new(),
                frozen: BTreeSet::new(),
                delays: BTreeMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            changes: watch::Sender::new(0),
        })
    }

    /// Holds back whatever is sent in a direction.
    pub fn cut(&self, direction: Direction) {
        self.change(|state| _ = state.cut.insert(direction));
    }

    /// Lets everything pass again, at once.
    pub fn heal(&self) {
        self.change(|state| {
            state.cut.clear();
            state.delays.clear();
        });
    }

    pub fn delay(&self, direction: Direction, delay: Duration) {
        self.change(|state| _ = state.delays.insert(direction, delay));
    }

    /// Stalls everything from and to an address.
    pub fn freeze(&self, address: SocketAddr) {
        self.change(|state| _ = state.frozen.insert(address));
    }

    pub fn thaw(&self, address: SocketAddr) {
        self.change(|state| _ = state.frozen.remove(&address));
    }

    /// Waits as long as an address is frozen.
    pub async fn thawed(&self, address: SocketAddr) {
        self.wait(|state| !state.frozen.contains(&address)).await;
    }

    async fn passable(&self, (from, to): Direction) {
        self.wait(|state| state.passes((from, to))).await;
    }

    async fn wait(&self, condition: impl Fn(&State) -> bool) {
        let mut changes = self.changes.subscribe();
        while !condition(&self.lock()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changes.send_modify(|version| *version += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn delay_of(&self, direction: Direction) -> Duration {
        self.lock()
            .delays
            .get(&direction)
            .copied()
            .unwrap_or_default()
    }

    /// Times after which the copies of a datagram arrive; none when it is lost.
    fn arrivals(&self, direction: Direction) -> Vec<Duration> {
        let mut state = self.lock();
        if !state.passes(direction) || state.rng.random_range(0..100) < DATAGRAM_LOSS {
            return Vec::new();
        }
        let copies = 1 + u32::from(state.rng.random_range(0..100) < DATAGRAM_DUPLICATION);
        let base = state.delays.get(&direction).copied().unwrap_or_default();
        let rng = &mut state.rng;
        let jitter = |_| Duration::from_millis(rng.random_range(0..=DATAGRAM_JITTER_MS));
        (0..copies)
            .map(jitter)
            .map(|jitter| base + jitter)
            .collect()
    }
}

impl State {
    fn passes(&self, (from, to): Direction) -> bool {
        let stalled = self.frozen.contains(&from) || self.frozen.contains(&to);
        !stalled && !self.cut.contains(&(from, to))
    }
}

/// The network as one run of one node sees it.
pub struct NodeNetwork {
    pub board: Arc<Switchboard>,
    pub address: SocketAddr,
    /// Closes every stream of the node.
    pub life: CancellationToken,
}

impl NodeNetwork {
    async fn open(&self, to: SocketAddr) -> io::Result<OpenedStream> {
        self.board.passable((self.address, to)).await;
        self.board.passable((to, self.address)).await;
        let listener = self.board.lock().listeners.get(&to).cloned();
        let (accept, peer_life) = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (near, near_board) = tokio::io::duplex(STREAM_BUFFER);
        let (far, far_board) = tokio::io::duplex(STREAM_BUFFER);
        let (near_read, near_write) = tokio::io::split(near_board);
        let (far_read, far_write) = tokio::io::split(far_board);
        let lives = [self.life.clone(), peer_life];
        let board = &self.board;
        spawn_pump(board, (self.address, to), near_read, far_write, &lives);
        spawn_pump(board, (to, self.address), far_read, near_write, &lives);
        accept
            .send(Box::new(far))
            .map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(Box::new(near))
    }
}

/// Copies one direction of a stream until either node ends.
fn spawn_pump(
    board: &Arc<Switchboard>,
    direction: Direction,
    mut source: ReadHalf<DuplexStream>,
    mut sink: WriteHalf<DuplexStream>,
    lives: &[CancellationToken; 2],
) {
    let board = Arc::clone(board);
    let [near, far] = lives.clone();
    tokio::spawn(async move {
        let copying = async {
            let mut buffer = vec![0; STREAM_BUFFER];
            while let Ok(length @ 1..) = source.read(&mut buffer).await {
                tokio::time::sleep(board.delay_of(direction)).await;
                board.passable(direction).await;
                if sink.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            () = near.cancelled() => {}
            () = far.cancelled() => {}
            () = copying => {}
        }
        // A half that is dropped does not close its stream while the other half lives.
        let _ = sink.shutdown().await;
    });
}

impl Network for NodeNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<OpenedStream>> {
        self.open(address).boxed()
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Arc<dyn PeerListener>>> {
        let (accept, accepted) = mpsc::unbounded_channel();
        let row = (accept, self.life.clone());
        self.board.lock().listeners.insert(address, row);
        let listener = MemoryListener(tokio::sync::Mutex::new(accepted));
        async move { Ok(Arc::new(listener) as Arc<dyn PeerListener>) }.boxed()
    }

    fn bind_datagrams(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Arc<dyn DatagramSocket>>> {
        let (deliver, delivered) = mpsc::unbounded_channel();
        self.board.lock().sockets.insert(address, deliver);
        let socket = MemorySocket {
            board: Arc::clone(&self.board),
            address,
            life: self.life.clone(),
            delivered: tokio::sync::Mutex::new(delivered),
        };
        async move { Ok(Arc::new(socket) as Arc<dyn DatagramSocket>) }.boxed()
    }
}

struct MemoryListener(tokio::sync::Mutex<mpsc::UnboundedReceiver<OpenedStream>>);

impl PeerListener for MemoryListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<OpenedStream>> {
        async move {
            let accepted = self.0.lock().await.recv().await;
            match accepted {
                Some(stream) => Ok(stream),
                // Another run of the node listens here now.
                None => std::future::pending().await,
            }
        }
        .boxed()
    }
}

struct MemorySocket {
    board: Arc<Switchboard>,
    address: SocketAddr,
    life: CancellationToken,
    delivered: tokio::sync::Mutex<mpsc::UnboundedReceiver<Datagram>>,
}

impl DatagramSocket for MemorySocket {
    fn send_to<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        let from = self.address;
        if !self.life.is_cancelled() {
            for after in self.board.arrivals((from, to)) {
                let board = Arc::clone(&self.board);
                let bytes = bytes.to_vec();
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    if let Some(socket) = board.lock().sockets.get(&to) {
                        // A closed socket takes nothing.
                        let _ = socket.send((bytes, from));
                    }
                });
            }
        }
        async { Ok(()) }.boxed()
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        async move {
            let received = self.delivered.lock().await.recv().await;
            let Some((bytes, from)) = received else {
                return std::future::pending().await;
            };
            let length = bytes.len().min(buffer.len());
            buffer[..length].copy_from_slice(&bytes[..length]);
            Ok((length, from))
        }
        .boxed()
    }
}
