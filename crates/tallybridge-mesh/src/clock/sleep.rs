//! Timers that expire on time even if the machine is suspended in the meantime.
//!
//! A tokio timer does not count suspended time and would expire too late. These timers check the
//! clock again after each detected wake-up of the machine.

use tokio::time::sleep;

use super::{BootInstant, suspension};

/// The error of a future that did not complete before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("deadline exceeded")]
pub struct DeadlineElapsed;

/// Runs a future until a deadline.
///
/// # Errors
///
/// [`DeadlineElapsed`] if the deadline passes first; the future is dropped in this case.
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

async fn sleep_until(deadline: BootInstant) {
    // The sender is static, so `changed` completes only after a wake-up, never because of a drop.
    let mut wake_ups = suspension::wake_ups();
    loop {
        let remaining = deadline.saturating_duration_since(BootInstant::now());
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(remaining) => {}
            _ = wake_ups.changed() => {}
        }
    }
}
