//! The limit and the queue in front of the back end beside this node.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tallybridge_config::settings::BackendSettings;
use tallybridge_core::{Criticality, LoadReport, Refusal, ServiceName, TemplateName};
use tallybridge_limits::{AdmissionQueue, QueueSettings};
use tallybridge_overload::{
    AdmissionThreshold, ConcurrencyLimit, LimitSettings, Ramp, ThresholdSettings,
};
use tokio::sync::oneshot;

use super::{executions::Execution, service_time::ServiceTime};
use crate::systems::record::Subject;

/// Answers a call that waits in the queue: the granted attempt, or why it was refused.
pub type AdmissionReply = oneshot::Sender<Result<tallybridge_core::AttemptId, Refusal>>;

/// A call that waits for a slot.
#[derive(Debug)]
pub struct Applicant {
    /// The row that the attempt gets once it is admitted.
    pub execution: Execution,
    /// Bounds of its template.
    pub bounds: TemplateBounds,
    /// Who waits.
    pub reply: AdmissionReply,
}

/// What a template says about slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TemplateBounds {
    /// Most calls at once; `None` for no bound of its own.
    pub concurrency_limit: Option<u16>,
    /// Slots kept for the template.
    pub reserve: u16,
}

/// Slots that one template holds.
#[derive(Debug, Clone, Copy, Default)]
pub struct TemplateSlots {
    /// Calls that run now.
    pub in_flight: u16,
    /// Slots kept for the template, by the newest call seen of it.
    pub reserve: u16,
}

/// Time for which a level that a nested call met counts; the same as at an entry node.
const DOWNSTREAM_FRESH: Duration = Duration::from_millis(250);

/// The strictest level that nested calls met lately, by the template of the call that made them.
#[derive(Debug, Default)]
pub struct DownstreamLevels {
    rows: BTreeMap<TemplateName, DownstreamLevel>,
}

#[derive(Debug, Clone, Copy)]
struct DownstreamLevel {
    admitted_from: Option<Criticality>,
    recorded: Instant,
}

impl DownstreamLevels {
    /// Takes in the level that came with the answer to a nested call.
    pub fn record(
        &mut self,
        template: &TemplateName,
        admitted_from: Option<Criticality>,
        now: Instant,
    ) {
        if admitted_from == Some(Criticality::Sheddable) {
            return;
        }
        let level = DownstreamLevel {
            admitted_from,
            recorded: now,
        };
        self.rows.insert(template.clone(), level);
    }

    /// The level for a template; every class is admitted when nothing was met lately.
    #[must_use]
    pub fn admitted_from(&self, template: &TemplateName, now: Instant) -> Option<Criticality> {
        self.rows
            .get(template)
            .filter(|level| now.saturating_duration_since(level.recorded) < DOWNSTREAM_FRESH)
            .map_or(Some(Criticality::Sheddable), |level| level.admitted_from)
    }
}

/// The level that admits less; `None` admits nothing.
fn stricter(one: Option<Criticality>, other: Option<Criticality>) -> Option<Criticality> {
    Some(one?.max(other?))
}

/// Bounds of the queue. Callers wait some hundreds of milliseconds for a whole chain, so a call
/// that waited this long at one hop is better refused while there is time to try elsewhere.
const QUEUE: QueueSettings = QueueSettings {
    capacity: 64,
    target_delay: Duration::from_millis(100),
    interval: Duration::from_millis(300),
};

/// Smallest concurrency limit: a back end is never shut off by its latency alone.
const MIN_LIMIT: u16 = 2;
/// Time over which a back end that has just come up is given its whole limit.
const COLD_START: Duration = Duration::from_secs(2);
/// Share of the limit that a cold back end gets at once.
const COLD_START_SHARE: f64 = 0.25;

/// Admission at one node.
pub struct Admission {
    /// Service of the back end; `None` when the node has none.
    pub service: Option<ServiceName>,
    /// How many calls may run at once.
    pub limit: ConcurrencyLimit,
    /// Calls that wait.
    pub queue: AdmissionQueue<Applicant>,
    /// Which classes are admitted now.
    pub level: AdmissionThreshold,
    /// Slots by template.
    pub templates: BTreeMap<TemplateName, TemplateSlots>,
    /// What the services that the back end calls admit.
    pub downstream: DownstreamLevels,
    /// How long calls take at the back end.
    pub service_time: ServiceTime,
    /// Calls taken out of the queue without a slot that are not in the decision log yet.
    pub evicted: Vec<Evicted>,
}

/// A call that waited and was refused.
#[derive(Debug, Clone)]
pub struct Evicted {
    /// The request.
    pub subject: Subject,
    /// Why.
    pub refusal: Refusal,
}

impl Admission {
    /// Admission in front of a back end that is taken to be cold.
    #[must_use]
    pub fn new(backend: Option<&BackendSettings>, now: Instant) -> Self {
        let settings = backend.map_or_else(LimitSettings::default, |backend| LimitSettings {
            initial: backend.initial_limit,
            min: MIN_LIMIT,
            max: backend.max_connections,
        });
        let mut limit = ConcurrencyLimit::new(settings);
        limit.start_ramp(Ramp::new(now, COLD_START, COLD_START_SHARE), now);
        Self {
            service: backend.map(|backend| backend.service.clone()),
            limit,
            queue: AdmissionQueue::new(QUEUE),
            level: AdmissionThreshold::new(ThresholdSettings::default()),
            templates: BTreeMap::new(),
            downstream: DownstreamLevels::default(),
            service_time: ServiceTime::default(),
            evicted: Vec::new(),
        }
    }

    /// Notes that a call that waited is refused, for the decision log.
    pub fn note_evicted(&mut self, execution: &Execution, refusal: &Refusal) {
        self.evicted.push(Evicted {
            subject: Subject::of_execution(execution),
            refusal: refusal.clone(),
        });
    }

    /// The load to report on an answer to a call of a template. The level is the strictest of this
    /// back end's own and of those that its nested calls met, so that an entry node refuses early
    /// what a deep hop would refuse late (DAGOR, SoCC 2018).
    #[must_use]
    pub fn load_report(&self, template: &TemplateName, leaving: bool, now: Instant) -> LoadReport {
        LoadReport {
            in_flight: self.limit.in_flight(),
            limit: self.limit.limit(),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            admitted_from: stricter(
                self.level.admitted_from(),
                self.downstream.admitted_from(template, now),
            ),
            leaving,
        }
    }
}
