//! The decision log keeps the refusals of critical calls through a flood of lesser ones.

use tallybridge_core::Criticality;
use tallybridge_node::tables::decisions::{Decision, DecisionLog, Phase};

fn decision(request_id: &str, text: &str) -> Decision {
    Decision {
        request_id: request_id.into(),
        unix_ms: 0,
        phase: Phase::Admission,
        decision: text.to_owned(),
        revision: 1,
    }
}

#[test]
fn a_flood_of_lesser_refusals_pushes_no_critical_one_out() {
    let mut log = DecisionLog::default();
    log.push_refusal(Criticality::CriticalPlus, decision("kept", "refused"));
    for number in 0..100_000 {
        let class = Criticality::ALL[number % 3];
        log.push_refusal(class, decision(&format!("lesser-{number}"), "refused"));
        log.push_sampled(decision("sampled", "given a slot"));
    }
    assert_eq!(log.of_request("kept").len(), 1);
    assert_eq!(log.of_request("lesser-0"), []);
    assert_eq!(log.of_request("lesser-99999").len(), 1);
    assert_eq!(log.of_request("sampled").len(), 2_048);
}

#[test]
fn a_long_reason_is_cut_at_a_whole_character() {
    let mut log = DecisionLog::default();
    for length in 508..516 {
        let text = format!("{}é{}", "a".repeat(length), "b".repeat(100));
        log.push_sampled(decision("long", &text));
        log.push_sampled(decision("short", "é"));
    }
    for row in log.of_request("long") {
        assert!((511..=512).contains(&row.decision.len()), "{row:?}");
    }
    assert!(
        log.of_request("short")
            .iter()
            .all(|row| row.decision == "é")
    );
}
