//! Timers that also end when their time came while the machine was suspended.
//!
//! A tokio timer would wait for the rest of its time after a wake-up. These look at the clock again at each
//! wake-up that is noticed.

use tokio::time::sleep;

use super::{BootInstant, suspension};

/// A deadline came before the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("time is up")]
pub struct DeadlineElapsed;

/// Runs a future until a deadline.
///
/// # Errors
///
/// [`DeadlineElapsed`] when the deadline comes first; the future is dropped then.
pub async fn timeout_at<F: Future>(
    deadline: BootInstant,
    future: F,
) -> Result<F::Output, DeadlineElapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline) => Err(DeadlineElapsed),
    }
}

/// Waits until a point in time.
async fn sleep_until(deadline: BootInstant) {
    // Its sender is static: a change is the only thing that ends the wait for it.
    let mut wake_ups = suspension::wake_ups();
    loop {
        let left = deadline.saturating_duration_since(BootInstant::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            _ = wake_ups.changed() => {}
        }
    }
}
