//! What befalls a fleet: kills, freezes, cuts, delays, failing back ends and planned stops.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    Fleet, NODES, SERVICES, address,
    backend::Mode,
    history::{Call, End, Leaving, Stop},
};

impl Fleet {
    pub fn kill(&mut self, index: usize) {
        let node = &self.nodes[index % NODES];
        if !node.is_up() {
            return;
        }
        let now = Instant::now();
        let mut history = self.history.lock().expect("history");
        history.begin_fault(Some(node.address));
        let lost = |call: &&mut Call| call.entry == node.address && call.end.is_none();
        for call in history.calls.iter_mut().filter(lost) {
            call.end = Some((now, End::Disconnected));
        }
        drop(history);
        node.kill();
    }

    /// Another run of a node starts at the address of one that has ended.
    pub async fn restart(&mut self, index: usize) {
        let index = index % NODES;
        if self.nodes[index].is_up() {
            return;
        }
        let address = address(index);
        self.frozen.remove(&index);
        self.board.thaw(address);
        let node = self.start_node(index, SERVICES[index]).await;
        let mut history = self.history.lock().expect("history");
        history.end_faults(Some(address));
        drop(history);
        self.nodes[index] = node;
    }

    pub fn freeze(&mut self, index: usize) {
        self.begin_fault();
        self.frozen.insert(index % NODES);
        self.board.freeze(address(index % NODES));
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.begin_fault();
        let direction = (address(from % NODES), address(to % NODES));
        self.board.cut(direction);
    }

    pub fn delay(&mut self, from: usize, to: usize, milliseconds: u64) {
        self.begin_fault();
        let direction = (address(from % NODES), address(to % NODES));
        self.board
            .delay(direction, Duration::from_millis(milliseconds));
    }

    fn begin_fault(&self) {
        let mut history = self.history.lock().expect("history");
        history.begin_fault(None);
    }

    /// Ends all cuts, delays and freezes.
    pub fn heal(&mut self) {
        for index in std::mem::take(&mut self.frozen) {
            self.board.thaw(address(index));
        }
        self.board.heal();
        self.history.lock().expect("history").end_faults(None);
    }

    pub fn set_mode(&mut self, index: usize, mode: Mode) {
        self.nodes[index % NODES].backend.set_mode(mode);
    }

    /// Sets all back ends of a service.
    pub fn set_service_mode(&mut self, service: usize, mode: Mode) {
        let nodes = self.nodes.iter().zip(SERVICES);
        for (node, _) in nodes.filter(|(_, of_node)| *of_node == service) {
            node.backend.set_mode(mode);
        }
    }

    /// Stops a node as planned.
    pub fn stop(&mut self, index: usize) {
        let node = &mut self.nodes[index % NODES];
        let Some(running) = node.running.take() else {
            return;
        };
        let began = Instant::now();
        let mut history = self.history.lock().expect("history");
        let row = history.stops.len();
        history.stops.push(Stop {
            node: node.address,
            began,
            end: None,
        });
        history.leaving.push(Leaving {
            node: node.address,
            run: node.run,
            at: began,
        });
        let shared = Arc::clone(&self.history);
        let life = node.life.clone();
        tokio::spawn(async move {
            let whole = running.stop().await.is_ok();
            if !life.is_cancelled() {
                let end = Some((Instant::now(), whole));
                shared.lock().expect("history").stops[row].end = end;
                life.cancel();
            }
        });
    }
}
