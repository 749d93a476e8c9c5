//! All links that this node has opened, by address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tallybridge_core::NodeId;
use tallybridge_wire::Hello;
use tokio::sync::OnceCell;

use super::{
    PeerFailure,
    link::{Link, Reply},
    network::Network,
};
use crate::context::NodeContext;

/// Time for a byte stream to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after its last use for which a link is kept open. Whoever a node asks for its configuration
/// changes from time to time, so links kept for good would in the end lead to the whole fleet.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A link that is opened once, by whoever needs it first.
type Slot = Arc<OnceCell<Arc<Link>>>;

/// The place of the link to one address.
struct Place {
    slot: Slot,
    last_asked: Instant,
}

impl Place {
    /// Whether nobody holds the link or is about to. Only true under the lock of all places: a
    /// holder of the slot or the link can't appear meanwhile.
    fn is_free(&self) -> bool {
        let is_held = |link: &Arc<Link>| Arc::strong_count(link) > 1;
        Arc::strong_count(&self.slot) == 1 && !self.slot.get().is_some_and(is_held)
    }
}

/// Links by address; cheap to clone.
#[derive(Clone)]
pub struct PeerLinks {
    inner: Arc<Inner>,
}

struct Inner {
    hello: Hello,
    network: Arc<dyn Network>,
    places: Mutex<HashMap<SocketAddr, Place>>,
}

impl PeerLinks {
    /// No links yet; `hello` introduces this node.
    #[must_use]
    pub fn new(hello: Hello, network: Arc<dyn Network>) -> Self {
        let places = Mutex::new(HashMap::new());
        Self {
            inner: Arc::new(Inner {
                hello,
                network,
                places,
            }),
        }
    }

    /// The link to an address, opened when there is none.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::NotSent`] when the peer can't be reached.
    pub async fn link(&self, address: SocketAddr) -> Result<Arc<Link>, PeerFailure> {
        let slot = self.usable_slot(address);
        let link = slot.get_or_try_init(|| self.open(address)).await?;
        Ok(link.clone())
    }

    /// The link to one run of a node.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::NotSent`] when the peer can't be reached or another run answers there.
    pub async fn link_to(&self, node: NodeId) -> Result<Arc<Link>, PeerFailure> {
        let link = self.link(node.address).await?;
        if link.peer.node == node {
            Ok(link)
        } else {
            Err(PeerFailure::NotSent(format!(
                "{} answers at {} instead of {node}",
                link.peer.node, node.address
            )))
        }
    }

    /// Sends a message to one run of a node and waits for the reply.
    ///
    /// # Errors
    ///
    /// [`PeerFailure`], which says whether the message may have arrived.
    pub async fn request(
        &self,
        node: NodeId,
        message: tallybridge_wire::Message,
    ) -> Result<Reply, PeerFailure> {
        let link = self.link_to(node).await?;
        link.request(message, &[]).await
    }

    /// Sends a message that has no reply, over a link that is opened if need be.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::NotSent`] when the peer can't be reached.
    pub async fn send(
        &self,
        node: NodeId,
        message: tallybridge_wire::Message,
    ) -> Result<(), PeerFailure> {
        let link = self.link_to(node).await?;
        link.send(message).await
    }

    /// Sends a message that has no reply if the link is open and has room; says whether it did.
    #[must_use]
    pub fn try_send(&self, node: NodeId, message: tallybridge_wire::Message) -> bool {
        let mut places = self.lock();
        let Some(place) = places.get_mut(&node.address) else {
            return false;
        };
        place.last_asked = tokio::time::Instant::now().into_std();
        let link = place.slot.get();
        link.is_some_and(|link| link.peer.node == node && link.try_send(message))
    }

    /// Stops using the link to a node that did not answer in time, so that the next call opens a
    /// fresh one: a connection that was cut silently would otherwise hold calls until TCP gives it
    /// up. Calls that are under way keep the old link until they end.
    pub fn retire(&self, node: NodeId) {
        self.lock().remove(&node.address);
    }

    /// Closes the links that nobody uses and nobody has asked for in a while.
    pub fn close_idle(&self, now: Instant) {
        self.lock().retain(|_, place| {
            let idle = now.saturating_duration_since(place.last_asked);
            idle < IDLE_TIMEOUT || !place.is_free()
        });
    }

    /// Number of addresses that a link is open to or is being opened to.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no link.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn usable_slot(&self, address: SocketAddr) -> Slot {
        let now = tokio::time::Instant::now().into_std();
        let mut places = self.lock();
        let place = places.entry(address).or_insert_with(|| Place {
            slot: Slot::default(),
            last_asked: now,
        });
        place.last_asked = now;
        let link = place.slot.get();
        if link.is_some_and(|link| link.closed.is_cancelled()) {
            place.slot = Slot::default();
        }
        place.slot.clone()
    }

    async fn open(&self, address: SocketAddr) -> Result<Arc<Link>, PeerFailure> {
        let connecting = self.inner.network.connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| PeerFailure::NotSent(format!("{address} did not accept in time")))?
            .map_err(|error| PeerFailure::NotSent(format!("{address}: {error}")))?;
        let link = Link::open(stream, self.inner.hello.clone()).await?;
        Ok(Arc::new(link))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Place>> {
        self.inner
            .places
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes idle links from time to time until the node stops.
pub async fn close_idle_links(context: NodeContext) {
    const INTERVAL: Duration = Duration::from_secs(10);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let now = tokio::time::Instant::now().into_std();
        context.links.close_idle(now);
    }
}
