//! What becomes of messages in flight.

use tallybridge_wire::{
    Message,
    claim::{ClaimPage, PageContent},
};

use super::{Envelope, Fleet, SETTLE_STEPS, pick};

impl Fleet {
    /// Delivers a message in flight; one to a frozen node waits, one to a dead one is lost.
    pub fn deliver(&mut self, selector: usize) {
        let Some(position) = pick(self.pool.len(), selector) else {
            return;
        };
        let to = self.pool[position].to;
        match self.index_of(to) {
            Some(index) if self.nodes[index].frozen => {}
            Some(index) => {
                let envelope = self.pool.remove(position);
                self.receive(index, envelope);
            }
            None => {
                self.pool.remove(position);
            }
        }
    }

    /// Delivers what is in flight to one node.
    pub fn deliver_to(&mut self, selector: usize) {
        let to = self.nodes[self.node(selector)].id;
        let pending = self.pool.iter().filter(|one| one.to == to).count();
        for _ in 0..pending {
            if let Some(position) = self.pool.iter().position(|one| one.to == to) {
                self.deliver(position);
            }
        }
    }

    /// Delivers everything in order until nothing is in flight but to frozen nodes.
    pub fn settle(&mut self) {
        for _ in 0..SETTLE_STEPS {
            let Some(position) = self.pool.iter().position(|one| self.is_awake(one)) else {
                return;
            };
            self.deliver(position);
        }
    }

    /// Delivers copies, and leaves messages of attempts in flight.
    pub fn settle_copies(&mut self) {
        let is_copy = |one: &Envelope| one.attempt.is_none();
        while let Some(position) = self
            .pool
            .iter()
            .position(|one| is_copy(one) && self.is_awake(one))
        {
            self.deliver(position);
        }
    }

    pub(super) fn is_awake(&self, envelope: &Envelope) -> bool {
        let index = self.index_of(envelope.to);
        index.is_none_or(|index| !self.nodes[index].frozen)
    }

    fn receive(&mut self, index: usize, envelope: Envelope) {
        let message = over_the_wire(&envelope.message);
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        let (here, from, id) = (node.id, envelope.from, envelope.attempt);
        if let Some(reply) = node.table.handle(from, &message, now) {
            self.post(here, id, vec![(from, reply)]);
        }
        if matches!(&message, Message::ClaimPage(page) if asks_further(page)) {
            self.copy(index);
        }
        let attempt = self
            .attempts
            .iter_mut()
            .find(|one| Some(one.id) == id && one.executor == here);
        if let Some(attempt) = attempt {
            let messages = attempt.reply(from, &message, &mut self.oracle);
            self.post(here, id, messages);
        }
    }

    pub fn lose(&mut self, selector: usize) {
        if let Some(position) = pick(self.pool.len(), selector) {
            self.pool.remove(position);
        }
    }

    pub fn repeat(&mut self, selector: usize) {
        if let Some(position) = pick(self.pool.len(), selector) {
            let one = &self.pool[position];
            let (from, to, message, attempt) = (one.from, one.to, one.message.clone(), one.attempt);
            self.post(from, attempt, vec![(to, message)]);
        }
    }
}

fn asks_further(page: &ClaimPage) -> bool {
    matches!(page.content, PageContent::Claims { more: 1, .. })
}

fn over_the_wire(message: &Message) -> Message {
    let payload = message.to_payload().expect("encodes");
    Message::from_payload(message.kind(), &payload).expect("decodes")
}
