//! A tenant's requests at entries, and owners that grant tokens and are replaced, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    configuration::tenants::{RateLimit, Tenant, TenantRank},
    protocol::{QuotaGrant, QuotaRequest},
    tables::quotas::{EntryTokens, OwnedQuotas, QuotaSlack, TokenAnswer},
};

/// The users' allowance: a tenth of the limit over five seconds, and twenty requests.
pub const SLACK: QuotaSlack = QuotaSlack {
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

/// Wait of an entry for a home that is not one yet.
const ASK_AGAIN: Duration = Duration::from_millis(30);

/// An entry and what it has asked of the home so far.
struct Entry {
    held: EntryTokens,
    process: u64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            held: EntryTokens::new(SLACK.window),
            process: rand::random(),
        }
    }
}

impl Entry {
    /// What becomes of a request, as a node decides it.
    fn decide(
        &mut self,
        tenant: &Tenant,
        now: BootInstant,
        ask_owner: impl FnOnce(QuotaRequest) -> QuotaGrant,
    ) -> Decision {
        let (ahead, spent, fleet) = match self.held.request(&tenant.name, now) {
            TokenAnswer::Admitted => return Decision::Admitted,
            TokenAnswer::Spent(_) => return Decision::Refused,
            TokenAnswer::Ask {
                ahead,
                spent,
                fleet,
            } => (ahead, spent, fleet),
        };
        let ask = QuotaRequest {
            entry: self.process,
            extra_tokens: ahead,
            admitted: spent,
            spending: fleet,
        };
        match ask_owner(ask) {
            QuotaGrant::Tokens {
                tokens,
                spending: fleet,
            } => {
                self.held.granted(&tenant.name, tokens, &fleet, now);
                Decision::Admitted
            }
            QuotaGrant::Exhausted {
                wait,
                spending: fleet,
            } => {
                self.held.spent(&tenant.name, wait, &fleet, now);
                Decision::Refused
            }
            QuotaGrant::NotOwner => Decision::AskAgain,
        }
    }
}

/// What becomes of a request at its entry.
enum Decision {
    Admitted,
    Refused,
    AskAgain,
}

/// Requests that were let in, and how many were refused.
pub struct Played {
    pub admitted: Vec<BootInstant>,
    pub refused: usize,
}

/// Plays requests of a tenant that come at entries after given gaps. `ask_owner` asks whoever is the home when
/// the request of a number comes. From the request `lost_at` on, entries have lost what they knew.
pub fn play(
    tenant: &Tenant,
    entries: usize,
    gaps: impl Iterator<Item = Duration>,
    lost_at: Option<usize>,
    ask_owner: impl FnMut(usize, BootInstant, QuotaRequest) -> QuotaGrant,
) -> Played {
    let lost = |number| match lost_at == Some(number) {
        true => 0..entries,
        false => 0..0,
    };
    play_with_losses(tenant, entries, gaps, lost, ask_owner)
}

/// The same, where before the request of a number comes a range of entries lose what they knew.
pub fn play_with_losses(
    tenant: &Tenant,
    entries: usize,
    gaps: impl Iterator<Item = Duration>,
    mut lost: impl FnMut(usize) -> Range<usize>,
    mut ask_owner: impl FnMut(usize, BootInstant, QuotaRequest) -> QuotaGrant,
) -> Played {
    let mut nodes: Vec<Entry> = (0..entries).map(|_| Entry::default()).collect();
    let mut now = BootInstant::now();
    let mut played = Played {
        admitted: Vec::new(),
        refused: 0,
    };
    // In the order of their times: those that come, and those that ask again.
    let mut events = BinaryHeap::new();
    for (number, gap) in gaps.enumerate() {
        now += gap;
        events.push(Reverse((now, number, false)));
    }
    while let Some(Reverse((now, number, is_again))) = events.pop() {
        if !is_again {
            for entry in lost(number) {
                nodes[entry] = Entry::default();
            }
        }
        let ask = |ask| ask_owner(number, now, ask);
        match nodes[number % entries].decide(tenant, now, ask) {
            Decision::Admitted => played.admitted.push(now),
            Decision::Refused => played.refused += 1,
            Decision::AskAgain => events.push(Reverse((now + ASK_AGAIN, number, true))),
        }
    }
    played
}

/// Most requests that any window of the users' rule holds.
pub fn busiest_window(admitted: &[BootInstant]) -> usize {
    let counts = admitted.iter().enumerate().map(|(first, at)| {
        let later = admitted[first..].iter();
        later
            .take_while(|other| other.saturating_duration_since(*at) <= SLACK.window)
            .count()
    });
    counts.max().unwrap_or(0)
}

pub fn allowed(rate: f64) -> f64 {
    (rate * 5.0 + rate) * 1.1 + 20.0
}

/// The busiest window where the home is replaced again and again, after each `life`, by one that knows
/// nothing. The entries live on.
pub fn busiest_with_new_homes(rate: f64, entries: usize, gaps_us: &[u64], life: Duration) -> usize {
    let tenant = tenant(rate);
    let mut home = OwnedQuotas::new(SLACK);
    let mut since = None;
    let gaps = microseconds(gaps_us);
    let played = play(&tenant, entries, gaps, None, |_, now, ask| {
        if now.saturating_duration_since(*since.get_or_insert(now)) >= life {
            home = OwnedQuotas::new(SLACK);
            since = Some(now);
        }
        home.grant(&tenant, ask, *since.get_or_insert(now), now)
    });
    busiest_window(&played.admitted)
}

/// The same where it is replaced after so many requests, and with it a third of the entries, the next
/// third each time: what these let in they tell nobody.
pub fn busiest_with_new_homes_and_entries(
    rate: f64,
    entries: usize,
    gaps_us: &[u64],
    requests_between: usize,
) -> usize {
    let tenant = tenant(rate);
    let mut home = OwnedQuotas::new(SLACK);
    let mut since = None;
    let mut changed_at = 0;
    let third = |number: usize| {
        let turn = number / requests_between % 3;
        match number.is_multiple_of(requests_between) && number > 0 {
            true => entries * turn / 3..entries * (turn + 1) / 3,
            false => 0..0,
        }
    };
    let gaps = microseconds(gaps_us);
    let played = play_with_losses(&tenant, entries, gaps, third, |number, now, ask| {
        if number / requests_between > changed_at {
            changed_at = number / requests_between;
            home = OwnedQuotas::new(SLACK);
            since = Some(now);
        }
        home.grant(&tenant, ask, *since.get_or_insert(now), now)
    });
    busiest_window(&played.admitted)
}

pub fn microseconds(gaps: &[u64]) -> impl Iterator<Item = Duration> {
    gaps.iter().copied().map(Duration::from_micros)
}

/// Gaps between requests, some 500 a second, from a seed.
pub fn gaps_of(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(2_000..4_000);
    (0..count).map(|_| rng.random_range(10..4_000)).collect()
}

/// Owners that are replaced again and again by one that knows nothing, and entries with them.
#[derive(Debug, Clone, Copy)]
pub struct Replacements {
    /// Requests a second that the limit allows, and its burst. Four times as many come, and 500 a second at
    /// the least.
    pub rate: f64,
    pub entries: usize,
    /// Time for which an owner lives.
    pub life: Duration,
    /// Entries that end with each owner, the next ones each time.
    pub ended_with_it: usize,
}

/// The busiest window of eight seconds.
pub fn busiest_while_replaced(replacements: &Replacements, seed: u64) -> usize {
    let Replacements {
        rate,
        entries,
        life,
        ended_with_it,
    } = *replacements;
    let mut random = SmallRng::seed_from_u64(seed);
    let per_second = (rate * 4.0).max(500.0);
    let gaps = (0..(8.0 * per_second) as usize)
        .map(|_| Duration::from_secs_f64(random.random_range(0.01..2.0) / per_second));
    let gaps: Vec<_> = gaps.collect();
    let replaced_at = first_after_each(life, &gaps);
    let lost = |number: usize| match replaced_at.binary_search(&number) {
        Ok(turn) => {
            let first = turn * ended_with_it % entries;
            first..(first + ended_with_it).min(entries)
        }
        Err(_) => 0..0,
    };
    let tenant = tenant(rate);
    let mut owner = OwnedQuotas::new(SLACK);
    let mut since = None;
    let mut replaced = 0;
    let played = play_with_losses(
        &tenant,
        entries,
        gaps.into_iter(),
        lost,
        |number, now, ask| {
            // A request that asks again may come after later ones have.
            if replaced_at
                .get(replaced)
                .is_some_and(|next| number >= *next)
            {
                replaced += 1;
                owner = OwnedQuotas::new(SLACK);
                since = Some(now);
            }
            owner.grant(&tenant, ask, *since.get_or_insert(now), now)
        },
    );
    busiest_window(&played.admitted)
}

/// The numbers of the first requests after each multiple of a time.
fn first_after_each(time: Duration, gaps: &[Duration]) -> Vec<usize> {
    let mut at = Duration::ZERO;
    let mut next = time;
    let mut numbers = Vec::new();
    for (number, gap) in gaps.iter().enumerate() {
        at += *gap;
        if at >= next {
            numbers.push(number);
            next += time;
        }
    }
    numbers
}
