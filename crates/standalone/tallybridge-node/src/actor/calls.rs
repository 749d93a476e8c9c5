//! Messages about calls that enter at this node.

use tallybridge_core::{NodeId, Refusal, RequestKey};
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::{
    systems::{
        begin::{self, CallRequest},
        record::{self, Subject},
        retry::{self, AttemptEnd, Next, Route},
    },
    tables::calls::{Call, CallId},
};

/// Starts a call.
pub struct BeginCall(pub CallRequest);

/// How a call is carried.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The call's number.
    pub id: CallId,
    /// The call as it begins.
    pub call: Call,
    /// The first attempt.
    pub route: Route,
}

impl CallPlan {
    /// Whether each run of the call is claimed. The runs of an idempotent nested call are counted
    /// by the attempt that makes it, unless that attempt may itself run more than once under a
    /// caller's key.
    #[must_use]
    pub fn is_claimed(&self) -> bool {
        let call = &self.call;
        let counted_by_parent =
            call.depth > 1 && call.policy.idempotent && call.shared_runs.is_none();
        call.shared_key && !counted_by_parent
    }

    /// Runs that the call's key allows over all its attempts: one for a call that must not be
    /// repeated, else as many as the root of the chain allows at each position.
    #[must_use]
    pub fn max_runs(&self) -> u8 {
        let policy = &self.call.policy;
        if !policy.idempotent {
            return 1;
        }
        self.call
            .shared_runs
            .unwrap_or(policy.retry_allowance.saturating_add(1))
    }
}

/// A call that is refused before its first attempt.
#[derive(Debug, Clone)]
pub struct RefusedCall {
    /// Why.
    pub refusal: Refusal,
    /// The call's key if attempts may exist under it that this node does not know of.
    pub shared_key: Option<RequestKey>,
}

impl Handler<BeginCall> for NodeActor {
    type Return = Result<CallPlan, RefusedCall>;

    async fn handle(
        &mut self,
        BeginCall(request): BeginCall,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        let now = now();
        let call = match begin::begin(&mut self.tables, &request, now) {
            Ok(call) => call,
            Err(refusal) => {
                let refusal = begin::with_parent_outcome(&self.tables, &request, refusal);
                record::refused_at_entry(&mut self.tables, &request, &refusal);
                return Err(RefusedCall {
                    refusal,
                    shared_key: begin::shared_key(&mut self.tables, &request),
                });
            }
        };
        let id = self.tables.calls.insert(call.clone());
        match retry::choose_route(&mut self.tables, id, now) {
            Ok(route) => {
                record::begun(&mut self.tables, &call, &route);
                Ok(CallPlan { id, call, route })
            }
            Err(refusal) => {
                record::refused_without_route(&mut self.tables, &call, &refusal);
                self.end_call(id);
                Err(RefusedCall {
                    refusal,
                    shared_key: begin::shared_key(&mut self.tables, &request),
                })
            }
        }
    }
}

/// Takes in how an attempt ended and asks what comes next.
pub struct EndAttempt {
    /// The call.
    pub call: CallId,
    /// The node that the attempt went to.
    pub node: NodeId,
    /// How it ended.
    pub end: AttemptEnd,
}

impl Handler<EndAttempt> for NodeActor {
    type Return = Next;

    async fn handle(&mut self, message: EndAttempt, _context: &mut Context<Self>) -> Next {
        let EndAttempt { call, node, end } = message;
        let subject = self
            .tables
            .calls
            .get_mut(call)
            .map(|row| Subject::of_call(row));
        let failure = record::describe_end(&end);
        let next = retry::attempt_ended(&mut self.tables, call, node, end, now());
        if let Some(subject) = subject {
            record::attempt_ended(&mut self.tables, &subject, node, failure, &next);
        }
        if matches!(next, Next::Answer | Next::Refuse(_)) {
            self.end_call(call);
        }
        next
    }
}

/// Ends a call whose caller gave up between two attempts.
pub struct AbandonCall(pub CallId);

impl Handler<AbandonCall> for NodeActor {
    type Return = Refusal;

    async fn handle(
        &mut self,
        AbandonCall(call): AbandonCall,
        _context: &mut Context<Self>,
    ) -> Refusal {
        let refusal = retry::abandoned(&mut self.tables, call);
        self.end_call(call);
        refusal
    }
}

/// Chooses the node of the next attempt after a wait.
pub struct ChooseNext(pub CallId);

impl Handler<ChooseNext> for NodeActor {
    type Return = Result<Route, Refusal>;

    async fn handle(
        &mut self,
        ChooseNext(call): ChooseNext,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        let row = self.tables.calls.get_mut(call).map(|row| row.clone());
        let route = retry::choose_route(&mut self.tables, call, now());
        match (&route, row) {
            (Ok(route), Some(row)) => record::begun(&mut self.tables, &row, route),
            (Err(refusal), Some(row)) => {
                record::refused_without_route(&mut self.tables, &row, refusal);
                self.end_call(call);
            }
            (_, None) => {}
        }
        route
    }
}

impl NodeActor {
    /// Takes a call out and gives its parent back what was lent and not spent.
    fn end_call(&mut self, id: CallId) {
        let Some(call) = self.tables.calls.remove(id) else {
            return;
        };
        let Some(parent) = call.parent else {
            return;
        };
        if let Some(parent) = self.tables.executions.get_mut(parent) {
            parent.nested_wait.end(now());
            parent
                .allowance
                .give_back(call.allowance.remaining(), call.lent_by_parent);
        }
    }
}
