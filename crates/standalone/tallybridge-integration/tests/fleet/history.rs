//! What callers and back ends saw. The oracle judges by nothing else.

use std::{net::SocketAddr, sync::Arc, sync::Mutex};

use bytes::Bytes;
use tallybridge_core::{ErrorKind, Outcome};
use tokio::time::Instant;

/// Retries that a request may cause in its whole chain.
pub const RETRY_ALLOWANCE: usize = 2;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// May not be repeated, critical-plus, three services deep.
    Payment,
    /// May be repeated, critical, two services deep.
    Read,
    /// May be repeated, sheddable, of the last service alone, with a large answer.
    Bulk,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Payment, Self::Read, Self::Bulk];

    /// The positions of the chain: numbers of services, in order.
    pub const fn chain(self) -> &'static [usize] {
        match self {
            Self::Payment => &[0, 1, 2],
            Self::Read => &[0, 1],
            Self::Bulk => &[2],
        }
    }

    pub const fn path(self) -> &'static str {
        match self {
            Self::Payment => "/payment",
            Self::Read => "/read",
            Self::Bulk => "/bulk",
        }
    }

    /// The answer of the service at a position to the request of a number.
    pub fn answer(self, position: usize, request: u64) -> Bytes {
        const LARGE: usize = 200_000;
        let line = format!("{self:?} {request} at {position}\n");
        let length = if self == Self::Bulk {
            LARGE
        } else {
            line.len()
        };
        line.bytes().cycle().take(length).collect()
    }
}

/// One attempt of a caller, or of a back end for a nested call, to have a request answered.
#[derive(Debug)]
pub struct Call {
    pub kind: Kind,
    pub request: u64,
    pub position: usize,
    pub entry: SocketAddr,
    pub began: Instant,
    pub gave_up: bool,
    pub end: Option<(Instant, End)>,
}

/// What the caller of a call was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Answered {
        status: u16,
        body: Bytes,
    },
    Refused {
        kind: ErrorKind,
        outcome: Outcome,
        detail: String,
    },
    /// The node at which the call entered was killed.
    Disconnected,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    Answered,
    /// The connection was lost after the work was done.
    Broken,
    /// The node closed the connection.
    Cancelled,
    /// The back end was killed.
    Killed,
}

/// One execution at a back end.
#[derive(Debug)]
pub struct Execution {
    pub kind: Kind,
    pub request: u64,
    pub position: usize,
    pub node: SocketAddr,
    pub run: u64,
    pub began: Instant,
    pub finish: Option<(Instant, Finish)>,
}

/// A planned stop of a node.
#[derive(Debug)]
pub struct Stop {
    pub node: SocketAddr,
    pub began: Instant,
    /// When it ended and whether it says that nothing was cut off.
    pub end: Option<(Instant, bool)>,
}

/// A back end's or node's statement that it leaves.
#[derive(Debug)]
pub struct Leaving {
    pub node: SocketAddr,
    pub run: u64,
    pub at: Instant,
}

/// A cut, freeze or delay, or the time in which a node is dead.
#[derive(Debug)]
pub struct Fault {
    /// The dead node; `None` for faults that healing ends.
    pub dead: Option<SocketAddr>,
    pub began: Instant,
    pub ended: Option<Instant>,
}

/// Everything seen in one sequence.
#[derive(Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub stops: Vec<Stop>,
    pub leaving: Vec<Leaving>,
    /// Requests that a back end refused to run at all.
    pub shed: Vec<u64>,
    pub faults: Vec<Fault>,
    /// Revision in force, each time a run of a node was asked.
    pub revisions: Vec<(SocketAddr, u64, u64)>,
}

pub type SharedHistory = Arc<Mutex<History>>;

impl History {
    /// Whether a fault was in place at some time between two others.
    pub fn disturbed(&self, from: Instant, to: Instant) -> bool {
        let overlaps =
            |fault: &Fault| fault.began <= to && fault.ended.is_none_or(|ended| ended >= from);
        self.faults.iter().any(overlaps)
    }

    pub fn begin_fault(&mut self, dead: Option<SocketAddr>) {
        self.faults.push(Fault {
            dead,
            began: Instant::now(),
            ended: None,
        });
    }

    /// Ends the faults of a node that was dead, or those that healing ends.
    pub fn end_faults(&mut self, dead: Option<SocketAddr>) {
        let now = Instant::now();
        for fault in self.faults.iter_mut().filter(|fault| fault.dead == dead) {
            fault.ended.get_or_insert(now);
        }
    }
}
