//! All links that this node has opened, by address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tallybridge_core::NodeId;
use tallybridge_wire::Hello;
use tokio::sync::OnceCell;

use super::{
    PeerFailure,
    link::{Link, Reply},
    network::Network,
};

/// Time for a byte stream to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A link that is opened once, by whoever needs it first.
type Slot = Arc<OnceCell<Arc<Link>>>;

/// Links by address; cheap to clone.
#[derive(Clone)]
pub struct PeerLinks {
    inner: Arc<Inner>,
}

struct Inner {
    hello: Hello,
    network: Arc<dyn Network>,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl PeerLinks {
    /// No links yet; `hello` introduces this node.
    #[must_use]
    pub fn new(hello: Hello, network: Arc<dyn Network>) -> Self {
        let slots = Mutex::new(HashMap::new());
        Self {
            inner: Arc::new(Inner {
                hello,
                network,
                slots,
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
        let slots = self.lock();
        let link = slots.get(&node.address).and_then(|slot| slot.get());
        link.is_some_and(|link| link.peer.node == node && link.try_send(message))
    }

    /// Stops using the link to a node that did not answer in time, so that the next call opens a
    /// fresh one: a connection that was cut silently would otherwise hold calls until TCP gives it
    /// up. Calls that are under way keep the old link until they end.
    pub fn retire(&self, node: NodeId) {
        self.lock().remove(&node.address);
    }

    fn usable_slot(&self, address: SocketAddr) -> Slot {
        let mut slots = self.lock();
        let slot = slots.entry(address).or_default();
        if slot.get().is_some_and(|link| link.closed.is_cancelled()) {
            *slot = Slot::default();
        }
        slot.clone()
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

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.inner
            .slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
