//! Pauses of this process: it was stopped, its machine was suspended, or it got no processor time.
//!
//! **Rule.** A process whose ticks, 100 ms apart, stop for 500 ms was paused. What it reads from a
//! socket during the pause or up to 30 ms after it counts as having arrived when the pause began.
//!
//! **Why.** Such data may have waited for the length of the pause. A call would otherwise run with the time
//! left that it had when it was sent, after its caller has given up.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::BootInstant;

/// Time without a tick from which on a process counts as paused: five ticks. Origin not recorded.
const PAUSED_FROM: Duration = Duration::from_millis(500);
/// Time after a pause in which data may still be read that arrived during it. Origin not recorded.
const READ_AFTER_PAUSE: Duration = Duration::from_millis(30);

static DETECTOR: Mutex<PauseDetector> = Mutex::new(PauseDetector {
    last_tick: None,
    last_pause: None,
    pauses: 0,
});

/// The pauses of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pauses {
    /// How many there were since the process began.
    pub count: u64,
    /// Length of the last one; zero for none.
    pub last: Duration,
}

/// Records that the process runs, and returns its pauses so far. Each node calls it at each of its ticks.
pub fn record_tick() -> Pauses {
    let now = BootInstant::now();
    detector().record_tick(now)
}

/// How long data that is read now may have waited in its socket.
pub(super) fn unread_age(now: BootInstant) -> Duration {
    detector().unread_age(now)
}

fn detector() -> MutexGuard<'static, PauseDetector> {
    DETECTOR.lock().unwrap_or_else(PoisonError::into_inner)
}

struct PauseDetector {
    last_tick: Option<BootInstant>,
    last_pause: Option<Pause>,
    pauses: u64,
}

#[derive(Clone, Copy)]
struct Pause {
    ended_at: BootInstant,
    length: Duration,
}

impl PauseDetector {
    fn record_tick(&mut self, now: BootInstant) -> Pauses {
        let length = self.since_last_tick(now);
        if length >= PAUSED_FROM {
            self.pauses += 1;
            self.last_pause = Some(Pause {
                ended_at: now,
                length,
            });
        }
        self.last_tick = Some(now);
        Pauses {
            count: self.pauses,
            last: self.last_pause.map_or(Duration::ZERO, |pause| pause.length),
        }
    }

    fn since_last_tick(&self, now: BootInstant) -> Duration {
        let last_tick = self.last_tick.unwrap_or(now);
        now.saturating_duration_since(last_tick)
    }

    fn unread_age(&self, now: BootInstant) -> Duration {
        let since_last_tick = self.since_last_tick(now);
        if since_last_tick >= PAUSED_FROM {
            return since_last_tick;
        }
        let recent = self
            .last_pause
            .filter(|pause| now.saturating_duration_since(pause.ended_at) < READ_AFTER_PAUSE);
        recent.map_or(Duration::ZERO, |pause| pause.length)
    }
}
