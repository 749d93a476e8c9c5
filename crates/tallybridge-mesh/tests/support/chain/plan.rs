//! What a fleet is made of, and what is asked of it.

use std::{sync::Arc, time::Duration};

/// A service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: Arc<str>,
    /// Speeds of its back ends, the slowest first.
    pub speeds: Vec<f64>,
    /// Slots of each.
    pub slots: u32,
    /// Back ends that take work.
    pub left: usize,
    /// Times as long that its calls take.
    pub slowed: f64,
}

impl ServicePlan {
    /// A service whose back ends have so many slots and these speeds.
    pub fn new(name: &str, slots: u32, speeds: &[f64]) -> Self {
        Self {
            name: name.into(),
            speeds: speeds.to_vec(),
            slots,
            left: speeds.len(),
            slowed: 1.0,
        }
    }
}

/// A call with the calls that it makes, one after the other.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Place of its service.
    pub service: usize,
    /// Time that it works at speed 1.
    pub work: Duration,
    /// Time in which its caller wants the answer.
    pub patience: Duration,
    /// The calls that it makes.
    pub calls: Vec<Self>,
}

impl CallPlan {
    /// A call that works for so many milliseconds and then makes calls.
    pub fn new(service: usize, work_ms: u64, calls: Vec<Self>) -> Self {
        Self {
            service,
            work: Duration::from_millis(work_ms),
            patience: Duration::from_millis(if calls.is_empty() { 700 } else { 2500 }),
            calls,
        }
    }

    /// The same call, answered in so many milliseconds or not at all.
    pub fn within(self, patience_ms: u64) -> Self {
        Self {
            patience: Duration::from_millis(patience_ms),
            ..self
        }
    }

    /// The same call so many times.
    pub fn times(self, count: usize) -> Vec<Self> {
        vec![self; count]
    }

    /// Seconds for which it holds slots of a service at speed 1, its own work alone.
    pub fn seconds_at(&self, service: usize) -> f64 {
        let own = match self.service == service {
            true => self.work.as_secs_f64(),
            false => 0.0,
        };
        let below: f64 = self.calls.iter().map(|call| call.seconds_at(service)).sum();
        own + below
    }
}

/// Requests of one route.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Name of the route.
    pub name: &'static str,
    /// Its priority; 0 is urgent.
    pub priority: u8,
    /// Requests a second.
    pub per_second: f64,
    /// What a request is.
    pub call: CallPlan,
}

/// A fleet and what is asked of it.
#[derive(Debug, Clone)]
pub struct ChainPlan {
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The requests.
    pub demands: Vec<Demand>,
    /// Time for which a back end that has started takes twice as long.
    pub cold: Duration,
}

impl ChainPlan {
    /// The same fleet with so much traffic that of a service of which so many back ends are left so
    /// many times as much is asked as these can do.
    pub fn asking(mut self, service: usize, left: usize, shortage: f64) -> Self {
        let plan = &self.services[service];
        let speed: f64 = plan.speeds[..left].iter().sum();
        let can_do = speed * f64::from(plan.slots);
        let asked = self.demands.iter();
        let asked = asked.map(|demand| demand.per_second * demand.call.seconds_at(service));
        let factor = shortage * can_do / asked.sum::<f64>();
        for demand in &mut self.demands {
            demand.per_second *= factor;
        }
        self
    }
}
