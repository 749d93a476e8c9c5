//! Ways to keep a tenant's limit over many nodes, compared in virtual time.
//!
//! `cargo run --release -p tallybridge-mesh --example quota_ways`
//!
//! Each way sees the same requests. Told are, for a tenant that asks for four fifths of its limit, the
//! share that is refused although the limit allows it, and for one that asks for 4.7 times its limit
//! (7.5 times its usual), the most requests of any five seconds as a multiple of what is allowed; then
//! the messages between nodes for each request.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_mesh::clock::Moment;
use tallybridge_mesh::tenants::{
    RateLimit, Tenant, TenantRank,
    quota::{HeldAnswer, HeldTokens, QuotaAsk, QuotaGrant, QuotaHome, QuotaSlack},
};

/// The users' allowance.
const SLACK: QuotaSlack = QuotaSlack {
    window: Duration::from_secs(5),
    overage: 0.1,
    requests: 20.0,
};
/// Nodes at which the callers of one tenant are, most of them at the first few.
const CALLER_NODES: usize = 12;
/// Time between two reports of demand, in the way that follows it.
const REPORT: Duration = Duration::from_millis(250);
/// Time that is played, with the demand of the title in its second half.
const PLAYED: Duration = Duration::from_secs(20);
/// Most requests that are played of one case.
const MOST_REQUESTS: f64 = 400_000.0;

/// A way to keep a limit.
trait Way {
    /// Whether a request at a node is let in.
    fn admits(&mut self, node: usize, now: Moment) -> bool;
    /// Messages so far.
    fn messages(&self) -> u64;
}

/// Each node keeps an equal part.
struct FixedParts {
    part: Tenant,
    nodes: Vec<QuotaHome>,
    began: Moment,
}

impl FixedParts {
    fn new(tenant: &Tenant, nodes: usize, began: Moment) -> Self {
        Self {
            part: tenant.part(nodes),
            nodes: (0..nodes).map(|_| QuotaHome::new(SLACK)).collect(),
            began,
        }
    }
}

impl Way for FixedParts {
    fn admits(&mut self, node: usize, now: Moment) -> bool {
        let ask = QuotaAsk {
            entry: node as u64,
            ahead: 0,
            spent: 0,
            fleet: Vec::new(),
        };
        let grant = self.nodes[node].grant(&self.part, ask, self.began, now);
        matches!(grant, QuotaGrant::Tokens { .. })
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// Parts that follow what each node was asked for in the last report.
struct DemandParts {
    limit: RateLimit,
    tokens: Vec<f64>,
    parts: Vec<f64>,
    asked: Vec<f64>,
    reported_at: Moment,
    filled_at: Moment,
    messages: u64,
}

impl DemandParts {
    fn new(tenant: &Tenant, nodes: usize, began: Moment) -> Self {
        let limit = tenant.limit.expect("a limit");
        let part = 1.0 / nodes as f64;
        Self {
            limit,
            tokens: vec![limit.burst * part; nodes],
            parts: vec![part; nodes],
            asked: vec![0.0; nodes],
            reported_at: began,
            filled_at: began,
            messages: 0,
        }
    }

    fn report(&mut self, now: Moment) {
        let asked: f64 = self.asked.iter().sum();
        let least = 0.2 / self.parts.len() as f64;
        if asked > 0.0 {
            for (part, of_node) in self.parts.iter_mut().zip(&self.asked) {
                *part = least + 0.8 * of_node / asked;
            }
        }
        let active = self.asked.iter().filter(|asked| **asked > 0.0).count();
        self.messages += 2 * active as u64;
        self.asked.fill(0.0);
        self.reported_at = now;
    }
}

impl Way for DemandParts {
    fn admits(&mut self, node: usize, now: Moment) -> bool {
        if now.saturating_duration_since(self.reported_at) >= REPORT {
            self.report(now);
        }
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        for (tokens, part) in self.tokens.iter_mut().zip(&self.parts) {
            let most = (self.limit.burst * part).max(1.0);
            *tokens = (*tokens + elapsed * self.limit.per_second * part).min(most);
        }
        self.asked[node] += 1.0;
        if self.tokens[node] < 1.0 {
            return false;
        }
        self.tokens[node] -= 1.0;
        true
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// One home with one bucket.
struct OneHome {
    tenant: Tenant,
    home: QuotaHome,
    held: Vec<HeldTokens>,
    began: Moment,
    messages: u64,
}

impl OneHome {
    fn new(tenant: &Tenant, nodes: usize, began: Moment) -> Self {
        Self {
            tenant: tenant.clone(),
            home: QuotaHome::new(SLACK),
            held: (0..nodes).map(|_| HeldTokens::new(SLACK.window)).collect(),
            began,
            messages: 0,
        }
    }
}

impl Way for OneHome {
    fn admits(&mut self, node: usize, now: Moment) -> bool {
        let name: &Arc<str> = &self.tenant.name;
        let held = &mut self.held[node];
        let (ahead, spent, fleet) = match held.request(name, now) {
            HeldAnswer::Admitted => return true,
            HeldAnswer::Spent(_) => return false,
            HeldAnswer::Ask {
                ahead,
                spent,
                fleet,
            } => (ahead, spent, fleet),
        };
        let ask = QuotaAsk {
            entry: node as u64,
            ahead,
            spent,
            fleet,
        };
        self.messages += 2;
        match self.home.grant(&self.tenant, ask, self.began, now) {
            QuotaGrant::Tokens { tokens, fleet } => {
                held.granted(name, tokens, &fleet, now);
                true
            }
            QuotaGrant::Spent { wait, fleet } => {
                held.spent(name, wait, &fleet, now);
                false
            }
            QuotaGrant::NotHome => false,
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// What came of one way.
struct Outcome {
    refused: f64,
    busiest: f64,
    messages: f64,
}

/// Plays a demand, as a multiple of the limit, after a time at four fifths of it.
fn play(way: &mut dyn Way, limit: RateLimit, nodes: usize, demand: f64, began: Moment) -> Outcome {
    let mut random = SmallRng::seed_from_u64(7);
    let callers = CALLER_NODES.min(nodes);
    let mut admitted = Vec::new();
    let (mut requests, mut refused) = (0_u32, 0_u32);
    let mut at = Duration::ZERO;
    while at < PLAYED && f64::from(requests) < MOST_REQUESTS {
        let now_demand = if at < PLAYED / 2 { 0.8 } else { demand };
        at += Duration::from_secs_f64(1.0 / (limit.per_second * now_demand));
        // The square puts half of the callers at a quarter of their nodes.
        let place: f64 = random.random_range(0.0..1.0);
        let node = (place * place * callers as f64) as usize;
        requests += 1;
        if way.admits(node, began + at) {
            admitted.push(at);
        } else {
            refused += 1;
        }
    }
    let allowed = (limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0;
    let windows = admitted.iter().map(|from| {
        let end = *from + SLACK.window;
        admitted.partition_point(|at| *at <= end) - admitted.partition_point(|at| at < from)
    });
    Outcome {
        refused: f64::from(refused) / f64::from(requests),
        busiest: windows.max().unwrap_or(0) as f64 / allowed,
        messages: way.messages() as f64 / f64::from(requests),
    }
}

fn tenant(rate: f64) -> Tenant {
    Tenant {
        name: "tenant".into(),
        priority: 1,
        rank: TenantRank::default(),
        limit: Some(RateLimit {
            per_second: rate,
            burst: rate,
        }),
    }
}

fn main() {
    println!(
        "| nodes | limit a second | way | refused below the limit | busiest window | messages a request |"
    );
    println!("|---|---|---|---|---|---|");
    for nodes in [3, 82, 300, 1000] {
        for rate in [1.0, 20.0, 145.0, 1000.0] {
            let tenant = tenant(rate);
            let limit = tenant.limit.expect("a limit");
            for name in ["fixed parts", "parts by demand", "one home"] {
                let run = |demand| {
                    let began = Moment::now();
                    let mut way: Box<dyn Way> = match name {
                        "fixed parts" => Box::new(FixedParts::new(&tenant, nodes, began)),
                        "parts by demand" => Box::new(DemandParts::new(&tenant, nodes, began)),
                        _ => Box::new(OneHome::new(&tenant, nodes, began)),
                    };
                    play(&mut *way, limit, nodes, demand, began)
                };
                let (calm, hot) = (run(0.8), run(4.7));
                println!(
                    "| {nodes} | {rate} | {name} | {:.3} | {:.2} | {:.2} |",
                    calm.refused, hot.busiest, calm.messages
                );
            }
        }
    }
}
