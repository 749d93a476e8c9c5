//! The claims that one node holds for others.

use std::collections::BTreeMap;

use tallybridge_core::{AttemptId, NodeId, RequestKey};
use tallybridge_wire::{
    Message,
    claim::{
        AbstainReason, Claim, ClaimCopy, ClaimFinish, ClaimPage, ClaimQuery, ClaimQueryReply,
        ClaimRelease, ClaimReply, ClaimVote, PageContent, QueryVote, RunState,
    },
};

use crate::{
    map::PartitionMap,
    partition::PartitionId,
    plan::SyncReport,
    replica::PartitionReplica,
    runs::{HeldRun, HeldRuns},
};

/// What a node reports about its claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStatus {
    /// Remembered keys.
    pub keys: usize,
    /// Partitions of which this node is a replica.
    pub partitions: usize,
    /// Of these, the ones that it can't vote on yet.
    pub not_synchronised: usize,
    /// Of these, the ones that do not vote on part of the keys, since claims were lost.
    pub resets: usize,
}

/// The claims that one node holds as replica of some partitions.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    node: NodeId,
    capacity: usize,
    keys: usize,
    /// Greatest time seen. A clock that is set back must not open the window of forgotten keys.
    latest_unix_ms: u64,
    partitions: BTreeMap<PartitionId, PartitionReplica>,
}

impl ClaimTable {
    /// A table that remembers at most `capacity` keys, besides those that it copies on joining.
    #[must_use]
    pub fn new(node: NodeId, capacity: usize) -> Self {
        Self {
            node,
            capacity,
            keys: 0,
            latest_unix_ms: 0,
            partitions: BTreeMap::new(),
        }
    }

    /// Takes over a map. Entries that are not newer than what the table knows change nothing.
    pub fn apply(&mut self, map: &PartitionMap) {
        for (partition, entry) in map.iter() {
            let concerned = entry.replica(self.node).is_some();
            if concerned || self.partitions.contains_key(&partition) {
                let replica = self.partitions.entry(partition).or_default();
                replica.apply(self.node, entry);
            }
        }
    }

    /// Answers a message about claims, or `None` when there is nothing to answer. `source` is the
    /// node that sent it.
    pub fn handle(
        &mut self,
        source: NodeId,
        message: &Message,
        now_unix_ms: u64,
    ) -> Option<Message> {
        match message {
            Message::Claim(claim) => Some(Message::ClaimReply(self.claim(claim, now_unix_ms))),
            Message::ClaimQuery(query) => {
                Some(Message::ClaimQueryReply(self.query(query, now_unix_ms)))
            }
            Message::ClaimCopy(request) => Some(Message::ClaimPage(self.copy(request))),
            Message::ClaimRelease(release) => {
                self.release(release);
                None
            }
            Message::ClaimFinish(finish) => {
                self.finish(finish);
                None
            }
            Message::ClaimPage(page) => {
                self.take_page(source, page);
                None
            }
            _ => None,
        }
    }

    /// Votes on a claim.
    pub fn claim(&mut self, claim: &Claim, now_unix_ms: u64) -> ClaimReply {
        let key = claim.key.into();
        let vote = match self.abstains(&key, claim.epoch, now_unix_ms) {
            Some(reason) => ClaimVote::Abstains(reason),
            None if self.is_full_for(&key) => ClaimVote::Abstains(AbstainReason::Full),
            None => self.vote(key, claim.run, claim.attempt.into()),
        };
        ClaimReply {
            epoch: claim.epoch,
            run: claim.run,
            vote,
        }
    }

    fn vote(&mut self, key: RequestKey, run: u8, attempt: AttemptId) -> ClaimVote {
        self.update(key, |runs| match runs.claim(run, attempt) {
            Ok(()) => ClaimVote::Granted {
                other_runs: u8::try_from(runs.of_others(attempt).count()).unwrap_or(u8::MAX),
            },
            Err(held) => ClaimVote::Held {
                attempt: held.attempt.into(),
                state: held.state(),
            },
        })
    }

    /// Answers whether an attempt other than the asker holds a run.
    pub fn query(&mut self, query: &ClaimQuery, now_unix_ms: u64) -> ClaimQueryReply {
        let key = query.key.into();
        let vote = match self.abstains(&key, query.epoch, now_unix_ms) {
            Some(reason) => QueryVote::Abstains(reason),
            None => self.held_by_others(&key, query.attempt.into()),
        };
        ClaimQueryReply {
            epoch: query.epoch,
            vote,
        }
    }

    fn held_by_others(&self, key: &RequestKey, attempt: AttemptId) -> QueryVote {
        let replica = self.partitions.get(&PartitionId::of(key));
        let Some(runs) = replica.and_then(|replica| replica.runs(key)) else {
            return QueryVote::NothingHeld;
        };
        let states = runs.of_others(attempt).map(HeldRun::state);
        states
            .reduce(finished_first)
            .map_or(QueryVote::NothingHeld, QueryVote::Held)
    }

    /// Frees the runs of an attempt that will never run.
    pub fn release(&mut self, release: &ClaimRelease) {
        let key = RequestKey::from(release.key);
        if self.partitions.contains_key(&PartitionId::of(&key)) {
            self.update(key, |runs| runs.release(release.attempt.into()));
        }
    }

    /// Notes the answer of a run, for replay.
    pub fn finish(&mut self, finish: &ClaimFinish) {
        let key = RequestKey::from(finish.key);
        let replica = self.partitions.get(&PartitionId::of(&key));
        if !replica.is_some_and(PartitionReplica::is_member) {
            return;
        }
        let known = replica.is_some_and(|replica| replica.runs(&key).is_some());
        if known || self.keys < self.capacity {
            self.update(key, |runs| {
                runs.finish(finish.run, finish.attempt.into(), &finish.answer);
            });
        }
    }

    /// Answers a replica that joins.
    pub fn copy(&mut self, request: &ClaimCopy) -> ClaimPage {
        let partition = PartitionId(request.partition);
        let content = match self.partitions.get_mut(&partition) {
            Some(replica) => replica.copy(request),
            None => PageContent::Abstains(AbstainReason::NotMember),
        };
        ClaimPage {
            partition: request.partition,
            epoch: request.epoch,
            content,
        }
    }

    /// Takes over a page that answers one of [`copy_requests`](Self::copy_requests).
    pub fn take_page(&mut self, source: NodeId, page: &ClaimPage) {
        let Some(replica) = self.partitions.get_mut(&PartitionId(page.partition)) else {
            return;
        };
        let before = replica.keys();
        replica.take_page(source, page);
        self.keys = self.keys - before + replica.keys();
    }

    /// What to ask other replicas for, so as to be able to vote. Asked anew at each tick, and for a
    /// partition after each page that came for it.
    #[must_use]
    pub fn copy_requests(&self) -> Vec<(NodeId, ClaimCopy)> {
        let partitions = self.partitions.iter();
        let requests =
            partitions.flat_map(|(partition, replica)| replica.copy_requests(*partition));
        requests.collect()
    }

    /// The partitions that this node can vote on, for the next plan.
    pub fn sync_reports(&self) -> impl Iterator<Item = SyncReport> {
        let partitions = self.partitions.iter();
        let synchronised = partitions.filter(|(_, replica)| replica.is_synchronised());
        synchronised.map(|(partition, replica)| SyncReport {
            node: self.node,
            partition: *partition,
            epoch: replica.epoch(),
        })
    }

    /// Forgets keys that nobody may claim any more. Runs at each tick.
    pub fn expire(&mut self, now_unix_ms: u64) {
        let now_unix_ms = self.latest(now_unix_ms);
        for replica in self.partitions.values_mut() {
            let before = replica.keys();
            replica.expire(now_unix_ms);
            self.keys = self.keys - before + replica.keys();
        }
    }

    /// What the table holds.
    #[must_use]
    pub fn status(&self) -> ClaimStatus {
        let members = self
            .partitions
            .values()
            .filter(|replica| replica.is_member());
        let mut status = ClaimStatus {
            keys: self.keys,
            ..ClaimStatus::default()
        };
        for replica in members {
            status.partitions += 1;
            status.not_synchronised += usize::from(!replica.is_synchronised());
            let oldest_open = self.latest_unix_ms.saturating_sub(crate::WINDOW_MS);
            status.resets += usize::from(replica.reset_unix_ms() > oldest_open);
        }
        status
    }

    fn abstains(
        &mut self,
        key: &RequestKey,
        epoch: u64,
        now_unix_ms: u64,
    ) -> Option<AbstainReason> {
        let now_unix_ms = self.latest(now_unix_ms);
        match self.partitions.get(&PartitionId::of(key)) {
            Some(replica) => replica.abstains(key, epoch, now_unix_ms),
            None => Some(AbstainReason::NotMember),
        }
    }

    fn is_full_for(&self, key: &RequestKey) -> bool {
        let replica = self.partitions.get(&PartitionId::of(key));
        let known = replica.is_some_and(|replica| replica.runs(key).is_some());
        !known && self.keys >= self.capacity
    }

    fn update<T>(&mut self, key: RequestKey, change: impl FnOnce(&mut HeldRuns) -> T) -> T {
        let replica = self.partitions.entry(PartitionId::of(&key)).or_default();
        let before = replica.keys();
        let result = replica.update(key, change);
        self.keys = self.keys - before + replica.keys();
        result
    }

    fn latest(&mut self, now_unix_ms: u64) -> u64 {
        self.latest_unix_ms = self.latest_unix_ms.max(now_unix_ms);
        self.latest_unix_ms
    }
}

fn finished_first(one: RunState, other: RunState) -> RunState {
    match one {
        RunState::Finished(_) => one,
        RunState::Running => other,
    }
}
