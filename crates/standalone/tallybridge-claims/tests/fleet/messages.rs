//! Delivery, loss and duplication of messages in flight.

use tallybridge_wire::{
    Message,
    claim::{ClaimPage, PageContent},
};

use super::{Envelope, Fleet, MAX_DELIVERIES, pick};

impl Fleet {
    /// Delivers a message. Messages to a frozen node wait; messages to a terminated node are lost.
    pub fn deliver(&mut self, selector: usize) {
        let Some(position) = pick(self.in_flight.len(), selector) else {
            return;
        };
        let to = self.in_flight[position].to;
        match self.index_of(to) {
            Some(index) if self.nodes[index].frozen => {}
            Some(index) => {
                let envelope = self.in_flight.remove(position);
                self.receive(index, envelope);
            }
            None => {
                self.in_flight.remove(position);
            }
        }
    }

    /// Delivers the messages in flight to one node.
    pub fn deliver_to(&mut self, selector: usize) {
        let to = self.nodes[self.node_index(selector)].id;
        let message_count = self
            .in_flight
            .iter()
            .filter(|envelope| envelope.to == to)
            .count();
        for _ in 0..message_count {
            if let Some(position) = self.in_flight.iter().position(|envelope| envelope.to == to) {
                self.deliver(position);
            }
        }
    }

    /// Delivers up to `MAX_DELIVERIES` messages in order, except messages to frozen nodes.
    pub fn deliver_all(&mut self) {
        for _ in 0..MAX_DELIVERIES {
            let Some(position) = self
                .in_flight
                .iter()
                .position(|envelope| self.is_deliverable(envelope))
            else {
                return;
            };
            self.deliver(position);
        }
    }

    /// Delivers copy requests and pages, and leaves the messages of attempts in flight.
    pub fn deliver_copies(&mut self) {
        let is_copy = |envelope: &Envelope| envelope.attempt.is_none();
        while let Some(position) = self
            .in_flight
            .iter()
            .position(|envelope| is_copy(envelope) && self.is_deliverable(envelope))
        {
            self.deliver(position);
        }
    }

    pub(super) fn is_deliverable(&self, envelope: &Envelope) -> bool {
        let index = self.index_of(envelope.to);
        index.is_none_or(|index| !self.nodes[index].frozen)
    }

    fn receive(&mut self, index: usize, envelope: Envelope) {
        let message = encode_and_decode(&envelope.message);
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        let (receiver, from, id) = (node.id, envelope.from, envelope.attempt);
        if let Some(reply) = node.table.handle(from, &message, now) {
            self.post(receiver, id, vec![(from, reply)]);
        }
        if matches!(&message, Message::ClaimPage(page) if has_more_pages(page)) {
            self.copy(index);
        }
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| Some(attempt.id) == id && attempt.executor == receiver);
        if let Some(attempt) = attempt {
            let messages = attempt.record_reply(from, &message, &mut self.oracle);
            self.post(receiver, id, messages);
        }
    }

    pub fn drop_message(&mut self, selector: usize) {
        if let Some(position) = pick(self.in_flight.len(), selector) {
            self.in_flight.remove(position);
        }
    }

    pub fn duplicate_message(&mut self, selector: usize) {
        if let Some(position) = pick(self.in_flight.len(), selector) {
            let envelope = &self.in_flight[position];
            let (from, to, message, attempt) = (
                envelope.from,
                envelope.to,
                envelope.message.clone(),
                envelope.attempt,
            );
            self.post(from, attempt, vec![(to, message)]);
        }
    }
}

fn has_more_pages(page: &ClaimPage) -> bool {
    matches!(page.content, PageContent::Claims { more: 1, .. })
}

fn encode_and_decode(message: &Message) -> Message {
    let payload = message.to_payload().expect("the message encodes");
    Message::from_payload(message.kind(), &payload).expect("the message decodes")
}
