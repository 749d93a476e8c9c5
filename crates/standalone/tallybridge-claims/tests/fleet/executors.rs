//! What executors and callers do.

use tallybridge_claims::{ClaimRound, QueryRound, Verdict};
use tallybridge_core::AttemptId;
use tallybridge_wire::Message;

use super::{
    Fleet, PARTITION, PATIENCE_MS,
    attempt::{Attempt, Phase, answer},
    pick,
};

impl Fleet {
    /// A caller sends a request to a node that has a slot for it, or has none and refuses it.
    pub fn call(&mut self, node: usize, key: usize, refused: bool) {
        let (index, key) = (self.node(node), self.keys[key % self.keys.len()]);
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
            deadline_unix_ms: self.clock(index) + PATIENCE_MS,
            phase,
        };
        self.post(executor, Some(id), attempt.pending());
        self.attempts.push(attempt);
    }

    /// A call that goes through at once if it can, while messages to one node are held up.
    pub fn call_through(&mut self, node: usize, key: usize, held_up: usize) {
        let known = self.attempts.len();
        self.call(node, key, false);
        if self.attempts.len() == known {
            return;
        }
        let (id, executor) = (self.attempts[known].id, self.attempts[known].executor);
        let held_up = self.nodes[self.node(held_up)].id;
        while let Some(position) = self.pool.iter().position(|one| {
            one.attempt == Some(id)
                && (one.to != held_up || one.to == executor)
                && self.is_awake(one)
        }) {
            self.deliver(position);
        }
        self.run_attempt(known);
    }

    /// The attempts of running, unfrozen nodes that are in a phase.
    fn attempts_in(&self, phase: impl Fn(&Phase) -> bool) -> Vec<usize> {
        let is_awake = |attempt: &Attempt| {
            let index = self.index_of(attempt.executor);
            index.is_some_and(|index| !self.nodes[index].frozen)
        };
        let attempts = self.attempts.iter().enumerate();
        let matching = attempts.filter(|(_, one)| phase(&one.phase) && is_awake(one));
        matching.map(|(index, _)| index).collect()
    }

    fn choose(&self, selector: usize, phase: impl Fn(&Phase) -> bool) -> Option<usize> {
        let matching = self.attempts_in(phase);
        pick(matching.len(), selector).map(|position| matching[position])
    }

    /// An executor that was granted a run hands the call to its back end, or finds it too late.
    pub fn run(&mut self, selector: usize) {
        let granted = |phase: &Phase| matches!(phase, Phase::Claiming(round) if matches!(round.verdict(), Verdict::Granted { .. }));
        let Some(index) = self.choose(selector, granted) else {
            return;
        };
        self.run_attempt(index);
    }

    fn run_attempt(&mut self, index: usize) {
        let now = self.clock(self.index_of(self.attempts[index].executor).expect("awake"));
        let attempt = &mut self.attempts[index];
        let Phase::Claiming(round) = &attempt.phase else {
            return;
        };
        if !matches!(round.verdict(), Verdict::Granted { .. }) {
            return;
        }
        if round.may_run(attempt.deadline_unix_ms, now) {
            let number = self.oracle.run(&attempt.key, attempt.id);
            attempt.phase = Phase::Running(round.clone(), number);
        } else {
            self.refuse_attempt(index);
        }
    }

    /// A back end answers.
    pub fn finish(&mut self, selector: usize) {
        let running = |phase: &Phase| matches!(phase, Phase::Running(..));
        let Some(index) = self.choose(selector, running) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let Phase::Running(round, number) = std::mem::replace(&mut attempt.phase, Phase::Done)
        else {
            unreachable!("chosen as running");
        };
        let message = Message::ClaimFinish(round.finish(answer(number)));
        let messages = round.replicas().iter().map(|to| (*to, message.clone()));
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages.collect());
    }

    /// An executor gives up on an attempt that has not run.
    pub fn refuse(&mut self, selector: usize) {
        if let Some(index) = self.choose(selector, |phase| matches!(phase, Phase::Claiming(_))) {
            self.refuse_attempt(index);
        }
    }

    fn refuse_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let messages = attempt.refuse(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }

    /// An executor asks again, with its newest map when the replicas know a newer one.
    pub fn resend(&mut self, selector: usize) {
        let waiting = |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose(selector, waiting) else {
            return;
        };
        let executor = self.attempts[index].executor;
        let node = self.index_of(executor).expect("awake");
        let entry = self.nodes[node].map.entry(PARTITION).expect("had a map");
        let attempt = &mut self.attempts[index];
        if let Phase::Claiming(round) = &attempt.phase
            && let Verdict::StaleEpoch { current } = *round.verdict()
            && entry.epoch >= current
        {
            attempt.phase = Phase::Claiming(round.clone().restart(entry));
        }
        let (id, messages) = (attempt.id, attempt.pending());
        self.post(executor, Some(id), messages);
    }

    /// An executor stops waiting for a replica.
    pub fn fail(&mut self, selector: usize) {
        let waiting = |phase: &Phase| matches!(phase, Phase::Claiming(_) | Phase::Refused { .. });
        let Some(index) = self.choose(selector, waiting) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let messages = attempt.fail(&mut self.oracle);
        let (executor, id) = (attempt.executor, attempt.id);
        self.post(executor, Some(id), messages);
    }
}
