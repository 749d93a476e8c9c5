//! What moves the concurrency limit, and what must not.

use std::time::{Duration, Instant};

use tallybridge_overload::{ConcurrencyLimit, LimitSettings, Ramp, Sample, SampleResult};

const SETTINGS: LimitSettings = LimitSettings {
    initial: 10,
    min: 2,
    max: 100,
};

fn success(latency: u64, kind: u16) -> Sample {
    Sample {
        latency: Duration::from_millis(latency),
        result: SampleResult::Success,
        kind,
    }
}

/// Runs `calls` at a time for as many rounds, each sample made from the round and the place.
fn run(
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
        for place in 0..acquired {
            limit.release(sample(round, place), *now);
        }
        limit.tick(*now);
    }
}

#[test]
fn counts_what_is_in_flight() {
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
fn rises_only_when_it_is_used() {
    let mut now = Instant::now();
    let mut unused = ConcurrencyLimit::new(SETTINGS);
    run(&mut unused, &mut now, 500, |_| 5, |_, _| success(20, 0));
    assert_eq!(unused.limit(), SETTINGS.initial);

    let mut used = ConcurrencyLimit::new(SETTINGS);
    run(
        &mut used,
        &mut now,
        500,
        |limit| limit + 1,
        |_, _| success(20, 0),
    );
    assert!(used.limit() >= SETTINGS.max * 3 / 4, "{}", used.limit());
}

#[test]
fn does_not_collapse_when_the_mix_of_kinds_changes() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    // For half a second one call in ten is slow, for the next one in two.
    let mixed = |round: u32, place: u16| {
        let number = round + u32::from(place);
        let slow = if (round / 25).is_multiple_of(2) {
            number.is_multiple_of(10)
        } else {
            number.is_multiple_of(2)
        };
        success(if slow { 400 } else { 5 }, u16::from(slow))
    };
    let mut total = 0;
    for round in 0..2000 {
        run(
            &mut limit,
            &mut now,
            1,
            |limit| limit + 1,
            |_, place| mixed(round, place),
        );
        total += u32::from(limit.limit());
    }
    let mean = total / 2000;
    assert!(mean >= 80, "{mean}");
}

#[test]
fn finds_the_slots_of_a_back_end_that_sheds_beyond_them() {
    const SLOTS: u16 = 12;
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(LimitSettings {
        initial: 60,
        ..SETTINGS
    });
    let sheds = |_: u32, place: u16| {
        let mut sample = success(20, 0);
        if place >= SLOTS {
            sample.latency = Duration::from_millis(1);
            sample.result = SampleResult::Overload;
        }
        sample
    };
    run(&mut limit, &mut now, 400, |limit| limit + 1, sheds);
    let mut total = 0;
    for _ in 0..400 {
        run(&mut limit, &mut now, 1, |limit| limit + 1, sheds);
        total += u32::from(limit.limit());
    }
    let mean = total / 400;
    assert!((10..=16).contains(&mean), "{mean}");
}

/// The least and the greatest limit in the second half of a time in which a back end with `slots`
/// slots is kept busy and queues what is beyond them.
fn settled(limit: &mut ConcurrencyLimit, now: &mut Instant, slots: u16) -> (u16, u16) {
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
    let late = &limits[ROUNDS / 2..];
    let least = late.iter().min().copied().unwrap_or_default();
    let greatest = late.iter().max().copied().unwrap_or_default();
    (least, greatest)
}

#[test]
fn finds_and_follows_the_slots_of_a_back_end_that_queues_beyond_them() {
    let mut now = Instant::now();
    for initial in [2, 10, 100] {
        let mut limit = ConcurrencyLimit::new(LimitSettings {
            initial,
            ..SETTINGS
        });
        for slots in [20, 6, 40] {
            let (least, greatest) = settled(&mut limit, &mut now, slots);
            let context = format!("from {initial}, {slots} slots: {least} to {greatest}");
            assert!(least >= slots * 7 / 10, "{context}");
            assert!(greatest <= slots * 2, "{context}");
        }
    }
}

#[test]
fn ignored_calls_say_nothing() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    let ignored = |_: u32, _: u16| Sample {
        result: SampleResult::Ignore,
        ..success(500, 0)
    };
    run(&mut limit, &mut now, 500, |limit| limit + 1, ignored);
    assert_eq!(limit.limit(), SETTINGS.initial);
    assert_eq!(limit.in_flight(), 0);
}

#[test]
fn a_ramp_opens_the_limit_over_its_time() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(SETTINGS);
    limit.start_ramp(Ramp::new(start, Duration::from_secs(10), 0.2), start);
    assert_eq!(limit.limit(), 2);
    limit.tick(start + Duration::from_secs(5));
    assert_eq!(limit.limit(), 6);
    limit.tick(start + Duration::from_secs(10));
    assert_eq!(limit.limit(), 10);
}
