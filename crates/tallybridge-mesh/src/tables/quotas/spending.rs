//! How many requests of a tenant were let in within the last window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::clock::BootInstant;
use crate::protocol::QuotaAsk;

/// An entry at which a tenant is at its limit asks again within a window divided by this.
const ASKS_WITHIN: u32 = 10;
/// Parts of a window in which an entry counts.
const PARTS: u32 = 20;

/// What one entry let in, by parts of the window.
#[derive(Debug, Default)]
pub struct EntrySpending(VecDeque<Part>);

#[derive(Debug)]
struct Part {
    began: BootInstant,
    requests: u32,
}

impl EntrySpending {
    /// A request was let in.
    pub fn note(&mut self, window: Duration, now: BootInstant) {
        self.forget(window, now);
        match self.0.back_mut() {
            Some(part) if now.saturating_duration_since(part.began) < window / PARTS => {
                part.requests += 1;
            }
            _ => self.0.push_back(Part {
                began: now,
                requests: 1,
            }),
        }
    }

    /// Requests that were let in within the last window, and up to a twentieth of one before it.
    pub fn within(&mut self, window: Duration, now: BootInstant) -> u32 {
        self.forget(window, now);
        self.0.iter().map(|part| part.requests).sum()
    }

    fn forget(&mut self, window: Duration, now: BootInstant) {
        let kept = window + window / PARTS;
        while let Some(first) = self.0.front() {
            if now.saturating_duration_since(first.began) < kept {
                return;
            }
            self.0.pop_front();
        }
    }
}

/// What all entries let in, as they told a home.
#[derive(Debug, Default)]
pub struct ReportedSpending(HashMap<u64, Told>);

#[derive(Debug)]
struct Told {
    requests: f64,
    at: BootInstant,
}

impl Told {
    /// What is left in the window of what was told: it leaves it little by little. An entry that asks again
    /// soon tells it itself.
    fn left(&self, window: Duration, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let age = age.saturating_sub(window / ASKS_WITHIN);
        let part = age.as_secs_f64() / window.as_secs_f64().max(f64::MIN_POSITIVE);
        self.requests * (1.0 - part).max(0.0)
    }
}

impl ReportedSpending {
    /// An entry tells what it let in; gives what all did within the last window.
    pub fn tell(&mut self, ask: &QuotaAsk, window: Duration, now: BootInstant) -> f64 {
        let told = Told {
            requests: ask.spent.into(),
            at: now,
        };
        self.0.insert(ask.entry, told);
        self.0
            .retain(|_, told| now.saturating_duration_since(told.at) < window);
        self.0.values().map(|told| told.left(window, now)).sum()
    }

    /// An entry was given tokens, which it will let requests in for.
    pub fn gave(&mut self, entry: u64, tokens: u32) {
        if let Some(told) = self.0.get_mut(&entry) {
            told.requests += f64::from(tokens);
        }
    }
}
