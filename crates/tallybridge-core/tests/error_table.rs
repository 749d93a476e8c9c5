//! Checks invariants of the error table for every error kind.

use std::collections::BTreeSet;

use tallybridge_core::{ErrorKind, Outcome};

#[test]
fn names_wire_values_and_exit_codes_are_unique() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    let wire_values: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| *kind as u8).collect();
    let exit_codes: BTreeSet<_> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer().exit_code)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    assert_eq!(wire_values.len(), ErrorKind::ALL.len());
    assert_eq!(exit_codes.len(), ErrorKind::ALL.len());
    assert!(
        !exit_codes.contains(&0),
        "an error kind has the exit code of success"
    );
}

#[test]
fn from_wire_finds_every_kind() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_wire(*kind as u8), Some(*kind));
    }
    assert_eq!(ErrorKind::from_wire(0), None);
}

#[test]
fn every_kind_has_error_status_and_hint() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind}");
        assert_ne!(answer.outcome, Outcome::Completed, "{kind}");
        assert!(!answer.hint.is_empty(), "{kind}");
    }
}

#[test]
fn retry_safe_kinds_report_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        // Repeating a write to the store is safe whether or not the earlier write took effect.
        let is_store_error = *kind == ErrorKind::StoreUnavailable;
        if answer.retry_safe && !is_store_error {
            assert_eq!(answer.outcome, Outcome::NotRun, "{kind}");
        }
    }
}
