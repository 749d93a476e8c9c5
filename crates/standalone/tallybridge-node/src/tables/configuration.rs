//! The configuration in force at this node.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use serde::Serialize;
use tallybridge_config::{CallPolicy, Document, PolicyIndex, Revision, RevisionRecord, Violation};
use tallybridge_core::{NodeId, ServiceName, TenantName};

/// Records kept for peers; one that is further behind gets the whole document.
const KEPT_RECORDS: usize = 1_024;
/// Records that a peer gets one by one; it checks the document after each, so a longer way costs
/// it more than the whole document does.
const MOST_SINGLE_RECORDS: usize = 64;
/// Members that are remembered as ahead of this node.
const MOST_AHEAD: usize = 16;

/// The newest revision that this node has, and the records that made it.
#[derive(Debug, Default)]
pub struct Configuration {
    document: Arc<Document>,
    policies: PolicyIndex,
    /// The last records up to the document's revision, without a gap.
    records: VecDeque<RevisionRecord>,
    refused: Option<Refused>,
    ahead: BTreeMap<NodeId, Revision>,
    /// When the store itself last said that there is nothing newer.
    store_confirmed: Option<Instant>,
    /// When a member that has nothing newer was last heard from.
    peer_confirmed: Option<Instant>,
}

/// The log past the revision in force, which breaks rules as far as it is known.
#[derive(Debug)]
struct Refused {
    document: Document,
    records: Vec<RevisionRecord>,
    report: RefusedRevision,
}

/// A revision that this node does not put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusedRevision {
    /// The revision.
    pub revision: Revision,
    /// The first rule that it breaks, with the value and what to do about it.
    pub reason: String,
}

/// What brings a peer up to date.
#[derive(Debug, Clone)]
pub enum ConfigurationUpdate {
    /// The records that it lacks, in order.
    Records(Vec<RevisionRecord>),
    /// The whole configuration.
    Snapshot(Arc<Document>),
}

/// For how long a node has had no word that its revision is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// By the store.
    pub by_store: Option<Instant>,
    /// By the store or by a member that has nothing newer.
    pub by_any: Option<Instant>,
}

impl Configuration {
    /// Applies records in order. A record that is not the next one is left out: an older one is
    /// in force already, and a gap is filled by the next fetch. So a node never goes back.
    ///
    /// A revision whose document breaks rules is not put in force. The node stays at the last one
    /// that breaks none until a later revision mends the document.
    ///
    /// Returns how many revisions were passed.
    pub fn apply(&mut self, records: &[RevisionRecord]) -> u64 {
        let before = self.revision();
        for record in records {
            self.apply_one(record);
        }
        self.revision().0 - before.0
    }

    fn apply_one(&mut self, record: &RevisionRecord) {
        let (mut document, mut passed) = match &self.refused {
            // What this node has refused may be ahead of good revisions that it lacks.
            Some(refused) if record.revision != self.revision().next() => {
                (refused.document.clone(), refused.records.clone())
            }
            _ => (Document::clone(&self.document), Vec::new()),
        };
        if document.apply(record).is_err() {
            return;
        }
        passed.push(record.clone());
        match document.check().first() {
            Some(violation) => self.refuse(document, passed, violation),
            None => self.put_in_force(document, passed),
        }
    }

    /// Takes a whole configuration over when its revision is greater than the one in force.
    pub fn apply_snapshot(&mut self, document: Document) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        match document.check().first() {
            Some(violation) => {
                self.refuse(document, Vec::new(), violation);
                false
            }
            None => {
                self.put_in_force(document, Vec::new());
                true
            }
        }
    }

    fn put_in_force(&mut self, document: Document, mut passed: Vec<RevisionRecord>) {
        let before = self.revision();
        passed.retain(|record| record.revision > before);
        let follows = passed
            .first()
            .is_some_and(|record| record.revision == before.next());
        if !follows {
            self.records.clear();
        }
        self.records.extend(passed);
        let surplus = self.records.len().saturating_sub(KEPT_RECORDS);
        self.records.drain(..surplus);
        self.policies = PolicyIndex::of(&document);
        self.document = Arc::new(document);
        let revision = self.revision();
        self.refused = self
            .refused
            .take()
            .filter(|refused| refused.document.revision > revision);
        self.ahead.retain(|_, ahead| *ahead > revision);
    }

    fn refuse(&mut self, document: Document, passed: Vec<RevisionRecord>, violation: &Violation) {
        // Records lead on from what is in force; a document that does not is kept for want of them.
        if passed.is_empty() && self.refused.is_some() {
            return;
        }
        let report = RefusedRevision {
            revision: document.revision,
            reason: format!("{violation}; {}", violation.mend),
        };
        tracing::error!(
            revision = report.revision.0,
            in_force = self.revision().0,
            reason = report.reason,
            "a configuration revision is refused; the last good one stays in force"
        );
        // Where the whole way is no longer kept, peers get the document instead.
        let surplus = passed.len().saturating_sub(KEPT_RECORDS);
        self.refused = Some(Refused {
            document,
            records: passed.into_iter().skip(surplus).collect(),
            report,
        });
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.document.revision
    }

    /// The revision that this node has seen and refused, if there is one.
    #[must_use]
    pub fn refused(&self) -> Option<&RefusedRevision> {
        self.refused.as_ref().map(|refused| &refused.report)
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.document)
    }

    /// Number of records kept for peers.
    #[must_use]
    pub fn kept_records(&self) -> usize {
        self.records.len()
    }

    /// What a peer at this revision needs.
    #[must_use]
    pub fn update_after(&self, revision: Revision) -> ConfigurationUpdate {
        let behind = self.revision().0.saturating_sub(revision.0);
        let behind = usize::try_from(behind).unwrap_or(usize::MAX);
        if behind > self.records.len().min(MOST_SINGLE_RECORDS) {
            return ConfigurationUpdate::Snapshot(self.document());
        }
        let first = self.records.len() - behind;
        ConfigurationUpdate::Records(self.records.range(first..).cloned().collect())
    }

    /// How a call is treated, or `None` when nothing covers it.
    #[must_use]
    pub fn policy(
        &self,
        tenant: &TenantName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<Arc<CallPolicy>> {
        self.policies
            .policy(&self.document, tenant, service, method, path)
            .map(Arc::new)
    }

    /// Whether the node has a configuration to serve from.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.revision() > Revision::default()
    }

    /// Takes in which revision a member has; `true` when it is ahead of this node.
    pub fn hear_peer(&mut self, node: NodeId, revision: Revision, now: Instant) -> bool {
        if revision <= self.revision() {
            if self.refused.is_none() {
                self.peer_confirmed = Some(now);
            }
            return false;
        }
        if self.ahead.len() < MOST_AHEAD || self.ahead.contains_key(&node) {
            self.ahead.insert(node, revision);
        }
        true
    }

    /// The members that are ahead of this node, as far as they are remembered.
    #[must_use]
    pub fn members_ahead(&self) -> Vec<NodeId> {
        self.ahead.keys().copied().collect()
    }

    /// Forgets that a member is ahead: it could not be asked. It is heard of again if it lives.
    pub fn forget_ahead(&mut self, node: NodeId) {
        self.ahead.remove(&node);
    }

    /// The store has said that there is nothing after this revision.
    pub fn confirm_by_store(&mut self, revision: Revision, now: Instant) {
        if revision == self.revision() && self.refused.is_none() {
            self.store_confirmed = Some(now);
        }
    }

    /// When this node last knew that its revision is the newest.
    #[must_use]
    pub fn confirmed(&self) -> Confirmed {
        Confirmed {
            by_store: self.store_confirmed,
            by_any: self.store_confirmed.max(self.peer_confirmed),
        }
    }
}
