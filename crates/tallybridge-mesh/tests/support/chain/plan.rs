//! Description of a simulated fleet and its traffic.

use std::{sync::Arc, time::Duration};

#[derive(Debug, Clone)]
pub struct ServicePlan {
    pub name: Arc<str>,
    /// Relative speeds of the back ends, slowest first.
    pub speeds: Vec<f64>,
    /// Slots of each back end.
    pub slots: u32,
    /// Number of back ends that accept calls, counted from the slowest.
    pub available: usize,
    /// Factor on the work time of calls.
    pub slowdown: f64,
}

impl ServicePlan {
    pub fn new(name: &str, slots: u32, speeds: &[f64]) -> Self {
        Self {
            name: name.into(),
            speeds: speeds.to_vec(),
            slots,
            available: speeds.len(),
            slowdown: 1.0,
        }
    }
}

/// A call and its nested calls.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Index of the called service in [`ChainPlan::services`].
    pub service: usize,
    /// Time of the call's own work at speed 1.
    pub work: Duration,
    /// Time after which the caller stops waiting.
    pub timeout: Duration,
    /// Nested calls, made one after the other.
    pub calls: Vec<Self>,
}

impl CallPlan {
    pub fn new(service: usize, work_ms: u64, calls: Vec<Self>) -> Self {
        Self {
            service,
            work: Duration::from_millis(work_ms),
            timeout: Duration::from_millis(if calls.is_empty() { 700 } else { 2500 }),
            calls,
        }
    }

    pub fn with_timeout_ms(self, timeout_ms: u64) -> Self {
        Self {
            timeout: Duration::from_millis(timeout_ms),
            ..self
        }
    }

    pub fn repeated(self, count: usize) -> Vec<Self> {
        vec![self; count]
    }

    /// Returns the seconds of work at a service, in this call and its nested calls, at speed 1.
    pub fn work_seconds(&self, service: usize) -> f64 {
        let own = match self.service == service {
            true => self.work.as_secs_f64(),
            false => 0.0,
        };
        let nested: f64 = self
            .calls
            .iter()
            .map(|call| call.work_seconds(service))
            .sum();
        own + nested
    }
}

/// Traffic of one route.
#[derive(Debug, Clone)]
pub struct Demand {
    pub name: &'static str,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Requests per second.
    pub per_second: f64,
    /// First call of each request.
    pub call: CallPlan,
}

/// A fleet and its traffic.
#[derive(Debug, Clone)]
pub struct ChainPlan {
    pub services: Vec<ServicePlan>,
    pub demands: Vec<Demand>,
    /// Time after a start in which calls of a back end take twice as long.
    pub warm_up: Duration,
}

impl ChainPlan {
    /// Scales the traffic such that the offered load of a service is `relative_load` times the
    /// capacity of its `backends` slowest back ends.
    pub fn with_relative_load(
        mut self,
        service: usize,
        backends: usize,
        relative_load: f64,
    ) -> Self {
        let plan = &self.services[service];
        let speed: f64 = plan.speeds[..backends].iter().sum();
        let capacity = speed * f64::from(plan.slots);
        let demands = self.demands.iter();
        let offered = demands.map(|demand| demand.per_second * demand.call.work_seconds(service));
        let factor = relative_load * capacity / offered.sum::<f64>();
        for demand in &mut self.demands {
            demand.per_second *= factor;
        }
        self
    }
}
