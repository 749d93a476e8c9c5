//! Copies the claims of the partitions that this node joins as a replica.

use std::time::Duration;

use tallybridge_core::NodeId;
use tallybridge_wire::{Message, claim::ClaimCopy};
use tokio::time::Instant;

use super::ask_replica;
use crate::{
    actor::claims::{ClaimMessage, GetCopyRequests},
    context::NodeContext,
};

/// Time between two looks for what is to be copied.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pages asked for at the same time; each may hold half a megabyte.
const PAGES_AT_ONCE: usize = 16;

/// Copies until the node stops.
pub async fn copy_claims(context: NodeContext) {
    let mut timer = tokio::time::interval(INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        if copy_all(&context).await.is_none() {
            return;
        }
    }
}

/// Asks for page after page until nothing comes any more; `None` when the node is stopping.
async fn copy_all(context: &NodeContext) -> Option<()> {
    loop {
        let requests = context.ask(GetCopyRequests).await.ok()?;
        if requests.is_empty() {
            return Some(());
        }
        let mut pages = 0;
        for batch in requests.chunks(PAGES_AT_ONCE) {
            let copies = batch
                .iter()
                .map(|(source, copy)| take_page(context, *source, copy));
            let taken = futures::future::join_all(copies).await;
            pages += taken.into_iter().filter(|taken| *taken).count();
        }
        if pages == 0 {
            return Some(());
        }
    }
}

/// Whether a page with claims came.
async fn take_page(context: &NodeContext, source: NodeId, copy: &ClaimCopy) -> bool {
    let until = Instant::now() + PAGE_TIMEOUT;
    let request = Message::ClaimCopy(copy.clone());
    let Some(Message::ClaimPage(page)) = ask_replica(context, source, request, until).await else {
        return false;
    };
    let useful = matches!(
        page.content,
        tallybridge_wire::claim::PageContent::Claims { .. }
    );
    let message = Message::ClaimPage(page);
    context.ask(ClaimMessage { source, message }).await.is_ok() && useful
}
