//! The reaction of the concurrency limit to latency, shed calls and load.

use std::time::{Duration, Instant};

use tallybridge_overload::{ConcurrencyLimit, LimitSettings, Ramp, Sample, SampleResult};

const SETTINGS: LimitSettings = LimitSettings {
    initial: 10,
    min: 2,
    max: 100,
};

fn success(latency_ms: u64, kind: u16) -> Sample {
    Sample {
        latency: Duration::from_millis(latency_ms),
        result: SampleResult::Success,
        kind,
    }
}

/// Runs rounds of 20 ms. `calls` maps the limit to the concurrent calls of a round, and `sample`
/// maps the round and the index of a call to its sample.
fn run_rounds(
    limit: &mut ConcurrencyLimit,
    now: &mut Instant,
    rounds: u32,
    calls: impl Fn(u16) -> u16,
    sample: impl Fn(u32, u16) -> Sample,
) {
    for round in 0..rounds {
        let acquired = (0..calls(limit.limit()))
            .filter(|_| limit.try_acquire())
            .count() as u16;
        *now += Duration::from_millis(20);
        for index in 0..acquired {
            limit.release(sample(round, index), *now);
        }
        limit.tick(*now);
    }
}

#[test]
fn counts_calls_in_flight() {
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    let acquired = (0..20).filter(|_| limit.try_acquire()).count();
    assert_eq!(acquired, 10);
    assert_eq!(limit.in_flight(), 10);
    limit.release(success(1, 0), Instant::now());
    assert_eq!(limit.in_flight(), 9);
    assert!(limit.try_acquire());
    assert!(!limit.try_acquire());
}

#[test]
fn rises_only_when_used() {
    let mut now = Instant::now();
    let mut unused = ConcurrencyLimit::new(SETTINGS);
    run_rounds(&mut unused, &mut now, 500, |_| 5, |_, _| success(20, 0));
    assert_eq!(unused.limit(), SETTINGS.initial);

    let mut used = ConcurrencyLimit::new(SETTINGS);
    run_rounds(
        &mut used,
        &mut now,
        500,
        |limit| limit + 1,
        |_, _| success(20, 0),
    );
    assert!(
        used.limit() >= SETTINGS.max * 3 / 4,
        "limit {}",
        used.limit()
    );
}

#[test]
fn stays_high_when_mix_of_kinds_changes() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    // The share of slow calls alternates between a tenth and a half every 25 rounds.
    let mixed = |round: u32, index: u16| {
        let call = round + u32::from(index);
        let slow = if (round / 25).is_multiple_of(2) {
            call.is_multiple_of(10)
        } else {
            call.is_multiple_of(2)
        };
        success(if slow { 400 } else { 5 }, u16::from(slow))
    };
    let mut total = 0;
    for round in 0..2000 {
        run_rounds(
            &mut limit,
            &mut now,
            1,
            |limit| limit + 1,
            |_, index| mixed(round, index),
        );
        total += u32::from(limit.limit());
    }
    let mean = total / 2000;
    assert!(mean >= 80, "mean limit {mean}");
}

#[test]
fn finds_slots_of_shedding_back_end() {
    const SLOTS: u16 = 12;
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(LimitSettings {
        initial: 60,
        ..SETTINGS
    });
    let shed_beyond_slots = |_: u32, index: u16| {
        let mut sample = success(20, 0);
        if index >= SLOTS {
            sample.latency = Duration::from_millis(1);
            sample.result = SampleResult::Overload;
        }
        sample
    };
    run_rounds(
        &mut limit,
        &mut now,
        400,
        |limit| limit + 1,
        shed_beyond_slots,
    );
    let mut total = 0;
    for _ in 0..400 {
        run_rounds(
            &mut limit,
            &mut now,
            1,
            |limit| limit + 1,
            shed_beyond_slots,
        );
        total += u32::from(limit.limit());
    }
    let mean = total / 400;
    assert!((10..=16).contains(&mean), "mean limit {mean}");
}

/// Keeps a back end busy that queues calls beyond `slots`, and returns the lowest and the highest
/// limit in the second half of the rounds.
fn settled_range(limit: &mut ConcurrencyLimit, now: &mut Instant, slots: u16) -> (u16, u16) {
    const ROUNDS: usize = 2000;
    let mut limits = Vec::new();
    for _ in 0..ROUNDS {
        let acquired = (0..=limit.limit()).filter(|_| limit.try_acquire()).count() as u32;
        let latency = Duration::from_millis(20) * acquired.max(u32::from(slots)) / u32::from(slots);
        *now += latency;
        for _ in 0..acquired {
            let sample = Sample {
                latency,
                ..success(0, 0)
            };
            limit.release(sample, *now);
        }
        limit.tick(*now);
        limits.push(limit.limit());
    }
    let settled_limits = &limits[ROUNDS / 2..];
    let lowest = settled_limits.iter().min().copied().unwrap_or_default();
    let highest = settled_limits.iter().max().copied().unwrap_or_default();
    (lowest, highest)
}

#[test]
fn tracks_slots_of_queueing_back_end() {
    let mut now = Instant::now();
    for initial in [2, 10, 100] {
        let mut limit = ConcurrencyLimit::new(LimitSettings {
            initial,
            ..SETTINGS
        });
        for slots in [20, 6, 40] {
            let (lowest, highest) = settled_range(&mut limit, &mut now, slots);
            let context =
                format!("initial limit {initial}, {slots} slots: limit {lowest} to {highest}");
            assert!(lowest >= slots * 7 / 10, "{context}");
            assert!(highest <= slots * 2, "{context}");
        }
    }
}

#[test]
fn ignored_calls_leave_limit_unchanged() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    let ignored = |_: u32, _: u16| Sample {
        result: SampleResult::Ignore,
        ..success(500, 0)
    };
    run_rounds(&mut limit, &mut now, 500, |limit| limit + 1, ignored);
    assert_eq!(limit.limit(), SETTINGS.initial);
    assert_eq!(limit.in_flight(), 0);
}

#[test]
fn ramp_raises_limit_linearly() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    limit.start_ramp(Ramp::new(start, Duration::from_secs(10), 0.2), start);
    assert_eq!(limit.limit(), 2);
    limit.tick(start + Duration::from_secs(5));
    assert_eq!(limit.limit(), 6);
    limit.tick(start + Duration::from_secs(10));
    assert_eq!(limit.limit(), 10);
}
