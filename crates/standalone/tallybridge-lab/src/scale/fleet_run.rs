//! One fleet: start, rest, changes, leaves, deaths.

use std::{
    io,
    time::{Duration, Instant},
};

use super::{
    counting::Sent,
    fleet::Fleet,
    options::FleetOptions,
    summary::{FleetFigures, Spread, TrafficFigures},
    usage,
};

/// Longest time for all nodes to know all.
const MEET_LIMIT: Duration = Duration::from_secs(180);
/// Time for a fleet to come to rest.
const SETTLE: Duration = Duration::from_secs(10);
/// Longest time for an event to be known everywhere.
const EVENT_LIMIT: Duration = Duration::from_secs(60);
/// Descriptors that one change may take at each node: two links, both ends in this process.
const DESCRIPTORS_PER_CHANGE: usize = 4;

/// Measures one fleet.
///
/// # Errors
///
/// An error when an address can't be bound.
pub async fn measure_fleet(options: &FleetOptions) -> io::Result<FleetFigures> {
    let mut fleet = Fleet::start(options).await?;
    let mut figures = FleetFigures {
        nodes: options.nodes,
        cold_start: fleet.meet(MEET_LIMIT).await.map(|time| time.as_secs_f64()),
        ..FleetFigures::default()
    };
    tokio::time::sleep(SETTLE).await;
    let window = Window::open(&fleet);
    tokio::time::sleep(options.rest).await;
    figures.rest = window.close(&fleet);
    figures.memory_kib = memory_kib(options);
    figures.revision = time_revisions(&mut fleet, options).await;
    change_steadily(&mut fleet, options, &mut figures).await;
    figures.leave = time_leaves(&fleet, options).await;
    figures.death = time_deaths(&mut fleet, options).await;
    figures.wrongly_dead = fleet.wrongly_dead().await;
    Ok(figures)
}

fn memory_kib(options: &FleetOptions) -> f64 {
    usage::resident_bytes() as f64 / 1024.0 / options.nodes as f64
}

async fn time_revisions(fleet: &mut Fleet, options: &FleetOptions) -> Spread {
    let mut spreads = Vec::new();
    for _ in 0..options.revisions {
        fleet.change(0).await;
        spreads.push(fleet.time_revision(EVENT_LIMIT).await);
    }
    worst(&spreads)
}

async fn change_steadily(fleet: &mut Fleet, options: &FleetOptions, figures: &mut FleetFigures) {
    let window = Window::open(fleet);
    let mut timer = tokio::time::interval(options.steady_interval);
    for _ in 0..options.steady_revisions {
        if usage::free_descriptors() < DESCRIPTORS_PER_CHANGE * options.nodes {
            break;
        }
        timer.tick().await;
        fleet.change(0).await;
        figures.changes += 1;
    }
    figures.last_change = fleet.time_revision(EVENT_LIMIT).await;
    figures.changing = window.close(fleet);
    figures.memory_after_changes_kib = memory_kib(options);
    let opened: u64 = fleet.sent().iter().map(|sent| sent.streams).sum();
    figures.streams_opened = opened as f64 / options.nodes as f64;
    figures.links_after_changes = fleet.mean_links();
    let Some(idle) = options.idle else {
        return;
    };
    tokio::time::sleep(idle).await;
    figures.links_after_idle = Some(fleet.mean_links());
    figures.memory_after_idle_kib = Some(memory_kib(options));
}

async fn time_leaves(fleet: &Fleet, options: &FleetOptions) -> Spread {
    let mut spreads = Vec::new();
    for event in 0..options.leaves {
        let position = options.nodes - 1 - event;
        spreads.push(fleet.time_leave(position, EVENT_LIMIT).await);
    }
    worst(&spreads)
}

async fn time_deaths(fleet: &mut Fleet, options: &FleetOptions) -> Spread {
    let mut spreads = Vec::new();
    for event in 0..options.deaths {
        let position = options.nodes - 1 - options.leaves - event;
        spreads.push(fleet.time_death(position, EVENT_LIMIT).await);
    }
    worst(&spreads)
}

/// The greatest of each; `None` as soon as one event was not known in time.
fn worst(spreads: &[Spread]) -> Spread {
    let greatest = |times: Vec<Option<f64>>| {
        let times: Option<Vec<f64>> = times.into_iter().collect();
        times?.into_iter().reduce(f64::max)
    };
    Spread {
        p50: greatest(spreads.iter().map(|spread| spread.p50).collect()),
        max: greatest(spreads.iter().map(|spread| spread.max).collect()),
    }
}

/// A time over which traffic and processor time are counted.
struct Window {
    began: Instant,
    busy: Duration,
    sent: Vec<Sent>,
}

impl Window {
    fn open(fleet: &Fleet) -> Self {
        Self {
            began: Instant::now(),
            busy: usage::process_time(),
            sent: fleet.sent(),
        }
    }

    fn close(self, fleet: &Fleet) -> TrafficFigures {
        let seconds = self.began.elapsed().as_secs_f64();
        let busy = usage::process_time().saturating_sub(self.busy);
        let sent = fleet.sent();
        let nodes = sent.len() as f64;
        let rates = |count: fn(&Sent) -> u64| -> Vec<f64> {
            let pairs = sent.iter().zip(&self.sent);
            pairs
                .map(|(now, before)| (count(now) - count(before)) as f64 / seconds)
                .collect()
        };
        let mean = |count: fn(&Sent) -> u64| rates(count).iter().sum::<f64>() / nodes;
        let both = rates(|sent| sent.datagram_bytes + sent.stream_bytes);
        TrafficFigures {
            udp_bytes: mean(|sent| sent.datagram_bytes),
            udp_messages: mean(|sent| sent.datagrams),
            tcp_bytes: mean(|sent| sent.stream_bytes),
            tcp_messages: mean(|sent| sent.stream_writes),
            max_bytes: both.into_iter().fold(0.0, f64::max),
            cpu_micros: busy.as_secs_f64() * 1e6 / seconds / nodes,
        }
    }
}
