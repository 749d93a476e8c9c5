//! Edits, differences and conflicts of documents.

use tallybridge_config::{
    ConfigurationFile, Document, Edit, EntryName, Revision, RevisionRecord, conflicts, difference,
};
use uuid::Uuid;

const FILE: &str = r#"
[[template]]
name = "pay"
service = "billing"
[[template]]
name = "read"
service = "archive"
[[tenant]]
name = "acme"
"#;

fn parse(text: &str) -> ConfigurationFile {
    ConfigurationFile::parse("fleet.toml", text).expect("the file is good")
}

fn document(text: &str) -> Document {
    let empty = Document::default();
    empty.with_edits(&empty.edits_from(&parse(text)))
}

#[test]
fn a_document_needs_no_edits_to_become_itself() {
    assert_eq!(document(FILE).edits_from(&parse(FILE)), []);
}

#[test]
fn only_changed_entries_are_edited() {
    let changed = FILE.replace("\"read\"", "\"list\"").replace(
        "service = \"billing\"",
        "service = \"billing\"\ndeadline_ms = 7",
    );
    let entries: Vec<_> = document(FILE)
        .edits_from(&parse(&changed))
        .iter()
        .map(|edit| {
            (
                matches!(edit, Edit::RemoveTemplate(_)),
                edit.entry().to_string(),
            )
        })
        .collect();
    assert_eq!(
        entries,
        [
            (true, "template read".to_owned()),
            (false, "template list".to_owned()),
            (false, "template pay".to_owned()),
        ]
    );
}

#[test]
fn the_difference_shows_the_changed_lines() {
    let mut from = document(FILE);
    from.revision = Revision(3);
    let mut to = document(&FILE.replace("\"archive\"", "\"library\""));
    to.revision = Revision(4);
    let text = difference(&from, &to);
    assert!(
        text.starts_with("--- revision 3\n+++ revision 4\n@@"),
        "{text}"
    );
    assert!(
        text.contains("\n-service = \"archive\"\n+service = \"library\"\n"),
        "{text}"
    );
    assert_eq!(difference(&from, &from), "");
}

#[test]
fn an_entry_that_two_operators_change_is_a_conflict() {
    let base = document(FILE);
    let current = document(&FILE.replace("\"archive\"", "\"library\""));
    let same = base.edits_from(&parse(&FILE.replace("\"archive\"", "\"shelf\"")));
    let other = base.edits_from(&parse(&FILE.replace("\"acme\"", "\"umbra\"")));
    assert_eq!(
        conflicts(&base, &current, &same),
        [EntryName::Template("read".into())]
    );
    assert_eq!(conflicts(&base, &current, &other), []);
    assert_eq!(conflicts(&base, &base, &same), []);
}

#[test]
fn a_record_out_of_order_changes_nothing() {
    let mut document = document(FILE);
    let before = document.clone();
    for revision in [0, 2] {
        let record = RevisionRecord {
            revision: Revision(revision),
            change_id: Uuid::nil(),
            author: "operator".to_owned(),
            made_unix_ms: 0,
            comment: String::new(),
            edits: vec![Edit::RemoveTemplate("pay".into())],
        };
        let error = document.apply(&record).expect_err("revision 1 is next");
        assert_eq!(error.given, Revision(revision));
        assert_eq!(document, before);
    }
}
