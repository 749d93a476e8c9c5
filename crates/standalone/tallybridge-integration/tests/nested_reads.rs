//! Nested calls that may be repeated: what the fuzz of a fleet found about them.

mod fleet;

use std::time::Duration;

use fleet::{
    Fleet,
    backend::Mode,
    history::{End, Kind, RETRY_ALLOWANCE},
};
use tallybridge_core::Outcome;

const SEED: u64 = 1;
/// Time in which everything in flight ends.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Positions of a read in its chain.
const FIRST: usize = 0;
const SECOND: usize = 1;

#[tokio::test(start_paused = true)]
async fn a_read_that_its_caller_repeats_stays_within_one_allowance() {
    let mut fleet = Fleet::start(SEED).await;
    fleet.set_service_mode(SECOND, Mode::Broken);
    // A request of number 0 would be repeated by its back ends too.
    fleet.call(Kind::Payment, 0, false);
    fleet.advance(SETTLE_TIME).await;
    fleet.call(Kind::Read, 0, true);
    fleet.repeat(0, 1);
    fleet.advance(SETTLE_TIME).await;
    let history = fleet.history();
    let of_read = |position| {
        let reads = history
            .executions
            .iter()
            .filter(|one| one.kind == Kind::Read);
        reads.filter(|one| one.position == position).count()
    };
    assert!(of_read(FIRST) > 0);
    assert!(
        of_read(SECOND) <= 1 + RETRY_ALLOWANCE,
        "ran {} times",
        of_read(SECOND)
    );
}

#[tokio::test(start_paused = true)]
async fn a_nested_read_that_ran_for_an_earlier_attempt_is_not_called_not_run() {
    const NESTED_CALL_HAS_ENDED: Duration = Duration::from_millis(17);
    let mut fleet = Fleet::start(SEED).await;
    fleet.set_service_mode(FIRST, Mode::Broken);
    fleet.call(Kind::Read, 0, false);
    fleet.advance(NESTED_CALL_HAS_ENDED).await;
    fleet.set_service_mode(SECOND, Mode::Unreachable);
    fleet.advance(SETTLE_TIME).await;
    let history = fleet.history();
    let ran = history.executions.iter().any(|one| one.position == SECOND);
    let is_not_run = |end: &End| {
        matches!(
            end,
            End::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        )
    };
    let nested = history.calls.iter().filter(|call| call.position == SECOND);
    let ends: Vec<_> = nested.filter_map(|call| call.end.as_ref()).collect();
    assert!(ran && ends.len() > 1, "{ends:?}");
    assert!(!ends.iter().any(|(_, end)| is_not_run(end)), "{ends:?}");
}
