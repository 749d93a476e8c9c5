//! Carries a round of votes to the replicas and back.

use futures::{StreamExt, stream::FuturesUnordered};
use tallybridge_claims::{
    ClaimRound, PartitionEntry, PartitionId, QueryRound, QueryVerdict,
    round::{Progress, Verdict},
};
use tallybridge_core::{NodeId, RequestKey};
use tallybridge_wire::{
    Message,
    claim::{Claim, ClaimQuery, ClaimQueryReply, ClaimReply},
};
use tokio::time::Instant;

use super::{REPLICA_TIMEOUT, ask_replica, map::newer_entry};
use crate::{
    actor::claims::{ClaimMessage, EntryOf},
    context::NodeContext,
};

/// How often a claim starts again because the map was out of date.
const MAX_RESTARTS: usize = 3;

/// The replicas of a key, or `None` when this node has no map.
pub async fn entry_of(context: &NodeContext, key: &RequestKey) -> Option<PartitionEntry> {
    let entry = context.ask(EntryOf(PartitionId::of(key))).await;
    entry.ok().flatten()
}

/// Carries a claim to its verdict, at the latest at the deadline.
pub async fn run_claim(
    context: &NodeContext,
    key: &RequestKey,
    mut round: ClaimRound,
    deadline: Instant,
) -> ClaimRound {
    for _ in 0..MAX_RESTARTS {
        round = collect_votes(context, round, deadline).await;
        let Verdict::StaleEpoch { current } = *round.verdict() else {
            break;
        };
        let partition = PartitionId::of(key);
        let Some(entry) = newer_entry(context, partition, round.replicas(), current).await else {
            break;
        };
        round = round.restart(&entry);
    }
    round
}

async fn collect_votes(
    context: &NodeContext,
    mut round: ClaimRound,
    deadline: Instant,
) -> ClaimRound {
    let mut votes = FuturesUnordered::new();
    let mut progress = Progress::Claim;
    loop {
        if progress == Progress::Claim {
            let until = deadline.min(Instant::now() + REPLICA_TIMEOUT);
            let claim = round.request();
            let targets = round.targets().into_iter();
            votes.extend(targets.map(|replica| vote(context, replica, claim.clone(), until)));
        }
        let Some(vote) = votes.next().await else {
            return round;
        };
        progress = match &vote.reply {
            Some(reply) => round.record(vote.replica, reply),
            None if vote.run == round.request().run => round.fail(vote.replica),
            None => Progress::Wait,
        };
        if progress == Progress::Decided {
            return round;
        }
    }
}

/// What one replica said to a claim.
struct Vote {
    replica: NodeId,
    run: u8,
    reply: Option<ClaimReply>,
}

async fn vote(context: &NodeContext, replica: NodeId, claim: Claim, until: Instant) -> Vote {
    let run = claim.run;
    let answer = ask_replica(context, replica, Message::Claim(claim), until).await;
    let reply = match answer {
        Some(Message::ClaimReply(reply)) => Some(reply),
        _ => None,
    };
    Vote {
        replica,
        run,
        reply,
    }
}

/// Carries a query to its verdict; it stays undecided when too few replicas answer in time.
pub async fn run_query(context: &NodeContext, mut query: QueryRound) -> QueryRound {
    if *query.verdict() != QueryVerdict::Undecided {
        return query;
    }
    let until = Instant::now() + REPLICA_TIMEOUT;
    let request = query.request();
    let targets = query.targets().into_iter();
    let mut answers: FuturesUnordered<_> = targets
        .map(|replica| answer(context, replica, request.clone(), until))
        .collect();
    while let Some((replica, reply)) = answers.next().await {
        let verdict = match reply {
            Some(reply) => query.record(replica, &reply),
            None => query.fail(replica),
        };
        if *verdict != QueryVerdict::Undecided {
            break;
        }
    }
    query
}

async fn answer(
    context: &NodeContext,
    replica: NodeId,
    query: ClaimQuery,
    until: Instant,
) -> (NodeId, Option<ClaimQueryReply>) {
    let answer = ask_replica(context, replica, Message::ClaimQuery(query), until).await;
    match answer {
        Some(Message::ClaimQueryReply(reply)) => (replica, Some(reply)),
        _ => (replica, None),
    }
}

/// Tells every replica something that has no answer. A replica that can't be reached at once is
/// told in the background; one that is never reached only makes later answers less precise.
pub async fn tell(context: &NodeContext, replicas: &[NodeId], message: &Message) {
    for replica in replicas {
        let told = tell_at_once(context, *replica, message.clone()).await;
        if !told {
            let context = context.clone();
            let (replica, message) = (*replica, message.clone());
            tokio::spawn(async move { context.links.send(replica, message).await });
        }
    }
}

async fn tell_at_once(context: &NodeContext, replica: NodeId, message: Message) -> bool {
    if replica != context.identity {
        return context.links.try_send(replica, message);
    }
    let message = ClaimMessage {
        source: replica,
        message,
    };
    // Fails only when the node is stopping.
    let _ = context.ask(message).await;
    true
}
