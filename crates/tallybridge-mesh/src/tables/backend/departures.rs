//! Back ends that said that they leave, so that a late report can't revive them.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Departures that are remembered.
const REMEMBERED: usize = 64;
/// Time for which an id that left stays out if nothing tells a new start of it from a late report of
/// the one that left: many times as long as reports are late, and as back ends serve on after their
/// notice.
const UNTOLD_FOR: Duration = Duration::from_secs(60);

/// A back end that left.
#[derive(Debug)]
struct Departure {
    id: String,
    /// When it had started, in Unix milliseconds, if it had told.
    born: Option<u64>,
    at: Instant,
}

/// Back ends that left lately.
#[derive(Debug, Default)]
pub struct Departures(VecDeque<Departure>);

impl Departures {
    /// A back end said that it leaves.
    pub fn add(&mut self, id: &str, born: Option<u64>, now: Instant) {
        let same = |leaver: &Departure| leaver.id == id && leaver.born == born;
        self.0.retain(|leaver| !same(leaver));
        self.0.push_back(Departure {
            id: id.to_owned(),
            born,
            at: now,
        });
        if self.0.len() > REMEMBERED {
            self.0.pop_front();
        }
    }

    /// Whether the start of an id has left. One that does not tell when it began counts as any that
    /// left under its id, for a time.
    pub fn have(&self, id: &str, born: Option<u64>, now: Instant) -> bool {
        self.0.iter().any(|leaver| {
            let is_told = leaver.born.is_some() && born.is_some();
            let is_same = match is_told {
                true => leaver.born == born,
                false => now.saturating_duration_since(leaver.at) < UNTOLD_FOR,
            };
            leaver.id == id && is_same
        })
    }
}
