//! Goes over the whole closed list of error kinds.

use std::collections::BTreeSet;

use tallybridge_core::{ErrorKind, Outcome};

#[test]
fn every_kind_has_its_own_name_wire_value_and_exit_code() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    let wire_values: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| *kind as u8).collect();
    let exit_codes: BTreeSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer().exit_code)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(wire_values.len(), ErrorKind::ALL.len());
    assert_eq!(exit_codes.len(), ErrorKind::ALL.len());
    assert!(!exit_codes.contains(&0), "no error may look like success");
}

#[test]
fn every_kind_is_found_by_its_wire_value() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_wire(*kind as u8), Some(*kind));
    }
    assert_eq!(ErrorKind::from_wire(0), None);
}

#[test]
fn every_kind_is_answered_as_an_error_with_a_hint() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind}");
        assert_ne!(answer.outcome, Outcome::Completed, "{kind}");
        assert!(!answer.hint.is_empty(), "{kind}");
    }
}

#[test]
fn a_safe_retry_is_promised_only_where_nothing_ran_or_a_write_settles_itself() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let settles_itself = *kind == ErrorKind::StoreUnavailable;
        if answer.retry_safe && !settles_itself {
            assert_eq!(answer.outcome, Outcome::NotRun, "{kind}");
        }
    }
}
