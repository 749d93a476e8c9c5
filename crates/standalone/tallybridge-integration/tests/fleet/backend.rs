//! A back end in memory: it takes time, calls the next service through its own node, and fails on
//! request. It notes each execution.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use tallybridge_core::CallToken;
use tallybridge_node::{
    connections::backend::{BackendAnswer, BackendClient, BackendFailure, BackendRequest},
    context::NodeContext,
    path::WholeAnswer,
    systems::begin::{NestedIdentity, Origin},
};
use tallybridge_wire::WireHeaders;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{
    caller::{Request, carry},
    history::{End, Execution, Finish, Kind, Leaving, SharedHistory},
    oracle::FAILED_BEHIND,
    switchboard::Switchboard,
};

/// Time that an execution takes, apart from nested calls.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// How much longer it takes at a slow back end.
const SLOWDOWN: u32 = 80;
/// Pause before a back end repeats a nested call.
const REPEAT_PAUSE: Duration = Duration::from_millis(5);
/// Times that a back end makes a nested call, for requests whose back ends repeat.
const NESTED_TRIES: usize = 4;

/// How a back end treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Well,
    Slow,
    /// It runs the call and then loses the connection.
    Broken,
    /// It can't be reached.
    Unreachable,
    /// It refuses calls before it runs them.
    Shedding,
    /// It leaves: it says so and refuses calls.
    Draining,
    /// It leaves: it says so with each answer, and relies on getting no new calls.
    Leaving,
}

pub struct MemoryBackend {
    pub address: SocketAddr,
    pub run: u64,
    pub position: usize,
    pub history: SharedHistory,
    pub board: Arc<Switchboard>,
    /// The node beside it, once it has started.
    pub node: OnceLock<NodeContext>,
    /// Ends with the node: the machine is gone.
    pub life: CancellationToken,
    pub mode: Mutex<Mode>,
}

/// Notes how an execution ends, also when the node drops it.
struct Noted {
    history: SharedHistory,
    index: usize,
    life: CancellationToken,
}

impl Noted {
    fn finish(&self, finish: Finish) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let row = &mut history.executions[self.index];
        row.finish.get_or_insert((Instant::now(), finish));
    }
}

impl Drop for Noted {
    fn drop(&mut self) {
        let killed = self.life.is_cancelled();
        self.finish(if killed {
            Finish::Killed
        } else {
            Finish::Cancelled
        });
    }
}

impl MemoryBackend {
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().expect("mode") = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("mode")
    }

    fn begin(&self, request: &Request) -> Noted {
        let mut history = self.history.lock().expect("history");
        history.executions.push(Execution {
            kind: request.kind,
            request: request.number,
            position: self.position,
            node: self.address,
            run: self.run,
            began: Instant::now(),
            finish: None,
        });
        Noted {
            history: Arc::clone(&self.history),
            index: history.executions.len() - 1,
            life: self.life.clone(),
        }
    }

    fn say_leaving(&self) {
        let mut history = self.history.lock().expect("history");
        history.leaving.push(Leaving {
            node: self.address,
            run: self.run,
            at: Instant::now(),
        });
    }

    async fn serve(&self, call: BackendRequest) -> Result<BackendAnswer, BackendFailure> {
        self.board.thawed(self.address).await;
        let request = Request::read(&call.carried.path_and_query, &call.carried.body);
        match self.mode() {
            Mode::Unreachable => {
                return Err(BackendFailure::NotConnected("no listener".to_owned()));
            }
            Mode::Shedding => {
                let mut history = self.history.lock().expect("history");
                history.shed.push(request.number);
                return Ok(refused(false));
            }
            Mode::Draining => {
                self.say_leaving();
                return Ok(refused(true));
            }
            Mode::Well | Mode::Slow | Mode::Broken | Mode::Leaving => {}
        }
        let noted = self.begin(&request);
        let (status, body) = self.work(&request, call.token).await;
        self.board.thawed(self.address).await;
        if self.mode() == Mode::Broken {
            noted.finish(Finish::Broken);
            return Err(BackendFailure::Broken("connection reset".to_owned()));
        }
        let draining = matches!(self.mode(), Mode::Draining | Mode::Leaving);
        if draining {
            self.say_leaving();
        }
        noted.finish(Finish::Answered);
        Ok(BackendAnswer {
            answer: WholeAnswer {
                status,
                headers: WireHeaders::default(),
                body,
            },
            refused_unrun: false,
            draining,
        })
    }

    async fn work(&self, request: &Request, token: CallToken) -> (u16, Bytes) {
        let slow = self.mode() == Mode::Slow;
        let time = SERVICE_TIME * if slow { SLOWDOWN } else { 1 };
        tokio::time::sleep(time / 2).await;
        if let Some(service) = request.next_after(self.position)
            && !self.call_next(request, service, token).await
        {
            let failure = Bytes::copy_from_slice(&request.number.to_be_bytes());
            return (FAILED_BEHIND, failure);
        }
        tokio::time::sleep(time / 2).await;
        (200, request.kind.answer(self.position, request.number))
    }

    /// Calls the next service, again and again if this request's back ends do that; `true` when it
    /// answered.
    async fn call_next(&self, request: &Request, service: usize, token: CallToken) -> bool {
        let Some(node) = self.node.get() else {
            return false;
        };
        let tries = if request.is_repeated_by_backends() {
            NESTED_TRIES
        } else {
            1
        };
        for attempt in 0..tries {
            if attempt > 0 {
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
            let nested = Request {
                position: service,
                ..*request
            };
            let origin = Origin::Nested {
                token,
                identity: NestedIdentity {
                    explicit_key: None,
                    path_and_query: request.kind.path().to_owned(),
                    body_digest: u128::from(request.number).to_be_bytes(),
                },
            };
            let cancelled = CancellationToken::new();
            let _cancel_on_drop = cancelled.clone().drop_guard();
            let end = carry(node, &self.history, nested, origin, cancelled).await;
            if matches!(end, End::Answered { status: 200, .. }) {
                return true;
            }
        }
        false
    }
}

fn refused(draining: bool) -> BackendAnswer {
    BackendAnswer {
        answer: WholeAnswer {
            status: 503,
            headers: WireHeaders::default(),
            body: Bytes::new(),
        },
        refused_unrun: true,
        draining,
    }
}

impl BackendClient for MemoryBackend {
    fn call(&self, call: BackendRequest) -> BoxFuture<'_, Result<BackendAnswer, BackendFailure>> {
        async move {
            let answer = tokio::select! {
                biased;
                () = self.life.cancelled() => None,
                answer = self.serve(call) => Some(answer),
            };
            match answer {
                Some(answer) => answer,
                // Nobody is left to see an answer.
                None => std::future::pending().await,
            }
        }
        .boxed()
    }
}

/// Kinds in the order of their paths, for reading a request back.
pub fn kind_of_path(path: &str) -> Kind {
    let found = Kind::ALL.into_iter().find(|kind| kind.path() == path);
    found.expect("a path of a kind")
}
