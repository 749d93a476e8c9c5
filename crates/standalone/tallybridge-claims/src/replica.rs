//! One partition's claims at one replica.

use std::{collections::BTreeMap, ops::Bound};

use tallybridge_core::{NodeId, RequestKey};
use tallybridge_wire::claim::{AbstainReason, ClaimCopy, ClaimPage, CopiedRun, PageContent};

use crate::{
    key_window,
    map::{Origin, PartitionEntry, Replica},
    partition::{PartitionId, read_quorum},
    runs::HeldRuns,
};

/// Keys in one page of a copy. With answers of 4 KiB and their headers a page stays well below the
/// largest frame.
const PAGE_KEYS: usize = 128;

/// How far the copy from one previous replica has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyState {
    /// Asked for the page after this key; `None` for the first.
    After(Option<RequestKey>),
    Done,
}

/// One partition's claims at one replica, with what it may vote on.
#[derive(Debug, Clone, Default)]
pub struct PartitionReplica {
    /// Epoch of the entry that was applied last; 0 before the first.
    epoch: u64,
    /// Greatest epoch that a joining replica has asked for; epochs before it are over.
    fenced_before: u64,
    /// Whether this node is a replica in `epoch`.
    member: bool,
    /// Latest epoch for which its claims, with those of the other synchronised replicas, are all
    /// there are.
    whole_until: u64,
    reset_unix_ms: u64,
    /// Whether the epoch began with a reset, so that every survivor is copied from.
    salvages: bool,
    /// How many whole copies it takes to be synchronised.
    copies_needed: usize,
    copies: BTreeMap<NodeId, CopyState>,
    claims: BTreeMap<RequestKey, HeldRuns>,
}

impl PartitionReplica {
    /// Greatest epoch that this replica knows of.
    #[must_use]
    pub fn current_epoch(&self) -> u64 {
        self.epoch.max(self.fenced_before)
    }

    /// Epoch of the entry that was applied last.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this node is a replica.
    #[must_use]
    pub const fn is_member(&self) -> bool {
        self.member
    }

    /// Whether this node is a replica that has all it needs to vote.
    #[must_use]
    pub const fn is_synchronised(&self) -> bool {
        self.member && self.whole_until >= self.epoch
    }

    /// Keys dated before it are not voted on, milliseconds since the Unix epoch.
    #[must_use]
    pub const fn reset_unix_ms(&self) -> u64 {
        self.reset_unix_ms
    }

    /// Takes over an entry of the map. An entry that is not newer changes nothing.
    pub fn apply(&mut self, node: NodeId, entry: &PartitionEntry) {
        if entry.epoch <= self.epoch {
            return;
        }
        let replica = entry.replica(node);
        if replica.is_some_and(|replica| self.stays_synchronised(replica, entry)) {
            self.whole_until = entry.epoch;
        } else if entry
            .previous_replica(node)
            .is_some_and(|previous| self.stayed(previous))
        {
            self.whole_until = entry.epoch - 1;
        }
        self.member = replica.is_some();
        self.epoch = entry.epoch;
        self.reset_unix_ms = entry.reset_unix_ms;
        self.start_copies(node, entry);
    }

    /// Whether this node, as a replica of `entry`, needs no copy.
    fn stays_synchronised(&self, replica: &Replica, entry: &PartitionEntry) -> bool {
        match entry.origin {
            Origin::First => true,
            Origin::Copy => self.stayed(replica),
            Origin::Reset => replica.since_epoch < entry.epoch || entry.previous.is_empty(),
        }
    }

    /// Whether this node has been a synchronised replica ever since it joined, also in epochs
    /// whose entries it has not seen.
    fn stayed(&self, replica: &Replica) -> bool {
        self.is_synchronised() && self.epoch >= replica.since_epoch
    }

    fn start_copies(&mut self, node: NodeId, entry: &PartitionEntry) {
        self.copies.clear();
        self.salvages = entry.origin == Origin::Reset;
        self.copies_needed = match entry.origin {
            Origin::Reset => entry.previous.len(),
            Origin::First | Origin::Copy => read_quorum(entry.previous.len()),
        };
        if !self.member || self.is_synchronised() {
            return;
        }
        let sources = entry.previous.iter().filter(|source| source.node != node);
        let copies = sources.map(|source| (source.node, CopyState::After(None)));
        self.copies = copies.collect();
    }

    /// Why this replica does not vote on a key in an epoch, if it doesn't.
    #[must_use]
    pub fn abstains(
        &self,
        key: &RequestKey,
        epoch: u64,
        now_unix_ms: u64,
    ) -> Option<AbstainReason> {
        if epoch < self.current_epoch() {
            return Some(AbstainReason::StaleEpoch {
                current: self.current_epoch(),
            });
        }
        if epoch > self.epoch {
            return Some(AbstainReason::NotSynchronised);
        }
        if !self.member {
            return Some(AbstainReason::NotMember);
        }
        if !self.is_synchronised() {
            return Some(AbstainReason::NotSynchronised);
        }
        if !key_window::is_open(key, now_unix_ms) {
            return Some(AbstainReason::KeyOutsideWindow);
        }
        (key.issued_unix_ms < self.reset_unix_ms).then_some(AbstainReason::BeforeReset)
    }

    /// The held runs of a key, if any run is held.
    #[must_use]
    pub fn runs(&self, key: &RequestKey) -> Option<&HeldRuns> {
        self.claims.get(key)
    }

    /// Number of remembered keys.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.claims.len()
    }

    /// Changes the runs of a key, and forgets the key when none is held afterwards.
    pub fn update<T>(&mut self, key: RequestKey, change: impl FnOnce(&mut HeldRuns) -> T) -> T {
        let runs = self.claims.entry(key).or_default();
        let result = change(runs);
        if runs.is_empty() {
            self.claims.remove(&key);
        }
        result
    }

    /// Forgets keys that nobody may claim any more.
    pub fn expire(&mut self, now_unix_ms: u64) {
        let oldest_kept = key_window::forgotten_before(now_unix_ms);
        while let Some(oldest) = self.claims.first_entry() {
            if oldest.key().issued_unix_ms >= oldest_kept {
                return;
            }
            oldest.remove();
        }
    }

    /// Answers a replica that joins in the epoch of the request, and ends the epoch before.
    pub fn copy(&mut self, request: &ClaimCopy) -> PageContent {
        if let Some(reason) = self.cannot_vouch_before(request) {
            return PageContent::Abstains(reason);
        }
        self.fenced_before = self.fenced_before.max(request.epoch);
        let after = match request.continued {
            0 => Bound::Unbounded,
            _ => Bound::Excluded(RequestKey::from(request.after)),
        };
        let mut rest = self.claims.range((after, Bound::Unbounded));
        let runs: Vec<CopiedRun> = rest
            .by_ref()
            .take(PAGE_KEYS)
            .flat_map(|(key, runs)| runs.copied(*key))
            .collect();
        PageContent::Claims {
            more: u8::from(rest.next().is_some()),
            count: u32::try_from(runs.len()).unwrap_or(u32::MAX),
            runs,
        }
    }

    /// Why this replica's claims are of no use to a replica that joins, if they aren't.
    fn cannot_vouch_before(&self, request: &ClaimCopy) -> Option<AbstainReason> {
        if self.current_epoch() > request.epoch {
            return Some(AbstainReason::StaleEpoch {
                current: self.current_epoch(),
            });
        }
        let vouches = self.whole_until + 1 >= request.epoch;
        (!vouches && request.salvage == 0).then_some(AbstainReason::NotSynchronised)
    }

    /// What to ask the previous replicas for, so as to be able to vote.
    pub fn copy_requests(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (NodeId, ClaimCopy)> {
        self.copies.iter().filter_map(move |(source, state)| {
            let CopyState::After(after) = state else {
                return None;
            };
            let none = RequestKey {
                issued_unix_ms: 0,
                digest: 0,
            };
            let request = ClaimCopy {
                partition: partition.0,
                epoch: self.epoch,
                continued: u8::from(after.is_some()),
                after: after.unwrap_or(none).into(),
                salvage: u8::from(self.salvages),
            };
            Some((*source, request))
        })
    }

    /// Takes over a page from a previous replica.
    pub fn take_page(&mut self, source: NodeId, page: &ClaimPage) {
        if page.epoch != self.epoch || !self.copies.contains_key(&source) {
            return;
        }
        let PageContent::Claims { more, runs, .. } = &page.content else {
            return;
        };
        for run in runs {
            self.update(run.key.into(), |held| {
                held.merge(run.run, run.attempt.into(), &run.state);
            });
        }
        let state = match runs.last() {
            Some(last) if *more != 0 => CopyState::After(Some(last.key.into())),
            _ => CopyState::Done,
        };
        self.advance_copy(source, state);
        self.finish_copies();
    }

    /// Moves a copy on; a page that came twice or late never moves it back.
    fn advance_copy(&mut self, source: NodeId, state: CopyState) {
        let Some(current) = self.copies.get_mut(&source) else {
            return;
        };
        match (*current, state) {
            (CopyState::Done, _) => {}
            (CopyState::After(before), CopyState::After(after)) => {
                *current = CopyState::After(before.max(after));
            }
            (CopyState::After(_), CopyState::Done) => *current = CopyState::Done,
        }
    }

    fn finish_copies(&mut self) {
        let whole = self.copies.values();
        let whole = whole.filter(|state| **state == CopyState::Done).count();
        if whole >= self.copies_needed {
            self.whole_until = self.epoch;
            self.copies.clear();
        }
    }
}
