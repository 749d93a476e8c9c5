//! A second attempt beside one that is late.

use std::sync::Arc;

use futures::future::{Either, select};
use tokio::time::{Instant, timeout};

use super::carry::{Attempted, Call, Progress, Target, attempt, choice, choose, pays};
use crate::node::Node;

/// Runs an attempt, and beside it a second one elsewhere once the first is late: its answer may be
/// lost, which shows only at the deadline.
pub(super) async fn attempt_and_second(
    node: &Arc<Node>,
    call: &Call,
    target: Target,
    progress: &mut Progress,
) -> Attempted {
    let late_after = node
        .late_after(call.message.kind)
        .filter(|_| call.message.may_repeat && node.settings.policy.second_attempts);
    let first = attempt(node, call, target);
    let Some(late_after) = late_after else {
        return first.await;
    };
    tokio::pin!(first);
    if let Ok(attempted) = timeout(late_after, &mut first).await {
        return attempted;
    }
    let Some(target) = second_target(node, call, progress) else {
        return first.await;
    };
    progress.tried.push(target.address);
    progress.back_ends += 1;
    let second = attempt(node, call, target);
    tokio::pin!(second);
    let (earlier, other) = match select(first, second).await {
        Either::Left((attempted, second)) => (attempted, second),
        Either::Right((attempted, first)) => (attempted, first),
    };
    if earlier.is_success() {
        return earlier;
    }
    progress.may_have_run |= earlier.may_have_run();
    other.await
}

/// Where a late call is sent besides, if it may be and there is room for it.
fn second_target(node: &Arc<Node>, call: &Call, progress: &Progress) -> Option<Target> {
    let choice = choice(node, call, &progress.tried);
    if !node.with_peers(|peers| peers.has_room(&choice, Instant::now())) {
        return None;
    }
    // The first back end counts besides those that were tried before.
    if progress.back_ends + 1 >= call.route.max_attempts || !pays(node, call) {
        return None;
    }
    choose(node, call, &progress.tried)
}
