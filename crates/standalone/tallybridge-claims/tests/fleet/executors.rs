//! Events at executors and callers.

use tallybridge_claims::{ClaimRound, QueryRound, Verdict};
use tallybridge_core::AttemptId;
use tallybridge_wire::Message;

use super::{
    CALL_TIMEOUT_MS, Fleet, PARTITION,
    attempt::{Attempt, Phase, answer},
    pick,
};

impl Fleet {
    /// Sends a request to an executor, which starts a claim or, if `refused`, only a query.
    pub fn call(&mut self, node: usize, key: usize, refused: bool) {
        let (index, key) = (self.node_index(node), self.keys[key % self.keys.len()]);
        let executor = self.nodes[index].id;
        let Some(entry) = self.nodes[index].map.entry(PARTITION) else {
            return;
        };
        if self.nodes[index].frozen {
            return;
        }
        let id = AttemptId {
            instance: executor.instance,
            sequence: self.attempts.len() as u64 + 1,
        };
        let phase = if refused {
            Phase::Refused {
                query: QueryRound::new(entry, key, id),
                runs_before: self.oracle.runs(&key),
            }
        } else {
            Phase::Claiming(ClaimRound::new(entry, key, id, self.oracle.max_runs(&key)))
        };
        let attempt = Attempt {
            id,
            executor,
            key,
            deadline_unix_ms: self.clock(index) + CALL_TIMEOUT_MS,
            phase,
        };
        self.post(executor, Some(id), attempt.pending_requests());
        self.attempts.push(attempt);
    }

    /// Sends a call and delivers its messages at once, except those to the delayed node.
    pub fn call_with_delayed_node(&mut self, node: usize, key: usize, delayed_node: usize) {
        let attempt_index = self.attempts.len();
        self.call(node, key, false);
        if self.attempts.len() == attempt_index {
            return;
        }
        let (id, executor) = (
            self.attempts[attempt_index].id,
            self.attempts[attempt_index].executor,
        );
        let delayed_node = self.nodes[self.node_index(delayed_node)].id;
        while let Some(position) = self.in_flight.iter().position(|envelope| {
            envelope.attempt == Some(id)
                && (envelope.to != delayed_node || envelope.to == executor)
                && self.is_deliverable(envelope)
        }) {
            self.deliver(position);
        }
        self.run_attempt(attempt_index);
    }

    /// Returns the indices of attempts in a phase whose executors are running and not frozen.
    fn attempts_in_phase(&self, is_in_phase: impl Fn(&Phase) -> bool) -> Vec<usize> {
        let has_active_executor = |attempt: &Attempt| {
            let index = self.index_of(attempt.executor);
            index.is_some_and(|index| !self.nodes[index].frozen)
        };
        let attempts = self.attempts.iter().enumerate();
        let matching = attempts
            .filter(|(_, attempt)| is_in_phase(&attempt.phase) && has_active_executor(attempt));
        matching.map(|(index, _)| index).collect()
    }

    fn choose_attempt(
        &self,
        selector: usize,
        is_in_phase: impl Fn(&Phase) -> bool,
    ) -> Option<usize> {
        let matching = self.attempts_in_phase(is_in_phase);
        pick(matching.len(), selector).map(|position| matching[position])
    }

    /// Runs an attempt that was granted a run, or refuses it after its deadline or key window.
    pub fn run(&mut self, selector: usize) {
        let is_granted = |phase: &Phase| matches!(phase, Phase::Claiming(round) if matches!(round.verdict(), Verdict::Granted { .. }));
        let Some(index) = self.choose_attempt(selector, is_granted) else {
            return;
        };
        self.run_attempt(index);
    }

    fn run_attempt(&mut self, index: usize) {
        let now = self.clock(
            self.index_of(self.attempts[index].executor)
                .expect("the executor is running"),
        );
        let attempt = &mut self.attempts[index];
        let Phase::Claiming(round) = &attempt.phase else {
            return;
        };
        if !matches!(round.verdict(), Verdict::Granted { .. }) {
            return;
        }
        if round.may_run(attempt.deadline_unix_ms, now) {
            let answer_number = self.oracle.record_run(&attempt.key, attempt.id);
            attempt.phase = Phase::Running(round.clone(), answer_number);
        } else {
            self.refuse_attempt(index);
        }
    }

    /// Completes a running call and sends its answer to the replicas.
    pub fn finish(&mut self, selector: usize) {
        let is_running = |phase: &Phase| matches!(phase, Phase::Running(..));
        let Some(index) = self.choose_attempt(selector, is_running) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let Phase::Running(round, answer_number) =
            std::mem::replace(&mut attempt.phase, Phase::Done)
        else {
            unreachable!("the attempt was selected as running");
        };
        let message = Message::ClaimFinish(round.finish(answer(answer_number)));
        let messages = round.replicas().iter().map(|to| (*to, message.clone()));
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages.collect());
    }

    /// Refuses an attempt that has not run.
    pub fn refuse(&mut self, selector: usize) {
        if let Some(index) =
            self.choose_attempt(selector, |phase| matches!(phase, Phase::Claiming(_)))
        {
            self.refuse_attempt(index);
        }
    }

    fn refuse_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let messages = attempt.refuse(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }

    /// Sends the outstanding requests of an attempt again. Restarts a claim first if a replica
    /// reported a newer epoch and the executor's map has that epoch.
    pub fn resend(&mut self, selector: usize) {
        let is_waiting =
            |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose_attempt(selector, is_waiting) else {
            return;
        };
        let executor = self.attempts[index].executor;
        let node = self.index_of(executor).expect("the executor is running");
        let entry = self.nodes[node]
            .map
            .entry(PARTITION)
            .expect("the executor has a partition map");
        let attempt = &mut self.attempts[index];
        if let Phase::Claiming(round) = &attempt.phase
            && let Verdict::StaleEpoch { current } = *round.verdict()
            && entry.epoch >= current
        {
            attempt.phase = Phase::Claiming(round.clone().restart(entry));
        }
        let (id, messages) = (attempt.id, attempt.pending_requests());
        self.post(executor, Some(id), messages);
    }

    /// Marks one outstanding replica of an attempt as failed.
    pub fn fail(&mut self, selector: usize) {
        let is_waiting =
            |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose_attempt(selector, is_waiting) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let messages = attempt.fail(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }
}
