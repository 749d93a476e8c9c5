//! Simulated network of member tables in virtual time.

#![allow(dead_code)]

pub mod network;
pub mod process;
pub mod truth;

pub use network::Network;
