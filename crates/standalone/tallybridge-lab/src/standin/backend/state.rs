//! The state of a back end: slots, queue and what the lab has told it to do.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::Semaphore;

use super::{BackendSettings, Control, ExecutionLog, settings::EndpointSettings};

/// What the load endpoint tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Load {
    /// Calls that hold a slot.
    pub running: usize,
    /// Calls that wait for one.
    pub queued: usize,
}

/// What the handlers of one back end share.
#[derive(Debug)]
pub struct BackendState {
    /// Settings.
    pub settings: BackendSettings,
    /// Free slots.
    pub slots: Semaphore,
    /// Calls that wait for a slot.
    pub queued: AtomicUsize,
    /// Log of executions.
    pub log: ExecutionLog,
    /// Client for nested calls.
    pub client: reqwest::Client,
    control: Mutex<Control>,
    warm_at: Mutex<Instant>,
    random: Mutex<SmallRng>,
    load_samples: Mutex<VecDeque<(Instant, Load)>>,
}

/// Poisoning only says that another handler panicked; the values stay usable.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BackendState {
    /// A cold back end.
    #[must_use]
    pub fn new(settings: BackendSettings, log: ExecutionLog, client: reqwest::Client) -> Self {
        Self {
            slots: Semaphore::new(settings.slots),
            queued: AtomicUsize::new(0),
            log,
            client,
            control: Mutex::new(Control::default()),
            warm_at: Mutex::new(Instant::now() + Duration::from_millis(settings.cold_start_ms)),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            load_samples: Mutex::new(VecDeque::new()),
            settings,
        }
    }

    /// What the lab has told the back end to do.
    #[must_use]
    pub fn control(&self) -> Control {
        *lock(&self.control)
    }

    /// Follows what the lab says.
    pub fn set_control(&self, control: Control) {
        *lock(&self.control) = control;
    }

    /// Makes the back end cold again.
    pub fn cool(&self, now: Instant) {
        *lock(&self.warm_at) = now + Duration::from_millis(self.settings.cold_start_ms);
    }

    /// Draws how long the own work of a call takes now.
    #[must_use]
    pub fn draw_service_time(&self, endpoint: &EndpointSettings, now: Instant) -> Duration {
        let drawn_ms = endpoint.service_time.sample_ms(&mut *lock(&self.random));
        let cold_factor = if now < *lock(&self.warm_at) {
            self.settings.cold_factor
        } else {
            1.0
        };
        Duration::from_secs_f64(drawn_ms * cold_factor * self.control().slowdown / 1_000.0)
    }

    /// Takes a sample of the load and forgets those that are older than the lag.
    pub fn sample_load(&self, now: Instant) {
        let load = Load {
            running: self.settings.slots - self.slots.available_permits(),
            queued: self.queued.load(Ordering::Relaxed),
        };
        let lag = Duration::from_millis(self.settings.health_lag_ms);
        let mut samples = lock(&self.load_samples);
        samples.push_back((now, load));
        while samples.len() > 1 && now.duration_since(samples[1].0) >= lag {
            samples.pop_front();
        }
    }

    /// The load as the load endpoint tells it: an old one, or a lie.
    #[must_use]
    pub fn told_load(&self) -> Load {
        let idle = Load {
            running: 0,
            queued: 0,
        };
        if self.control().lying {
            return idle;
        }
        lock(&self.load_samples)
            .front()
            .map_or(idle, |(_, load)| *load)
    }
}
