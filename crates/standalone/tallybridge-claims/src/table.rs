//! The claims that one node stores as a replica, and its replies to claim messages.
//!
//! The table limits the number of remembered keys and never lets its clock go back.

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

/// Counts that a node reports about its claim table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStatus {
    /// Number of remembered keys in all partitions.
    pub keys: usize,
    /// Number of partitions of which this node is a replica.
    pub partitions: usize,
    /// Number of these partitions in which this node can't vote yet.
    pub not_synchronised: usize,
    /// Number of these partitions in which a reset still excludes keys that are within the window.
    pub resets: usize,
}

/// The claims that one node stores as a replica of some partitions.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    node: NodeId,
    capacity: usize,
    keys: usize,
    /// Greatest time seen. A clock that is set back must not allow claims on forgotten keys.
    latest_unix_ms: u64,
    partitions: BTreeMap<PartitionId, PartitionReplica>,
}

impl ClaimTable {
    /// Creates a table that remembers at most `capacity` keys, not counting keys copied on joining.
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

    /// Applies the entries of a map that are newer than the entries in the table.
    pub fn apply(&mut self, map: &PartitionMap) {
        for (partition, entry) in map.iter() {
            let is_replica = entry.replica(self.node).is_some();
            if is_replica || self.partitions.contains_key(&partition) {
                let replica = self.partitions.entry(partition).or_default();
                replica.apply(self.node, entry);
            }
        }
    }

    /// Handles a claim message from the node `source` and returns the reply. Returns `None` for
    /// messages that need no reply or are not about claims.
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

    /// Votes on a claim: grants the run, names its holder, or abstains.
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

    /// Reports whether an attempt other than the one in the query holds a run of the key.
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
            .reduce(prefer_finished)
            .map_or(QueryVote::NothingHeld, QueryVote::Held)
    }

    /// Releases the runs of an attempt that will never run.
    pub fn release(&mut self, release: &ClaimRelease) {
        let key = RequestKey::from(release.key);
        if self.partitions.contains_key(&PartitionId::of(&key)) {
            self.update(key, |runs| runs.release(release.attempt.into()));
        }
    }

    /// Stores the answer of a run for replay, unless the key is new and the table is full.
    pub fn finish(&mut self, finish: &ClaimFinish) {
        let key = RequestKey::from(finish.key);
        let replica = self.partitions.get(&PartitionId::of(&key));
        if !replica.is_some_and(PartitionReplica::is_member) {
            return;
        }
        let is_known = replica.is_some_and(|replica| replica.runs(&key).is_some());
        if is_known || self.keys < self.capacity {
            self.update(key, |runs| {
                runs.finish(finish.run, finish.attempt.into(), &finish.answer);
            });
        }
    }

    /// Returns a page of claims for a replica that joins, or the reason for abstaining.
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

    /// Merges a page that answers one of the [`copy_requests`](Self::copy_requests).
    pub fn take_page(&mut self, source: NodeId, page: &ClaimPage) {
        let Some(replica) = self.partitions.get_mut(&PartitionId(page.partition)) else {
            return;
        };
        let before = replica.keys();
        replica.take_page(source, page);
        self.keys = self.keys - before + replica.keys();
    }

    /// Returns the copy requests that this node needs answered before it can vote, with their
    /// destinations. The node sends them at each tick and after each received page.
    #[must_use]
    pub fn copy_requests(&self) -> Vec<(NodeId, ClaimCopy)> {
        let partitions = self.partitions.iter();
        let requests =
            partitions.flat_map(|(partition, replica)| replica.copy_requests(*partition));
        requests.collect()
    }

    /// Returns a report for each partition in which this node can vote; the planner uses them.
    pub fn sync_reports(&self) -> impl Iterator<Item = SyncReport> {
        let partitions = self.partitions.iter();
        let synchronised = partitions.filter(|(_, replica)| replica.is_synchronised());
        synchronised.map(|(partition, replica)| SyncReport {
            node: self.node,
            partition: *partition,
            epoch: replica.epoch(),
        })
    }

    /// Removes keys that no replica may grant any more. The node calls this method at each tick.
    pub fn expire(&mut self, now_unix_ms: u64) {
        let now_unix_ms = self.advance_clock(now_unix_ms);
        for replica in self.partitions.values_mut() {
            let before = replica.keys();
            replica.expire(now_unix_ms);
            self.keys = self.keys - before + replica.keys();
        }
    }

    /// Returns the current counts. Resets are judged by the greatest time seen so far.
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
            let window_start_unix_ms = self.latest_unix_ms.saturating_sub(crate::WINDOW_MS);
            status.resets += usize::from(replica.reset_unix_ms() > window_start_unix_ms);
        }
        status
    }

    fn abstains(
        &mut self,
        key: &RequestKey,
        epoch: u64,
        now_unix_ms: u64,
    ) -> Option<AbstainReason> {
        let now_unix_ms = self.advance_clock(now_unix_ms);
        match self.partitions.get(&PartitionId::of(key)) {
            Some(replica) => replica.abstains(key, epoch, now_unix_ms),
            None => Some(AbstainReason::NotMember),
        }
    }

    fn is_full_for(&self, key: &RequestKey) -> bool {
        let replica = self.partitions.get(&PartitionId::of(key));
        let is_known = replica.is_some_and(|replica| replica.runs(key).is_some());
        !is_known && self.keys >= self.capacity
    }

    fn update<T>(&mut self, key: RequestKey, change: impl FnOnce(&mut HeldRuns) -> T) -> T {
        let replica = self.partitions.entry(PartitionId::of(&key)).or_default();
        let before = replica.keys();
        let result = replica.update(key, change);
        self.keys = self.keys - before + replica.keys();
        result
    }

    fn advance_clock(&mut self, now_unix_ms: u64) -> u64 {
        self.latest_unix_ms = self.latest_unix_ms.max(now_unix_ms);
        self.latest_unix_ms
    }
}

fn prefer_finished(first: RunState, second: RunState) -> RunState {
    match first {
        RunState::Finished(_) => first,
        RunState::Running => second,
    }
}
