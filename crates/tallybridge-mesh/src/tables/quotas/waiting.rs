//! Requests that wait for a token of a new owner, whose bucket starts empty.
//!
//! An entry that was told to wait asks again after 30 ms. An ask carries no number of its request, so a
//! request is recognized by its entry and the time of the entry's last ask.

use std::time::Duration;

use crate::clock::BootInstant;

/// Maximum wait of a request. It is then refused.
pub(super) const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Bounds on the time after which an entry asks again, which is 30 ms plus the time of an answer.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(28);
const MAX_REPEAT_INTERVAL: Duration = Duration::from_millis(60);

/// The waiting requests of one tenant.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests(Vec<WaitingRequest>);

#[derive(Debug)]
struct WaitingRequest {
    /// Process number of the entry.
    entry: u64,
    since: BootInstant,
    last_asked_at: BootInstant,
}

impl WaitingRequests {
    /// Returns whether a request of `entry` may wait, or continue to. As many requests wait as tokens arrive
    /// within [`MAX_TOKEN_WAIT`], and at least one.
    pub(super) fn admit(&mut self, entry: u64, arriving_tokens: f64, now: BootInstant) -> bool {
        let elapsed = |since: BootInstant| now.saturating_duration_since(since);
        self.0
            .retain(|waiting| elapsed(waiting.last_asked_at) < MAX_REPEAT_INTERVAL);
        if let Some(index) = self.find_repeated(entry, now) {
            if elapsed(self.0[index].since) >= MAX_TOKEN_WAIT {
                self.0.swap_remove(index);
                return false;
            }
            self.0[index].last_asked_at = now;
            return true;
        }
        let has_room = (self.0.len() as f64) < arriving_tokens.max(1.0);
        if has_room {
            self.0.push(WaitingRequest {
                entry,
                since: now,
                last_asked_at: now,
            });
        }
        has_room
    }

    /// Forgets a request of `entry`, which got its token.
    pub(super) fn remove(&mut self, entry: u64, now: BootInstant) {
        if let Some(index) = self.find_repeated(entry, now) {
            self.0.swap_remove(index);
        }
    }

    /// Finds a request that `entry` asks for again at `now`.
    fn find_repeated(&self, entry: u64, now: BootInstant) -> Option<usize> {
        self.0.iter().position(|waiting| {
            let age = now.saturating_duration_since(waiting.last_asked_at);
            waiting.entry == entry && age >= MIN_REPEAT_INTERVAL
        })
    }
}
