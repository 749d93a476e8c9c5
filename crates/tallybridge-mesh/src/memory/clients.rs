//! The connections of clients, and which of them are closed when they take too much.
//!
//! Rule: when the budget has no room, the client that holds the most bytes for the longest time loses them, by the
//! product of both. When a listener has as many connections as it may, the one that has done nothing for the
//! longest time is closed: first those that are closing, then those without a request, then those in the middle
//! of sending one. A connection whose request runs is not closed for another.
//!
//! Inputs: what each connection does, since when, and how many bytes it could give up. Output: the connection to
//! close. Guards against clients that take all memory or descriptors by staying.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::budget::{BudgetState, BytesByUse, MemoryBudget, MemoryUse, holding_cost};

/// What a connection does, in the order in which connections are closed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// The last response has been written.
    Closing,
    /// No request has begun.
    Idle,
    /// A request is being read.
    Reading,
    /// A request runs, or its response is written.
    Busy,
}

impl Activity {
    const ALL: [Self; 4] = [Self::Closing, Self::Idle, Self::Reading, Self::Busy];
}

/// A request to a connection.
#[derive(Debug, Default)]
struct Demand {
    is_set: AtomicBool,
    set: Notify,
}

impl Demand {
    fn set(&self) {
        self.is_set.store(true, Ordering::Relaxed);
        self.set.notify_one();
    }

    fn clear(&self) {
        self.is_set.store(false, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }

    async fn wait(&self) {
        while !self.is_set() {
            self.set.notified().await;
        }
    }
}

/// All connections of clients of a node.
#[derive(Debug, Default)]
pub(super) struct ClientTable {
    states: Mutex<HashMap<u64, Arc<ClientState>>>,
    next_number: AtomicU64,
    evictions_for_memory: AtomicU64,
}

#[derive(Debug)]
struct ClientState {
    number: u64,
    /// Distinguishes listeners: the address of their counter.
    listener: usize,
    created_at: Instant,
    activity: AtomicU8,
    /// When the activity began, in milliseconds since `created_at`.
    active_since_ms: AtomicU64,
    /// When the client began to hold bytes, in milliseconds since `created_at`.
    holding_since_ms: AtomicU64,
    /// Bytes that the connection gives up when the budget needs them.
    claimed: BytesByUse,
    /// The budget needs what the client holds.
    memory_demand: Demand,
    /// The listener needs the connection for another client.
    connection_demand: Demand,
}

impl ClientTable {
    fn states(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientState>>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn evictions_for_memory(&self) -> u64 {
        self.evictions_for_memory.load(Ordering::Relaxed)
    }

    /// Evicts the client, other than `except`, whose bytes of the given uses cost the most, if they cost more than
    /// `min_cost`. Adds its bytes to `leaving`. Returns `false` if there is none.
    pub(super) fn evict_for_memory(
        &self,
        leaving: &BytesByUse,
        uses: &[MemoryUse],
        min_cost: u128,
        except: Option<u64>,
    ) -> bool {
        let states = self.states();
        let candidates = states
            .values()
            .filter(|state| !state.memory_demand.is_set() && Some(state.number) != except);
        let costs = candidates.map(|state| (state.cost(uses), state));
        let Some((_, state)) = costs
            .filter(|(cost, _)| *cost > min_cost)
            .max_by_key(|(cost, _)| *cost)
        else {
            return false;
        };
        for each in MemoryUse::ALL {
            leaving.add(each, state.claimed.get(each));
        }
        state.memory_demand.set();
        self.evictions_for_memory.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Evicts a connection of a listener. Returns `false` if all are busy.
    fn evict_for_connection(&self, listener: usize) -> bool {
        let states = self.states();
        let candidates = states.values().filter(|state| {
            state.listener == listener
                && !state.connection_demand.is_set()
                && state.activity() != Activity::Busy
        });
        let Some(state) = candidates.min_by_key(|state| (state.activity(), state.active_since()))
        else {
            return false;
        };
        state.connection_demand.set();
        true
    }
}

impl ClientState {
    fn activity(&self) -> Activity {
        Activity::ALL[usize::from(self.activity.load(Ordering::Relaxed))]
    }

    fn active_since(&self) -> Instant {
        self.created_at + Duration::from_millis(self.active_since_ms.load(Ordering::Relaxed))
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.created_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn cost(&self, uses: &[MemoryUse]) -> u128 {
        let bytes = uses.iter().map(|each| self.claimed.get(*each)).sum();
        let since = self.holding_since_ms.load(Ordering::Relaxed);
        holding_cost(
            bytes,
            Duration::from_millis(self.age_ms().saturating_sub(since)),
        )
    }
}

/// The clients of one listener. Clones share the limit.
#[derive(Debug, Clone)]
pub struct ListenerClients {
    budget: Arc<BudgetState>,
    /// Connections that are open and not evicted for another.
    count: Arc<AtomicUsize>,
    max_connections: usize,
}

impl ListenerClients {
    pub(super) fn new(budget: Arc<BudgetState>, max_connections: usize) -> Self {
        Self {
            budget,
            count: Arc::default(),
            max_connections,
        }
    }

    /// Adds a connection, and closes another one if the listener has too many. Returns `None` if all of them are
    /// busy; the new connection must then be closed.
    #[must_use]
    pub fn admit(&self) -> Option<Client> {
        let listener = Arc::as_ptr(&self.count) as usize;
        let clients = &self.budget.clients;
        let is_full = self.count.load(Ordering::Relaxed) >= self.max_connections;
        if is_full && !clients.evict_for_connection(listener) {
            return None;
        }
        if !is_full {
            self.count.fetch_add(1, Ordering::Relaxed);
        }
        let number = clients.next_number.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ClientState {
            number,
            listener,
            created_at: Instant::now(),
            activity: AtomicU8::new(Activity::Idle as u8),
            active_since_ms: AtomicU64::new(0),
            holding_since_ms: AtomicU64::new(0),
            claimed: BytesByUse::default(),
            memory_demand: Demand::default(),
            connection_demand: Demand::default(),
        });
        clients.states().insert(number, state.clone());
        Some(Client {
            claims: ClaimSource {
                budget: self.budget.clone(),
                state,
            },
            count: self.count.clone(),
        })
    }
}

/// One connection of a client, until it is dropped.
#[derive(Debug)]
pub struct Client {
    claims: ClaimSource,
    count: Arc<AtomicUsize>,
}

impl Client {
    /// Records what the connection does now.
    pub fn set_activity(&self, activity: Activity) {
        let state = &self.claims.state;
        if state.activity.swap(activity as u8, Ordering::Relaxed) != activity as u8 {
            state
                .active_since_ms
                .store(state.age_ms(), Ordering::Relaxed);
        }
    }

    /// Waits until the connection must give up the bytes that it claims.
    pub async fn memory_demanded(&self) {
        self.claims.state.memory_demand.wait().await;
    }

    /// Records that the connection has given up all that it claimed.
    pub fn meet_memory_demand(&self) {
        self.claims.state.memory_demand.clear();
    }

    /// Waits until the connection must be closed for another one.
    pub async fn connection_demanded(&self) {
        self.claims.state.connection_demand.wait().await;
    }

    /// Returns the bytes of one use that the connection gives up when the budget needs them.
    #[must_use]
    pub fn claimed_bytes(&self, memory_use: MemoryUse) -> usize {
        self.claims.state.claimed.get(memory_use)
    }

    /// Returns the budget that the connection shares.
    #[must_use]
    pub fn budget(&self) -> MemoryBudget {
        MemoryBudget::of(self.claims.budget.clone())
    }

    /// Returns what creates claims of this connection.
    #[must_use]
    pub const fn claims(&self) -> &ClaimSource {
        &self.claims
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let ClaimSource { budget, state } = &self.claims;
        budget.clients.states().remove(&state.number);
        // The connection that replaces this one has taken over its place.
        if !state.connection_demand.is_set() {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Creates claims of one connection, also where its requests run.
#[derive(Debug, Clone)]
pub struct ClaimSource {
    budget: Arc<BudgetState>,
    state: Arc<ClientState>,
}

impl ClaimSource {
    /// Records bytes that the connection gives up when the budget needs them.
    #[must_use]
    pub fn claim(&self, memory_use: MemoryUse, bytes: usize) -> Claim {
        let mut claim = Claim {
            source: self.clone(),
            memory_use,
            bytes: 0,
        };
        claim.grow(bytes);
        claim
    }
}

/// Bytes that a connection gives up when the budget needs them, until the claim is dropped.
#[derive(Debug)]
pub struct Claim {
    source: ClaimSource,
    memory_use: MemoryUse,
    bytes: usize,
}

impl Claim {
    pub(super) fn client(&self) -> u64 {
        self.source.state.number
    }

    /// Returns whether the connection must give up the bytes.
    pub(super) fn is_demanded(&self) -> bool {
        self.source.state.memory_demand.is_set()
    }

    pub(super) fn grow(&mut self, bytes: usize) {
        let ClaimSource { budget, state } = &self.source;
        if state.claimed.total() == 0 {
            let now_ms = state.age_ms();
            state.holding_since_ms.store(now_ms, Ordering::Relaxed);
        }
        self.bytes += bytes;
        state.claimed.add(self.memory_use, bytes);
        if state.memory_demand.is_set() {
            budget.leaving.add(self.memory_use, bytes);
        }
    }

    pub(super) fn shrink(&mut self, bytes: usize) {
        let ClaimSource { budget, state } = &self.source;
        self.bytes -= bytes;
        state.claimed.subtract(self.memory_use, bytes);
        if state.memory_demand.is_set() {
            budget.leaving.subtract(self.memory_use, bytes);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
