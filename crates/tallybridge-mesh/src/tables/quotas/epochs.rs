//! How many requests of a tenant homes gave tokens for, by lives of homes and parts of the window.
//!
//! A home tells it with each grant, and entries pass it on to the next home. By lives, since what one
//! home gave out only grows, so that of two tellings the newer is known and no request counts twice or
//! is missed, however the news of several homes came about. By parts, since what a window holds must
//! be known exactly: a sum that fades evenly forgets a burst before it has left the window.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    protocol::{EpochSpending, WindowSpending},
};

/// Parts of a window.
const PARTS: usize = 20;
/// Lives that are told at the most, the newest first: far more than homes that a tenant has within a
/// window.
const MAX_LIVES: usize = 64;

#[derive(Debug)]
struct Life {
    total: u32,
    /// By part, the newest first, and one part before the window.
    requests: [u16; PARTS + 1],
    /// When the newest part began.
    began: BootInstant,
}

impl Life {
    /// Lets parts leave the window.
    fn advance(&mut self, part: Duration, now: BootInstant) {
        let age = now.saturating_duration_since(self.began);
        let passed = u32::try_from(age.as_nanos() / part.as_nanos()).unwrap_or(u32::MAX);
        let shifted = (passed as usize).min(self.requests.len());
        self.requests.rotate_right(shifted);
        self.requests[..shifted].fill(0);
        self.began += part.saturating_mul(passed);
    }

    fn sum(&self) -> u32 {
        self.requests.iter().copied().map(u32::from).sum()
    }

    fn told(&self, life: u32, now: BootInstant) -> EpochSpending {
        let age = now.saturating_duration_since(self.began).as_millis();
        let used = self.requests.iter().rposition(|requests| *requests > 0);
        EpochSpending {
            life,
            total: self.total,
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            requests: self.requests[..used.map_or(0, |last| last + 1)].to_vec(),
        }
    }
}

/// What one node knows.
#[derive(Debug)]
pub struct FleetSpending {
    lives: HashMap<u32, Life>,
    part: Duration,
}

impl FleetSpending {
    /// Nothing is known yet of what was given out within `window`.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            lives: HashMap::new(),
            part: (window / PARTS as u32).max(Duration::from_millis(1)),
        }
    }

    /// Requests within the last window, and up to a twentieth of one before it.
    pub fn within(&mut self, now: BootInstant) -> u32 {
        self.advance(now);
        self.lives.values().map(Life::sum).sum()
    }

    /// The same, but for those that one life gave out.
    pub fn within_but(&mut self, life: u32, now: BootInstant) -> u32 {
        let all = self.within(now);
        all - self.lives.get(&life).map_or(0, Life::sum)
    }

    /// What another node is told.
    pub fn tell(&mut self, now: BootInstant) -> WindowSpending {
        self.advance(now);
        let lives = self.lives.iter();
        let mut told: Vec<_> = lives.map(|(life, known)| known.told(*life, now)).collect();
        told.sort_by_key(|life| {
            (
                life.requests.iter().position(|count| *count > 0),
                life.age_ms,
            )
        });
        told.truncate(MAX_LIVES);
        told
    }

    /// Another node tells what it knows.
    pub fn hear(&mut self, told: &[EpochSpending], now: BootInstant) {
        for told in told {
            let is_news = match self.lives.get(&told.life) {
                Some(known) => told.total > known.total,
                None => true,
            };
            if is_news {
                self.lives.insert(told.life, heard(told, now));
            }
        }
        self.advance(now);
    }

    /// A life of this node's gives out more.
    pub fn add(&mut self, life: u32, requests: u32, now: BootInstant) {
        self.advance(now);
        let known = self.lives.entry(life).or_insert(Life {
            total: 0,
            requests: [0; PARTS + 1],
            began: now,
        });
        known.total = known.total.saturating_add(requests);
        let requests = u16::try_from(requests).unwrap_or(u16::MAX);
        known.requests[0] = known.requests[0].saturating_add(requests);
    }

    fn advance(&mut self, now: BootInstant) {
        for life in self.lives.values_mut() {
            life.advance(self.part, now);
        }
        self.lives.retain(|_, life| life.sum() > 0);
    }
}

fn heard(told: &EpochSpending, now: BootInstant) -> Life {
    let mut requests = [0; PARTS + 1];
    for (known, told) in requests.iter_mut().zip(&told.requests) {
        *known = *told;
    }
    let age = Duration::from_millis(told.age_ms.into());
    Life {
        total: told.total,
        requests,
        began: now.checked_sub(age).unwrap_or(now),
    }
}
