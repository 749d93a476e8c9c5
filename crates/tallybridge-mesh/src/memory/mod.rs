//! Bounds what a node holds for others: the bytes of requests and answers, and the connections of clients.
//!
//! The `budget` counts the bytes of a message from when they are read until they are written, wherever they
//! wait in between. `clients` knows the connections of each listener. When the budget is exhausted, it closes
//! those that hold much for long; when a listener has too many connections, it closes those that do nothing.

mod allocator;
mod budget;
mod clients;

pub use self::{
    allocator::return_freed_memory,
    budget::{MemoryBudget, MemoryShare, MemoryUse},
    clients::{Activity, Claim, ClaimSource, Client, ListenerClients},
};
