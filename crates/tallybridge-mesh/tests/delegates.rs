//! Records that a node keeps in the registry for its peers.

use std::time::Duration;

use bytes::BytesMut;
use tallybridge_mesh::{
    clock::BootInstant,
    link::framing::{FrameSender, QueuedFrame},
    protocol::{Frame, Message},
    tables::Delegates,
};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// A delegate, and the frames that it receives.
struct Delegate {
    sender: FrameSender,
    frames: UnboundedReceiver<QueuedFrame>,
}

impl Delegate {
    fn new() -> Self {
        let (sender, frames) = unbounded_channel();
        Self {
            sender: FrameSender::new(sender),
            frames,
        }
    }

    /// Requests the entry "node-1" and returns whether it must be written.
    fn request(&self, delegates: &mut Delegates, record: &'static str, now: BootInstant) -> bool {
        let name = "node-1".to_owned();
        delegates.request(name, record.into(), self.sender.clone(), now)
    }

    /// Returns whether an answer has arrived since the last call.
    fn is_answered(&mut self) -> bool {
        let frame = self.frames.try_recv();
        frame.is_ok_and(|frame| {
            let decoded = Frame::decode(&mut BytesMut::from(&frame.to_bytes()[..]));
            decoded.unwrap().unwrap().message == Message::Registered
        })
    }
}

/// Guards against a node that takes itself for registered before the registry holds its record.
#[test]
fn answers_only_what_the_registry_holds() {
    let now = BootInstant::now();
    let mut delegates = Delegates::default();
    delegates.lease_renewed(now);
    let mut delegate = Delegate::new();
    assert!(delegate.request(&mut delegates, "first", now));
    assert!(!delegate.is_answered());
    let written = delegates.unstored();
    assert_eq!(written.len(), 1);

    // The record changes while the first one is being written.
    assert!(delegate.request(&mut delegates, "second", now));
    delegates.mark_stored(&written);
    assert!(!delegate.is_answered(), "the former record was stored");
    let written = delegates.unstored();
    assert_eq!(written[0].value, "second");
    delegates.mark_stored(&written);
    assert!(delegate.is_answered());

    assert!(!delegate.request(&mut delegates, "second", now));
    assert!(
        delegate.is_answered(),
        "the registry holds the record already"
    );

    // The store may have ended a lease that was not renewed for long.
    let later = now + Duration::from_secs(9);
    assert!(!delegate.request(&mut delegates, "second", later));
    assert!(!delegate.is_answered());

    // The former lease has ended, and its entries with it.
    delegates.lease_replaced();
    assert!(delegate.request(&mut delegates, "second", now));
    assert!(!delegate.is_answered());
}

/// Guards against entries that outlive their nodes for as long as a registrar renews its lease.
#[test]
fn entry_of_a_former_delegate_needs_another_lease() {
    let start = BootInstant::now();
    let mut delegates = Delegates::default();
    let delegate = Delegate::new();
    assert!(delegate.request(&mut delegates, "record", start));
    let written = delegates.unstored();
    delegates.mark_stored(&written);
    let before_expiry = start + Duration::from_millis(11_900);
    assert!(!delegates.remove_expired(before_expiry));
    assert!(!delegates.is_empty());
    let after_expiry = start + Duration::from_millis(12_100);
    assert!(delegates.remove_expired(after_expiry));
    assert!(delegates.is_empty());
    // The lease still holds the entry until it is replaced.
    assert!(delegates.remove_expired(after_expiry));
    delegates.lease_replaced();
    assert!(!delegates.remove_expired(after_expiry));
}
