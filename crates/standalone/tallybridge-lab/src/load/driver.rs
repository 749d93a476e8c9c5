//! Sends every arrival at its intended time and gathers what the callers recorded.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indicatif::ProgressBar;
use tokio::{task::JoinSet, time::Instant};

use super::{Arrival, ProbeRecord, RequestRecord, caller::Callers, probe::Prober};
use crate::{clock::unix_us, scenario::Scenario};

/// Drives the load of one run.
#[derive(Debug)]
pub struct Driver {
    callers: Arc<Callers>,
    prober: Option<Prober>,
}

/// What callers recorded.
#[derive(Debug, Clone, Default)]
pub struct LoadRecord {
    /// Start of the first phase, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// All root requests, by number.
    pub requests: Vec<RequestRecord>,
    /// Answered probes.
    pub probes: Vec<ProbeRecord>,
}

impl Driver {
    /// A driver of callers that enter at these addresses.
    ///
    /// # Errors
    ///
    /// No HTTP client can be made.
    pub fn new(
        scenario: Arc<Scenario>,
        entries: Vec<SocketAddr>,
        probe_backends: Vec<SocketAddr>,
    ) -> Result<Self, reqwest::Error> {
        let prober = match scenario
            .probe
            .as_deref()
            .and_then(|name| scenario.kind(name))
        {
            None => None,
            Some(kind) => Some(Prober {
                client: client()?,
                service: kind.service.to_string(),
                path: kind.path.clone(),
                tenant: scenario.tenants[0].to_string(),
                entries: entries.clone(),
                backends: probe_backends,
            }),
        };
        Ok(Self {
            callers: Arc::new(Callers {
                scenario,
                entries,
                client: client()?,
            }),
            prober,
        })
    }

    /// Sends all arrivals, the first phase starting at `start`.
    pub async fn run(
        self,
        arrivals: &[Arrival],
        start: Instant,
        progress: &ProgressBar,
    ) -> LoadRecord {
        let start_us = unix_us()
            + u64::try_from(start.saturating_duration_since(Instant::now()).as_micros())
                .unwrap_or_default();
        let end = start + Duration::from_secs_f64(self.callers.scenario.seconds());
        let mut calls = JoinSet::new();
        let mut probes = JoinSet::new();
        if let Some(prober) = self.prober {
            probes.spawn(prober.run(start, end));
        }
        for arrival in arrivals {
            let intended = start + arrival.at;
            tokio::time::sleep_until(intended).await;
            let callers = Arc::clone(&self.callers);
            let arrival = arrival.clone();
            let offset_us = u64::try_from(arrival.at.as_micros()).unwrap_or(u64::MAX);
            calls
                .spawn(async move { callers.call(&arrival, intended, start_us + offset_us).await });
            progress.set_position(offset_us / 1_000);
        }
        let mut requests = calls.join_all().await;
        requests.sort_by_key(|record| record.request);
        LoadRecord {
            start_us,
            requests,
            probes: probes.join_all().await.into_iter().flatten().collect(),
        }
    }
}

fn client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder().no_proxy().build()
}
