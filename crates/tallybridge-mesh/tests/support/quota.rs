//! Simulates, in virtual time, requests of a tenant at entries and owners that grant tokens and are
//! replaced.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    configuration::tenants::{RateLimit, Tenant, TenantRank},
    protocol::{QuotaGrant, QuotaRequest},
    tables::quotas::{EntryTokens, OwnedQuotas, QuotaSlack, TokenAnswer},
};

/// Allowed excess: a tenth of the limit over five seconds, plus twenty requests.
pub const QUOTA_SLACK: QuotaSlack = QuotaSlack {
    window: Duration::from_secs(5),
    overage: 0.1,
    requests: 20.0,
};

pub fn tenant(rate: f64) -> Tenant {
    Tenant {
        name: "ana".into(),
        priority: 1,
        rank: TenantRank::default(),
        limit: Some(RateLimit {
            per_second: rate,
            burst: rate,
        }),
    }
}

/// Time after which an entry repeats a request that no owner has answered.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(30);

/// An entry and its token state.
struct Entry {
    tokens: EntryTokens,
    process: u64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            tokens: EntryTokens::new(QUOTA_SLACK.window),
            process: rand::random(),
        }
    }
}

impl Entry {
    /// Decides on a request as a node does; `request_tokens` sends a request for tokens to the
    /// current owner.
    fn decide(
        &mut self,
        tenant: &Tenant,
        now: BootInstant,
        request_tokens: impl FnOnce(QuotaRequest) -> QuotaGrant,
    ) -> Decision {
        let (extra_tokens, admitted, spending) = match self.tokens.take_token(&tenant.name, now) {
            TokenAnswer::Admitted => return Decision::Admitted,
            TokenAnswer::AtLimit(_) => return Decision::Refused,
            TokenAnswer::RequestTokens {
                extra_tokens,
                admitted,
                spending,
            } => (extra_tokens, admitted, spending),
        };
        let request = QuotaRequest {
            entry: self.process,
            extra_tokens,
            admitted,
            spending,
        };
        match request_tokens(request) {
            QuotaGrant::Tokens { tokens, spending } => {
                self.tokens
                    .record_grant(&tenant.name, tokens, &spending, now);
                Decision::Admitted
            }
            QuotaGrant::Exhausted { wait, spending } => {
                self.tokens
                    .record_limit_reached(&tenant.name, wait, &spending, now);
                Decision::Refused
            }
            QuotaGrant::NotOwner => Decision::Pending,
        }
    }
}

enum Decision {
    Admitted,
    Refused,
    Pending,
}

/// Times of the admitted requests, and the number of refused ones.
pub struct SimulationResult {
    pub admitted: Vec<BootInstant>,
    pub refused: usize,
}

/// Simulates requests of a tenant that arrive after the given gaps. `request_tokens` receives the
/// number and time of the user's request, and the request for tokens. All entries lose their state
/// at the request `state_lost_at`.
pub fn simulate(
    tenant: &Tenant,
    entries: usize,
    gaps: impl Iterator<Item = Duration>,
    state_lost_at: Option<usize>,
    request_tokens: impl FnMut(usize, BootInstant, QuotaRequest) -> QuotaGrant,
) -> SimulationResult {
    let restarted = |number| match state_lost_at == Some(number) {
        true => 0..entries,
        false => 0..0,
    };
    simulate_with_restarts(tenant, entries, gaps, restarted, request_tokens)
}

/// Simulates requests like [`simulate`]. `restarted` returns the range of entries that lose their
/// state before a request arrives.
pub fn simulate_with_restarts(
    tenant: &Tenant,
    entries: usize,
    gaps: impl Iterator<Item = Duration>,
    mut restarted: impl FnMut(usize) -> Range<usize>,
    mut request_tokens: impl FnMut(usize, BootInstant, QuotaRequest) -> QuotaGrant,
) -> SimulationResult {
    let mut entry_nodes: Vec<Entry> = (0..entries).map(|_| Entry::default()).collect();
    let mut now = BootInstant::now();
    let mut result = SimulationResult {
        admitted: Vec::new(),
        refused: 0,
    };
    // Ordered by time: users' requests and repeated requests for tokens.
    let mut events = BinaryHeap::new();
    for (number, gap) in gaps.enumerate() {
        now += gap;
        events.push(Reverse((now, number, false)));
    }
    while let Some(Reverse((now, number, is_repeated))) = events.pop() {
        if !is_repeated {
            for entry in restarted(number) {
                entry_nodes[entry] = Entry::default();
            }
        }
        let grant = |request| request_tokens(number, now, request);
        match entry_nodes[number % entries].decide(tenant, now, grant) {
            Decision::Admitted => result.admitted.push(now),
            Decision::Refused => result.refused += 1,
            Decision::Pending => events.push(Reverse((now + OWNER_RETRY_DELAY, number, true))),
        }
    }
    result
}

/// Returns the maximum number of requests in any window of the length of [`QUOTA_SLACK`].
pub fn max_requests_in_window(admitted: &[BootInstant]) -> usize {
    let counts = admitted.iter().enumerate().map(|(first, at)| {
        let later = admitted[first..].iter();
        later
            .take_while(|other| other.saturating_duration_since(*at) <= QUOTA_SLACK.window)
            .count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the number of requests that a window may hold at a limit of `rate` requests per second.
pub fn max_allowed(rate: f64) -> f64 {
    (rate * 5.0 + rate) * 1.1 + 20.0
}

/// Returns the maximum number of requests in a window while a new owner without state replaces the
/// owner after each `owner_lifetime`. The entries keep their state.
pub fn max_in_window_with_replaced_owners(
    rate: f64,
    entries: usize,
    gaps_us: &[u64],
    owner_lifetime: Duration,
) -> usize {
    let tenant = tenant(rate);
    let mut owner = OwnedQuotas::new(QUOTA_SLACK);
    let mut since = None;
    let gaps = micros_to_durations(gaps_us);
    let result = simulate(&tenant, entries, gaps, None, |_, now, request| {
        if now.saturating_duration_since(*since.get_or_insert(now)) >= owner_lifetime {
            owner = OwnedQuotas::new(QUOTA_SLACK);
            since = Some(now);
        }
        owner.grant(&tenant, request, *since.get_or_insert(now), now)
    });
    max_requests_in_window(&result.admitted)
}

/// Returns the maximum number of requests in a window while the owner and a different third of the
/// entries are replaced after every `requests_between` requests.
pub fn max_in_window_with_replaced_owners_and_entries(
    rate: f64,
    entries: usize,
    gaps_us: &[u64],
    requests_between: usize,
) -> usize {
    let tenant = tenant(rate);
    let mut owner = OwnedQuotas::new(QUOTA_SLACK);
    let mut since = None;
    let mut replacement_count = 0;
    let restarted_third = |number: usize| {
        let round = number / requests_between % 3;
        match number.is_multiple_of(requests_between) && number > 0 {
            true => entries * round / 3..entries * (round + 1) / 3,
            false => 0..0,
        }
    };
    let gaps = micros_to_durations(gaps_us);
    let result = simulate_with_restarts(
        &tenant,
        entries,
        gaps,
        restarted_third,
        |number, now, request| {
            if number / requests_between > replacement_count {
                replacement_count = number / requests_between;
                owner = OwnedQuotas::new(QUOTA_SLACK);
                since = Some(now);
            }
            owner.grant(&tenant, request, *since.get_or_insert(now), now)
        },
    );
    max_requests_in_window(&result.admitted)
}

pub fn micros_to_durations(gaps: &[u64]) -> impl Iterator<Item = Duration> {
    gaps.iter().copied().map(Duration::from_micros)
}

/// Returns random gaps in microseconds, for about 500 requests per second.
pub fn random_gaps(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(2_000..4_000);
    (0..count).map(|_| rng.random_range(10..4_000)).collect()
}

/// Parameters of a simulation in which owners and entries are replaced together.
#[derive(Debug, Clone, Copy)]
pub struct Replacements {
    /// Limit in requests per second, and its burst. The offered rate is four times the limit, and
    /// at least 500 requests per second.
    pub rate: f64,
    pub entries: usize,
    pub owner_lifetime: Duration,
    /// Number of entries that restart with each owner; each restart affects the following entries.
    pub restarted_entries: usize,
}

/// Returns the maximum number of requests in a window of a simulation of eight seconds.
pub fn max_in_window_with_replacements(replacements: &Replacements, seed: u64) -> usize {
    let Replacements {
        rate,
        entries,
        owner_lifetime,
        restarted_entries,
    } = *replacements;
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_second = (rate * 4.0).max(500.0);
    let gaps = (0..(8.0 * per_second) as usize)
        .map(|_| Duration::from_secs_f64(rng.random_range(0.01..2.0) / per_second));
    let gaps: Vec<_> = gaps.collect();
    let replacement_numbers = first_request_after_each(owner_lifetime, &gaps);
    let restarted = |number: usize| match replacement_numbers.binary_search(&number) {
        Ok(round) => {
            let first = round * restarted_entries % entries;
            first..(first + restarted_entries).min(entries)
        }
        Err(_) => 0..0,
    };
    let tenant = tenant(rate);
    let mut owner = OwnedQuotas::new(QUOTA_SLACK);
    let mut since = None;
    let mut replacement_count = 0;
    let result = simulate_with_restarts(
        &tenant,
        entries,
        gaps.into_iter(),
        restarted,
        |number, now, request| {
            // A repeated request may arrive after later requests.
            if replacement_numbers
                .get(replacement_count)
                .is_some_and(|next| number >= *next)
            {
                replacement_count += 1;
                owner = OwnedQuotas::new(QUOTA_SLACK);
                since = Some(now);
            }
            owner.grant(&tenant, request, *since.get_or_insert(now), now)
        },
    );
    max_requests_in_window(&result.admitted)
}

/// Returns the number of the first request after each multiple of `interval`.
fn first_request_after_each(interval: Duration, gaps: &[Duration]) -> Vec<usize> {
    let mut elapsed = Duration::ZERO;
    let mut next = interval;
    let mut numbers = Vec::new();
    for (number, gap) in gaps.iter().enumerate() {
        elapsed += *gap;
        if elapsed >= next {
            numbers.push(number);
            next += interval;
        }
    }
    numbers
}
