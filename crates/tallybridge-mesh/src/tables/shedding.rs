//! Which fresh requests are refused at the entry, so that calls deeper down are not.
//!
//! A call that is refused deep in a chain wastes all the work above it. So each entry looks at how
//! full the services are that a request will need, directly or through the calls of others, and
//! lets in a share of the fresh requests that keeps the fullest of them just busy.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::{load::Load, peers::PeerStatus};
use crate::configuration::Route;

/// Calls, as a multiple of the limit, from which fresh requests of each priority are shed.
/// Requests of higher priority are shed last.
const SHED_FROM: [f64; 3] = [1.8, 1.4, 1.2];
/// Taken off for requests that go straight to the full service: nothing has been paid for them.
const DIRECT_FIRST: f64 = 0.1;
/// Least share that is let in, of requests of priority 0 and of others, while most requests are let
/// in: enough to see whether there is room again, and so that no kind of request starves.
const LEAST_SHARE: [f64; 2] = [0.3, 0.2];
/// Least share of a route as a part of what is let in of all requests. Where most of a service is
/// gone, fixed shares would let in more than it can do, and what fails deep down wastes the rest.
const LEAST_PART: f64 = 0.35;
/// Least share of any route.
const LEAST_OF_ALL: f64 = 0.03;
/// What is left of the counts of requests with each look: they are those of some three seconds.
const COUNT_DECAY: f64 = 0.97;
/// Fullness of a service of which no back end takes work.
const UNAVAILABLE: f64 = 100.0;
/// Share that is let in while a service that is needed is unavailable. The nodes tell when it is
/// back, so hardly any request is needed to find out.
const SHARE_UNAVAILABLE: f64 = 0.02;
/// Largest part of the share that is taken off at once.
const MAX_CUT: f64 = 0.08;
/// How much of the excess is taken off at once.
const CUT_GAIN: f64 = 0.12;
/// What is added to the share at once while there is room.
const RAISE: f64 = 0.03;
/// What is added at once while there is much room.
const FAST_RAISE: f64 = 0.08;
/// Fullness, as a share of the threshold, below which there is much room.
const MUCH_ROOM: f64 = 0.75;

/// Answers in a row that took no nested call, after which a route is taken to need its own service
/// only.
const LEAF_ANSWERS: u32 = 20;

#[derive(Debug)]
struct Share {
    service: Arc<str>,
    priority: u8,
    /// Answers in a row that took no nested call.
    leaf_answers: u32,
    admitted: f64,
    owed: f64,
}

/// What one service looks like from here.
#[derive(Debug, Default)]
struct ServiceView {
    limit: f64,
    calls: f64,
    called: HashSet<Arc<str>>,
}

/// All services, as the nodes beside their back ends tell.
#[derive(Debug, Default)]
pub struct ServiceViews(HashMap<Arc<str>, ServiceView>);

impl ServiceViews {
    /// Takes in the status of a node beside a back end of a service.
    pub fn add(&mut self, service: &Arc<str>, status: &PeerStatus, takes_work: bool) {
        let view = self.0.entry(service.clone()).or_default();
        view.called.extend(status.calls.iter().cloned());
        if takes_work {
            let Load {
                limit,
                in_flight,
                queued,
                ..
            } = status.load;
            view.limit += f64::from(limit);
            view.calls += f64::from(in_flight) + f64::from(queued);
        }
    }

    /// Calls of a service as a multiple of its limit.
    fn fullness(&self, service: &str) -> f64 {
        match self.0.get(service) {
            Some(view) if view.limit > 0.0 => view.calls / view.limit,
            _ => UNAVAILABLE,
        }
    }

    /// The fullness of the fullest service below one, that one left out.
    fn fullness_below(&self, service: &Arc<str>) -> f64 {
        let mut seen: HashSet<&Arc<str>> = HashSet::from([service]);
        let mut open = vec![service];
        let mut fullest = 0.0_f64;
        while let Some(next) = open.pop() {
            let Some(view) = self.0.get(next) else {
                continue;
            };
            for called in &view.called {
                if seen.insert(called) {
                    fullest = fullest.max(self.fullness(called));
                    open.push(called);
                }
            }
        }
        fullest
    }
}

/// Fresh requests of all routes, the newest counting most.
#[derive(Debug, Default)]
struct RecentRequests {
    came: f64,
    admitted: f64,
}

impl RecentRequests {
    fn add(&mut self, is_admitted: bool) {
        self.came += 1.0;
        if is_admitted {
            self.admitted += 1.0;
        }
    }

    fn decay(&mut self) {
        self.came *= COUNT_DECAY;
        self.admitted *= COUNT_DECAY;
    }

    /// The share that was let in.
    fn share(&self) -> f64 {
        if self.came < 1.0 {
            return 1.0;
        }
        self.admitted / self.came
    }
}

/// The share of fresh requests that is let in, for each route.
#[derive(Debug, Default)]
pub struct RootShedding {
    shares: HashMap<Arc<str>, Share>,
    recent: RecentRequests,
}

impl RootShedding {
    /// Whether a fresh request is let in. Those let in are spread evenly over those that come.
    pub fn admits(&mut self, route: &Route, service: &Arc<str>) -> bool {
        let share = self
            .shares
            .entry(route.name.clone())
            .or_insert_with(|| Share {
                service: service.clone(),
                priority: route.priority,
                leaf_answers: 0,
                admitted: 1.0,
                owed: 0.0,
            });
        share.service = service.clone();
        share.priority = route.priority;
        share.owed += share.admitted;
        let is_admitted = share.owed >= 1.0;
        if is_admitted {
            share.owed -= 1.0;
        }
        self.recent.add(is_admitted);
        is_admitted
    }

    /// A request of a route was answered well. The back ends of one service may call others for
    /// some routes only: those that call nobody need not be shed for what is full below.
    pub fn answered(&mut self, route: &Route, made_calls: bool) {
        if let Some(share) = self.shares.get_mut(&route.name) {
            share.leaf_answers = match made_calls {
                true => 0,
                false => share.leaf_answers.saturating_add(1),
            };
        }
    }

    /// Whether every fresh request is let in.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.shares.values().all(|share| share.admitted >= 1.0)
    }

    /// Adapts the shares to what the services look like.
    pub fn adapt(&mut self, services: &ServiceViews) {
        self.recent.decay();
        let of_all = (self.recent.share() * LEAST_PART).max(LEAST_OF_ALL);
        for share in self.shares.values_mut() {
            let threshold = SHED_FROM[usize::from(share.priority.min(2))];
            let least = LEAST_SHARE[usize::from(share.priority.min(1))].min(of_all);
            let below = if share.leaf_answers >= LEAF_ANSWERS {
                0.0
            } else {
                services.fullness_below(&share.service) / threshold
            };
            let direct = services.fullness(&share.service) / (threshold - DIRECT_FIRST);
            let excess = below.max(direct) - 1.0;
            share.admitted = if excess > UNAVAILABLE / 4.0 {
                SHARE_UNAVAILABLE
            } else if excess > 0.0 {
                let cut = (excess * CUT_GAIN).min(MAX_CUT);
                (share.admitted * (1.0 - cut)).max(least)
            } else if excess < MUCH_ROOM - 1.0 {
                (share.admitted + FAST_RAISE).min(1.0)
            } else {
                (share.admitted + RAISE).min(1.0)
            };
        }
    }
}
