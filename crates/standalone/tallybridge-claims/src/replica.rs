//! The claims of one partition at one replica, and the conditions under which the replica votes.
//!
//! A replica votes only in the epoch of its applied map entry and only after it has copied all
//! earlier claims. When a replica answers a copy request, it stops voting in the previous epoch.

use std::{collections::BTreeMap, ops::Bound};

use tallybridge_core::{NodeId, RequestKey};
use tallybridge_wire::claim::{AbstainReason, ClaimCopy, ClaimPage, CopiedRun, PageContent};

use crate::{
    key_window,
    map::{Origin, PartitionEntry, Replica},
    partition::{PartitionId, read_quorum},
    runs::HeldRuns,
};

/// Maximum number of keys in one page of a copy; a page with answers of 4 KiB stays below the
/// maximum frame size.
const MAX_KEYS_PER_PAGE: usize = 128;

/// Progress of the copy from one previous replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyState {
    /// The next page starts after this key; `None` requests the first page.
    After(Option<RequestKey>),
    Done,
}

/// The claims of one partition on this node, with the epochs in which the node may vote.
#[derive(Debug, Clone, Default)]
pub struct PartitionReplica {
    /// Epoch of the last applied entry; 0 before the first.
    epoch: u64,
    /// Greatest epoch for which a joining replica has requested a copy. This replica no longer
    /// votes in earlier epochs.
    fenced_before_epoch: u64,
    member: bool,
    /// Latest epoch for which the claims here and at the other synchronised replicas together
    /// include every granted run.
    complete_until_epoch: u64,
    reset_unix_ms: u64,
    /// Whether the epoch started with a reset, which requires a copy from every survivor.
    copies_from_all_survivors: bool,
    /// Number of complete copies required to become synchronised.
    required_copies: usize,
    copies: BTreeMap<NodeId, CopyState>,
    claims: BTreeMap<RequestKey, HeldRuns>,
}

impl PartitionReplica {
    /// Returns the greatest epoch seen in an applied entry or a copy request.
    #[must_use]
    pub fn current_epoch(&self) -> u64 {
        self.epoch.max(self.fenced_before_epoch)
    }

    /// Returns the epoch of the last applied entry, or 0 before the first.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the last applied entry names this node as a replica.
    #[must_use]
    pub const fn is_member(&self) -> bool {
        self.member
    }

    /// Returns whether this node is a replica and has all claims that it needs to vote.
    #[must_use]
    pub const fn is_synchronised(&self) -> bool {
        self.member && self.complete_until_epoch >= self.epoch
    }

    /// Returns the issue time before which keys get no votes, in milliseconds since the Unix epoch;
    /// 0 if the partition was never reset.
    #[must_use]
    pub const fn reset_unix_ms(&self) -> u64 {
        self.reset_unix_ms
    }

    /// Applies an entry of the map for this `node`. Ignores an entry that is not newer.
    pub fn apply(&mut self, node: NodeId, entry: &PartitionEntry) {
        if entry.epoch <= self.epoch {
            return;
        }
        let replica = entry.replica(node);
        if replica.is_some_and(|replica| self.stays_synchronised(replica, entry)) {
            self.complete_until_epoch = entry.epoch;
        } else if entry
            .previous_replica(node)
            .is_some_and(|previous| self.has_stayed_synchronised(previous))
        {
            self.complete_until_epoch = entry.epoch - 1;
        }
        self.member = replica.is_some();
        self.epoch = entry.epoch;
        self.reset_unix_ms = entry.reset_unix_ms;
        self.start_copies(node, entry);
    }

    /// Returns whether this node is synchronised in `entry` without a copy.
    fn stays_synchronised(&self, replica: &Replica, entry: &PartitionEntry) -> bool {
        match entry.origin {
            Origin::First => true,
            Origin::Copy => self.has_stayed_synchronised(replica),
            Origin::Reset => replica.since_epoch < entry.epoch || entry.previous.is_empty(),
        }
    }

    /// Returns whether this node has been a synchronised replica since it joined. The result also
    /// covers epochs whose entries this node has not seen, because `since_epoch` covers them.
    fn has_stayed_synchronised(&self, replica: &Replica) -> bool {
        self.is_synchronised() && self.epoch >= replica.since_epoch
    }

    fn start_copies(&mut self, node: NodeId, entry: &PartitionEntry) {
        self.copies.clear();
        self.copies_from_all_survivors = entry.origin == Origin::Reset;
        self.required_copies = match entry.origin {
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

    /// Returns the reason for not voting on a key in an epoch, or `None` if this replica votes.
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

    /// Returns the held runs of a key, or `None` if no run is held.
    #[must_use]
    pub fn runs(&self, key: &RequestKey) -> Option<&HeldRuns> {
        self.claims.get(key)
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.claims.len()
    }

    /// Changes the runs of a key, and removes the key if no run is held afterwards.
    pub fn update<T>(&mut self, key: RequestKey, change: impl FnOnce(&mut HeldRuns) -> T) -> T {
        let runs = self.claims.entry(key).or_default();
        let result = change(runs);
        if runs.is_empty() {
            self.claims.remove(&key);
        }
        result
    }

    /// Removes keys that no replica may grant any more.
    pub fn expire(&mut self, now_unix_ms: u64) {
        let oldest_kept = key_window::forgotten_before(now_unix_ms);
        while let Some(oldest) = self.claims.first_entry() {
            if oldest.key().issued_unix_ms >= oldest_kept {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns a page for a replica that joins in the requested epoch.
    ///
    /// Afterwards this replica no longer votes in earlier epochs, because the copy would lack any
    /// run granted later.
    pub fn copy(&mut self, request: &ClaimCopy) -> PageContent {
        if let Some(reason) = self.copy_refusal_reason(request) {
            return PageContent::Abstains(reason);
        }
        self.fenced_before_epoch = self.fenced_before_epoch.max(request.epoch);
        let after = match request.continued {
            0 => Bound::Unbounded,
            _ => Bound::Excluded(RequestKey::from(request.after)),
        };
        let mut remaining = self.claims.range((after, Bound::Unbounded));
        let runs: Vec<CopiedRun> = remaining
            .by_ref()
            .take(MAX_KEYS_PER_PAGE)
            .flat_map(|(key, runs)| runs.copied(*key))
            .collect();
        PageContent::Claims {
            more: u8::from(remaining.next().is_some()),
            count: u32::try_from(runs.len()).unwrap_or(u32::MAX),
            runs,
        }
    }

    /// Returns the reason for refusing a copy request, or `None` if the claims can be copied.
    fn copy_refusal_reason(&self, request: &ClaimCopy) -> Option<AbstainReason> {
        if self.current_epoch() > request.epoch {
            return Some(AbstainReason::StaleEpoch {
                current: self.current_epoch(),
            });
        }
        let is_complete = self.complete_until_epoch + 1 >= request.epoch;
        (!is_complete && request.salvage == 0).then_some(AbstainReason::NotSynchronised)
    }

    /// Returns the outstanding copy requests with the previous replicas to send them to.
    pub fn copy_requests(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (NodeId, ClaimCopy)> {
        self.copies.iter().filter_map(move |(source, state)| {
            let CopyState::After(after) = state else {
                return None;
            };
            let first_page_key = RequestKey {
                issued_unix_ms: 0,
                digest: 0,
            };
            let request = ClaimCopy {
                partition: partition.0,
                epoch: self.epoch,
                continued: u8::from(after.is_some()),
                after: after.unwrap_or(first_page_key).into(),
                salvage: u8::from(self.copies_from_all_survivors),
            };
            Some((*source, request))
        })
    }

    /// Merges a page from a previous replica. Ignores a page of another epoch or from a node that
    /// is not a copy source.
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

    /// Advances the progress of a copy; a duplicate or late page never moves it back.
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
        let completed = self.copies.values();
        let completed = completed.filter(|state| **state == CopyState::Done).count();
        if completed >= self.required_copies {
            self.complete_until_epoch = self.epoch;
            self.copies.clear();
        }
    }
}
