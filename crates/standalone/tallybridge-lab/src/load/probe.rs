//! Calls that measure the added latency: each goes straight to a back end and through an entry,
//! one right after the other, all along the run.

use std::{net::SocketAddr, time::Duration};

use tallybridge_core::header;
use tokio::time::Instant;

use crate::standin::backend::CallPlace;

/// Pause between two pairs of probes.
const PROBE_PERIOD: Duration = Duration::from_millis(25);

/// First request number of probes, above those of arrivals.
pub const FIRST_PROBE: u64 = 1 << 40;

/// Longest time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Which way a probe went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeRoute {
    /// Straight to a back end.
    Direct,
    /// Through an entry.
    Through,
}

/// One probe that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeRecord {
    /// Which way it went.
    pub route: ProbeRoute,
    /// When it was sent, in microseconds from the start of the first phase.
    pub offset_us: u64,
    /// Time until the whole answer, in microseconds.
    pub latency_us: u64,
}

/// Where probes go.
#[derive(Debug, Clone)]
pub struct Prober {
    /// Client.
    pub client: reqwest::Client,
    /// Service probed.
    pub service: String,
    /// Path probed.
    pub path: String,
    /// Tenant named.
    pub tenant: String,
    /// Addresses at which calls enter.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the service's back ends.
    pub backends: Vec<SocketAddr>,
}

impl Prober {
    /// Probes from `start` until `end`.
    pub async fn run(self, start: Instant, end: Instant) -> Vec<ProbeRecord> {
        let mut records = Vec::new();
        let mut ticks = tokio::time::interval_at(start, PROBE_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for number in 0.. {
            ticks.tick().await;
            if Instant::now() >= end {
                break;
            }
            self.probe_pair(number, start, &mut records).await;
        }
        records
    }

    async fn probe_pair(&self, number: usize, start: Instant, records: &mut Vec<ProbeRecord>) {
        let mut routes = [ProbeRoute::Direct, ProbeRoute::Through];
        if number % 2 == 1 {
            routes.reverse();
        }
        for route in routes {
            let sent = Instant::now();
            if self.probe(number, route).await {
                records.push(ProbeRecord {
                    route,
                    offset_us: micros(sent.saturating_duration_since(start)),
                    latency_us: micros(sent.elapsed()),
                });
            }
        }
    }

    async fn probe(&self, number: usize, route: ProbeRoute) -> bool {
        let place = CallPlace::root(&self.path, FIRST_PROBE + number as u64);
        let url = match route {
            ProbeRoute::Direct => {
                let backend = self.backends[number % self.backends.len()];
                format!("http://{backend}/{place}")
            }
            ProbeRoute::Through => {
                let entry = self.entries[number % self.entries.len()];
                format!("http://{entry}/call/{}/{place}", self.service)
            }
        };
        let answer = self
            .client
            .get(url)
            .header(header::TENANT, &self.tenant)
            .timeout(PROBE_TIMEOUT)
            .send()
            .await;
        match answer {
            Ok(answer) if answer.status().is_success() => answer.bytes().await.is_ok(),
            _ => false,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
