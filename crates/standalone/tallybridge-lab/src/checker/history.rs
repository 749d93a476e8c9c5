//! All that callers and back ends recorded in one run, indexed by request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use tallybridge_config::{CallPolicy, Document};

use crate::{
    fault::FaultRecords,
    load::RequestRecord,
    scenario::{ChainCall, Scenario},
    standin::backend::Execution,
};

/// Calls of a chain by position.
type Chain = BTreeMap<String, ChainCall>;

/// The records of one run.
#[derive(Debug)]
pub struct History {
    /// Scenario that was run.
    pub scenario: Arc<Scenario>,
    /// What callers recorded, by request number.
    pub requests: Vec<RequestRecord>,
    /// What back ends recorded.
    pub executions: Vec<Execution>,
    /// What the lab wrote down of its faults.
    pub faults: FaultRecords,
    /// Number of entries.
    pub entries: usize,
    document: Document,
    chains: BTreeMap<(usize, usize), Chain>,
    executions_by_request: HashMap<u64, Vec<usize>>,
    request_index: HashMap<u64, usize>,
}

impl History {
    /// A history of these records.
    #[must_use]
    pub fn new(
        scenario: Arc<Scenario>,
        requests: Vec<RequestRecord>,
        mut executions: Vec<Execution>,
        faults: FaultRecords,
    ) -> Self {
        executions.sort_by_key(|execution| execution.arrived_us);
        let document = scenario.document();
        let mut chains = BTreeMap::new();
        for (kind_index, kind) in scenario.kind.iter().enumerate() {
            for (tenant_index, tenant) in scenario.tenants.iter().enumerate() {
                let chain = scenario.chain(&document, kind, tenant);
                chains.insert((kind_index, tenant_index), chain);
            }
        }
        let mut executions_by_request: HashMap<u64, Vec<usize>> = HashMap::new();
        for (index, execution) in executions.iter().enumerate() {
            executions_by_request
                .entry(execution.place.request)
                .or_default()
                .push(index);
        }
        let request_index = requests
            .iter()
            .enumerate()
            .map(|(index, request)| (request.request, index))
            .collect();
        Self {
            entries: scenario.backend_count(),
            scenario,
            requests,
            executions,
            faults,
            document,
            chains,
            executions_by_request,
            request_index,
        }
    }

    /// Executions of a request, in the order of their arrival.
    pub fn executions_of(&self, request: u64) -> impl Iterator<Item = &Execution> {
        self.executions_by_request
            .get(&request)
            .into_iter()
            .flatten()
            .map(|index| &self.executions[*index])
    }

    /// What the caller of a request recorded.
    #[must_use]
    pub fn request(&self, request: u64) -> Option<&RequestRecord> {
        self.request_index
            .get(&request)
            .map(|index| &self.requests[*index])
    }

    /// The calls that a request makes.
    #[must_use]
    pub fn chain(&self, request: &RequestRecord) -> &Chain {
        &self.chains[&(request.kind, request.tenant)]
    }

    /// How the templates treat the root call of a request.
    #[must_use]
    pub fn root_policy(&self, request: &RequestRecord) -> Option<CallPolicy> {
        let kind = &self.scenario.kind[request.kind];
        let endpoint = self.scenario.service(&kind.service)?.endpoint(&kind.path)?;
        self.document.policy(
            &self.scenario.tenants[request.tenant],
            &kind.service,
            &endpoint.method,
            &format!("/{}", kind.path),
        )
    }

    /// The history of one request, as lines of JSON in the order of time.
    #[must_use]
    pub fn lines_of(&self, request: u64) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(record) = self.request(request) {
            let kind = &self.scenario.kind[record.kind].name;
            lines.push((record.intended_us, format!("intended {kind}")));
            for send in &record.sends {
                lines.push((send.sent_us, to_line("sent", send)));
            }
        }
        for execution in self.executions_of(request) {
            lines.push((execution.arrived_us, to_line("executed", execution)));
        }
        lines.sort();
        lines
            .into_iter()
            .map(|(at_us, line)| format!("{at_us} {line}"))
            .collect()
    }
}

fn to_line(what: &str, record: &impl serde::Serialize) -> String {
    let json = serde_json::to_string(record).unwrap_or_default();
    format!("{what} {json}")
}
