//! The bytes that a node may hold for requests and answers.
//!
//! Rule: a message may grow while it holds at most [`MAX_RATIO_TO_FREE`] times what is left of the budget. So the
//! largest fail first, and small ones find room beside them. Before a message fails, clients that hold more for
//! longer lose what they hold.
//!
//! Inputs: the bytes of each message, counted as they are read; the memory of the process. Output: whether a
//! message may grow. Guards against a process that ends for lack of memory, and with it all its requests.
//!
//! Requests may take only a part of the budget. Otherwise no memory would be left for the answers of requests
//! that have run.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use super::clients::{Claim, Client, ClientTable, ListenerClients};

/// Largest ratio of a message to what is left of the budget.
const MAX_RATIO_TO_FREE: usize = 3;
/// Divisor of the shares below.
const SHARE_DIVISOR: usize = 16;
/// Share of the memory for all messages. The rest is for the tables, the connections and the allocator.
const MESSAGE_SHARE: usize = 11;
/// Share of the memory for requests. A request of 64 MiB needs it at the default memory.
const REQUEST_SHARE: usize = 9;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// Requests of callers, and calls of peers.
    Request,
    /// Answers of the back end and of peers.
    Answer,
}

impl MemoryUse {
    const COUNT: usize = 2;
    /// All uses.
    pub const ALL: [Self; Self::COUNT] = [Self::Request, Self::Answer];
}

/// Bytes by use.
#[derive(Debug, Default)]
pub(super) struct BytesByUse([AtomicUsize; MemoryUse::COUNT]);

impl BytesByUse {
    pub(super) fn get(&self, memory_use: MemoryUse) -> usize {
        self.0[memory_use as usize].load(Ordering::Relaxed)
    }

    pub(super) fn total(&self) -> usize {
        MemoryUse::ALL.into_iter().map(|each| self.get(each)).sum()
    }

    pub(super) fn add(&self, memory_use: MemoryUse, bytes: usize) {
        self.0[memory_use as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn subtract(&self, memory_use: MemoryUse, bytes: usize) {
        self.0[memory_use as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The budget of a node. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<BudgetState>);

#[derive(Debug)]
pub(super) struct BudgetState {
    limit_bytes: usize,
    request_limit_bytes: usize,
    used: BytesByUse,
    /// Bytes of clients that were told to give them up and have not done so yet.
    pub(super) leaving: BytesByUse,
    pub(super) clients: ClientTable,
    /// Messages that found no room.
    failures: AtomicU64,
}

impl MemoryBudget {
    /// Creates an unused budget of `limit_bytes`, all of which requests may take.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self::with_limits(limit_bytes, limit_bytes)
    }

    /// Creates the unused budget of a process with `memory_bytes` of memory.
    #[must_use]
    pub fn of_process(memory_bytes: usize) -> Self {
        let share = memory_bytes / SHARE_DIVISOR;
        Self::with_limits(share * MESSAGE_SHARE, share * REQUEST_SHARE)
    }

    fn with_limits(limit_bytes: usize, request_limit_bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            limit_bytes,
            request_limit_bytes,
            used: BytesByUse::default(),
            leaving: BytesByUse::default(),
            clients: ClientTable::default(),
            failures: AtomicU64::new(0),
        }))
    }

    pub(super) const fn of(state: Arc<BudgetState>) -> Self {
        Self(state)
    }

    /// Returns the bytes that all messages together may hold.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.0.limit_bytes
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.used.total()
    }

    /// Returns the bytes held for one use.
    #[must_use]
    pub fn used_bytes_for(&self, memory_use: MemoryUse) -> usize {
        self.0.used.get(memory_use)
    }

    /// Returns the number of messages that found no room since the process started.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.0.failures.load(Ordering::Relaxed)
    }

    /// Returns the number of connections closed for what they held, since the process started.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.0.clients.evictions_for_memory()
    }

    /// Returns the clients of a new listener, at most `max_connections` at once.
    #[must_use]
    pub fn listener_clients(&self, max_connections: usize) -> ListenerClients {
        ListenerClients::new(self.0.clone(), max_connections)
    }

    /// Returns the empty share of a message that begins.
    #[must_use]
    pub fn begin(&self, memory_use: MemoryUse) -> MemoryShare {
        MemoryShare {
            budget: self.0.clone(),
            memory_use,
            held_bytes: 0,
            began_at: Instant::now(),
            claim: None,
        }
    }

    /// Returns the empty share of a request that begins, which `client` gives up if it is evicted.
    #[must_use]
    pub fn begin_request_of(&self, client: &Client) -> MemoryShare {
        let mut share = self.begin(MemoryUse::Request);
        share.claim = Some(client.claims().claim(MemoryUse::Request, 0));
        share
    }
}

impl BudgetState {
    /// Returns whether a message that holds `held_bytes` leaves enough to others.
    fn leaves_room(&self, memory_use: MemoryUse, held_bytes: usize) -> bool {
        self.leaves_room_in_total(held_bytes)
            && (memory_use == MemoryUse::Answer || self.leaves_room_for_requests(held_bytes))
    }

    fn leaves_room_in_total(&self, held_bytes: usize) -> bool {
        let used = self.used.total().saturating_sub(self.leaving.total());
        is_within_ratio(held_bytes, self.limit_bytes, used)
    }

    fn leaves_room_for_requests(&self, held_bytes: usize) -> bool {
        let used = self.used.get(MemoryUse::Request);
        let used = used.saturating_sub(self.leaving.get(MemoryUse::Request));
        is_within_ratio(held_bytes, self.request_limit_bytes, used)
    }

    /// Evicts clients that hold more for longer than a message that needs room. Returns whether it has room now.
    fn make_room(&self, share: &MemoryShare) -> bool {
        let cost = holding_cost(share.held_bytes, share.began_at.elapsed());
        while !self.leaves_room(share.memory_use, share.held_bytes) {
            let uses: &[MemoryUse] = match self.leaves_room_in_total(share.held_bytes) {
                true => &[MemoryUse::Request],
                false => &MemoryUse::ALL,
            };
            let own_client = share.claim.as_ref().map(Claim::client);
            if !self
                .clients
                .evict_for_memory(&self.leaving, uses, cost, own_client)
            {
                return false;
            }
        }
        true
    }
}

fn is_within_ratio(held_bytes: usize, limit_bytes: usize, used_bytes: usize) -> bool {
    let free = limit_bytes.saturating_sub(used_bytes);
    held_bytes <= free.saturating_mul(MAX_RATIO_TO_FREE)
}

/// Returns by how much holding some bytes for some time keeps memory from others, in byte milliseconds.
pub(super) fn holding_cost(bytes: usize, time: Duration) -> u128 {
    bytes as u128 * (time.as_millis() + 1)
}

/// What one message holds of the budget, until the share is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Arc<BudgetState>,
    memory_use: MemoryUse,
    held_bytes: usize,
    began_at: Instant,
    /// Lets the budget take the bytes back from the client that sends them.
    claim: Option<Claim>,
}

impl MemoryShare {
    /// Takes what a message needs that has grown to `bytes`. Returns `false` if it finds no room and must fail;
    /// the share holds its bytes until it is dropped.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.held_bytes);
        if added == 0 {
            return true;
        }
        self.held_bytes += added;
        self.budget.used.add(self.memory_use, added);
        if let Some(claim) = &mut self.claim {
            claim.grow(added);
        }
        let is_demanded = self.claim.as_ref().is_some_and(Claim::is_demanded);
        let has_room = !is_demanded
            && (self.budget.leaves_room(self.memory_use, self.held_bytes)
                || self.budget.make_room(self));
        if !has_room {
            self.budget.failures.fetch_add(1, Ordering::Relaxed);
        }
        has_room
    }

    /// Gives back what a message holds beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let removed = self.held_bytes.saturating_sub(bytes);
        self.held_bytes -= removed;
        self.budget.used.subtract(self.memory_use, removed);
        if let Some(claim) = &mut self.claim {
            claim.shrink(removed);
        }
    }

    /// Moves `bytes` of what the share holds to a share of its own, which no eviction takes back.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = bytes.min(self.held_bytes);
        if let Some(claim) = &mut self.claim {
            claim.shrink(moved);
        }
        self.held_bytes -= moved;
        Self {
            budget: self.budget.clone(),
            memory_use: self.memory_use,
            held_bytes: moved,
            began_at: self.began_at,
            claim: None,
        }
    }

    /// Returns `bytes` with the share, which is held until the last reference to the bytes is dropped.
    #[must_use]
    pub fn hold(mut self, bytes: Bytes) -> Bytes {
        self.claim = None;
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.used.subtract(self.memory_use, self.held_bytes);
    }
}

/// Bytes that count against the budget while they exist.
struct HeldBytes {
    bytes: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
