//! How many requests of a tenant all entries let in, by parts of the window.
//!
//! A home tells it with each grant, and entries pass it on to the next home. By parts, since what a
//! window holds must be known exactly: a sum that fades evenly forgets a burst before it has left the
//! window.

use std::time::Duration;

use crate::clock::Moment;

/// Parts of a window.
pub const PARTS: usize = 20;

/// What one node knows, as it tells another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WindowParts {
    /// Milliseconds since the newest part began.
    pub age_ms: u16,
    /// Requests by part, the newest first, and one part before the window.
    pub requests: [u16; PARTS + 1],
}

impl WindowParts {
    /// Requests of all parts.
    #[must_use]
    pub fn sum(&self) -> u32 {
        self.requests.iter().copied().map(u32::from).sum()
    }
}

/// What is known at one node.
#[derive(Debug, Default)]
pub struct FleetSpending {
    requests: [u16; PARTS + 1],
    /// When the newest part began; `None` while nothing is known.
    began: Option<Moment>,
}

impl FleetSpending {
    /// Requests within the last window, and up to a twentieth of one before it.
    pub fn within(&mut self, window: Duration, now: Moment) -> u32 {
        self.tell(window, now).sum()
    }

    /// What another node is told.
    pub fn tell(&mut self, window: Duration, now: Moment) -> WindowParts {
        let began = self.advance(window, now);
        let age = now.saturating_duration_since(began).as_millis();
        WindowParts {
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            requests: self.requests,
        }
    }

    /// Another node tells what it knows. The greater sum is taken whole: parts of two nodes begin at
    /// different times, so the same requests would count twice if they were mixed.
    pub fn hear(&mut self, told: &WindowParts, window: Duration, now: Moment) {
        if told.sum() > self.within(window, now) {
            let age = Duration::from_millis(told.age_ms.into());
            self.requests = told.requests;
            self.began = Some(now.checked_sub(age).unwrap_or(now));
        }
    }

    /// More requests may be let in.
    pub fn add(&mut self, requests: u32, window: Duration, now: Moment) {
        self.advance(window, now);
        let requests = u16::try_from(requests).unwrap_or(u16::MAX);
        self.requests[0] = self.requests[0].saturating_add(requests);
    }

    /// Lets parts leave the window; returns when the newest one began.
    fn advance(&mut self, window: Duration, now: Moment) -> Moment {
        let part = (window / PARTS as u32).max(Duration::from_millis(1));
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_duration_since(began);
        let passed = age.as_nanos() / part.as_nanos();
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        if passed == 0 {
            return began;
        }
        if passed as usize > PARTS {
            self.requests = [0; PARTS + 1];
            self.began = Some(now);
            return now;
        }
        self.requests.rotate_right(passed as usize);
        self.requests[..passed as usize].fill(0);
        let began = began + part * passed;
        self.began = Some(began);
        began
    }
}
