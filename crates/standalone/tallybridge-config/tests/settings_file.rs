//! Every mistake of a settings file is named with its line, field, value and what is allowed.

use tallybridge_config::{Mistake, Mistakes, Rule, Settings, SettingsOverrides};

const GOOD: &str = r#"peer_address = "127.0.0.1:7401"
caller_address = "127.0.0.1:7402"
admin_address = "127.0.0.1:7403"
region = "north"
zone = "hall-a"
store = ["127.0.0.1:2379"]

[backend]
service = "billing"
address = "127.0.0.1:8080"
"#;

/// What a mistake must say: rule, line, field, given and a part of what is allowed.
type Expected<'a> = (Rule, usize, &'a str, &'a str, &'a str);

fn assert_mistake(mistake: &Mistake, expected: Expected<'_>) {
    let (rule, line, field, given, allowed) = expected;
    assert_eq!(mistake.rule, rule, "{mistake}");
    assert_eq!(mistake.file, "node.toml");
    assert_eq!(mistake.line(), Some(line), "{mistake}");
    assert_eq!(mistake.field, field, "{mistake}");
    assert_eq!(mistake.given, given, "{mistake}");
    assert!(mistake.allowed.contains(allowed), "{mistake}");
    assert!(!mistake.mend.is_empty(), "{mistake}");
}

fn mistakes(text: &str) -> Mistakes {
    Settings::parse("node.toml", text).expect_err("the file is wrong")
}

/// Replaces one line of the good file and asserts the single mistake of the result.
fn assert_refused(line: &str, replacement: &str, expected: Expected<'_>) {
    assert!(GOOD.contains(line), "{line}");
    let mistakes = mistakes(&GOOD.replace(line, replacement));
    let all: Vec<_> = mistakes.iter().collect();
    assert_eq!(all.len(), 1, "{all:?}");
    assert_mistake(all[0], expected);
}

#[test]
fn a_good_file_is_read_with_its_defaults() {
    let settings = Settings::parse("node.toml", GOOD).expect("the file is good");
    let backend = settings.backend.as_ref().expect("there is a back end");
    assert_eq!(settings.zone.as_str(), "hall-a");
    assert_eq!(settings.drain_ms, 30_000);
    assert_eq!(backend.max_connections, 64);
    let printed = Settings::parse("printed", &settings.print()).expect("printed settings parse");
    assert_eq!(printed, settings);
}

#[test]
fn each_bad_value_is_named() {
    let zone = r#"zone = "hall-a""#;
    let peer = r#"peer_address = "127.0.0.1:7401""#;
    let caller = r#"caller_address = "127.0.0.1:7402""#;
    let store = r#"store = ["127.0.0.1:2379"]"#;
    let backend = r#"address = "127.0.0.1:8080""#;
    let cases: &[(&str, &str, Expected<'_>)] = &[
        (
            zone,
            "zone = 5",
            (Rule::WrongType, 5, "zone", "5", "a text in quotes"),
        ),
        (
            zone,
            "zone = \"Hall A\"",
            (Rule::InvalidName, 5, "zone", "\"Hall A\"", "a-z, 0-9 and -"),
        ),
        (
            zone,
            "zone = \"\"",
            (Rule::InvalidName, 5, "zone", "\"\"", "1 to 63"),
        ),
        (
            zone,
            "zone = \"hall-a\"\nsone = \"x\"",
            (Rule::UnknownField, 6, "sone", "an unknown field", "zone"),
        ),
        (
            zone,
            "",
            (Rule::MissingField, 1, "zone", "absent", "a value"),
        ),
        (
            zone,
            "zone = \"a\"\nrack = \"R/7\"",
            (Rule::InvalidName, 6, "rack", "\"R/7\"", "a-z"),
        ),
        (
            zone,
            "zone = \"a\"\ndrain_ms = -1",
            (Rule::OutOfRange, 6, "drain_ms", "-1", "0 to 4294967295"),
        ),
        (
            zone,
            "zone = \"a\"\nmachine_list = \"h:1\"",
            (
                Rule::WrongType,
                6,
                "machine_list",
                "\"h:1\"",
                "IP address and port",
            ),
        ),
        (
            zone,
            "zone = \"a\"\nmachine_list = \"127.0.0.1:0\"",
            (
                Rule::UnusableAddress,
                6,
                "machine_list",
                "127.0.0.1:0",
                "1 to 65535",
            ),
        ),
        (
            zone,
            "zone = \"a\"\nseeds = [\"127.0.0.9:1\", \"[::]:1\"]",
            (Rule::UnusableAddress, 6, "seeds[1]", "[::]:1", "one host"),
        ),
        (
            peer,
            "peer_address = \"0.0.0.0:7401\"",
            (
                Rule::UnusableAddress,
                1,
                "peer_address",
                "0.0.0.0:7401",
                "not 0.0.0.0",
            ),
        ),
        (
            peer,
            "peer_address = \"224.0.0.1:7401\"",
            (
                Rule::UnusableAddress,
                1,
                "peer_address",
                "224.0.0.1:7401",
                "multicast",
            ),
        ),
        (
            caller,
            "caller_address = \"127.0.0.1:7401\"",
            (
                Rule::AddressClash,
                2,
                "caller_address",
                "127.0.0.1:7401",
                "`peer_address`",
            ),
        ),
        (
            store,
            "store = []",
            (Rule::EmptyList, 6, "store", "[]", "at least one"),
        ),
        (
            store,
            "store = \"127.0.0.1:2379\"",
            (Rule::WrongType, 6, "store", "\"127.0.0.1:2379\"", "a list"),
        ),
        (
            store,
            "store = [\"127.0.0.1:2379\", 4]",
            (Rule::WrongType, 6, "store[1]", "4", "IP address"),
        ),
        (
            store,
            "",
            (Rule::MissingField, 1, "store", "absent", "a value"),
        ),
        (
            store,
            "store = [\"127.0.0.1:7403\"]",
            (
                Rule::AddressClash,
                6,
                "store[0]",
                "127.0.0.1:7403",
                "`admin_address`",
            ),
        ),
        (
            backend,
            "address = \"127.0.0.1:7402\"",
            (
                Rule::AddressClash,
                10,
                "backend.address",
                "127.0.0.1:7402",
                "`caller_address`",
            ),
        ),
        (
            backend,
            "",
            (
                Rule::MissingField,
                8,
                "backend.address",
                "absent",
                "a value",
            ),
        ),
        (
            backend,
            "address = \"127.0.0.1:8080\"\nmax_connections = 0",
            (
                Rule::OutOfRange,
                11,
                "backend.max_connections",
                "0",
                "1 to 65535",
            ),
        ),
        (
            backend,
            "address = \"127.0.0.1:8080\"\ninitial_limit = 70000",
            (
                Rule::OutOfRange,
                11,
                "backend.initial_limit",
                "70000",
                "1 to 65535",
            ),
        ),
        (
            backend,
            "address = \"127.0.0.1:8080\"\ninitial_limit = 8.5",
            (
                Rule::WrongType,
                11,
                "backend.initial_limit",
                "8.5",
                "an integer",
            ),
        ),
    ];
    for (line, replacement, expected) in cases {
        assert_refused(line, replacement, *expected);
    }
}

#[test]
fn several_mistakes_come_in_one_report_in_the_order_of_the_file() {
    let text = GOOD
        .replace("\"127.0.0.1:7401\"", "7401")
        .replace("\"hall-a\"", "\"Hall\"")
        .replace("service = \"billing\"", "servise = \"billing\"");
    let mistakes = mistakes(&text);
    let found: Vec<_> = mistakes
        .iter()
        .map(|mistake| (mistake.line(), mistake.rule, mistake.field.as_str()))
        .collect();
    assert_eq!(
        found,
        [
            (Some(1), Rule::WrongType, "peer_address"),
            (Some(5), Rule::InvalidName, "zone"),
            (Some(8), Rule::MissingField, "backend.service"),
            (Some(9), Rule::UnknownField, "backend.servise"),
        ]
    );
    let suggestion = mistakes.iter().last().map(|mistake| mistake.mend.as_str());
    assert_eq!(suggestion, Some("did you mean `service`?"));
}

#[test]
fn a_syntax_error_does_not_hide_the_mistakes_of_other_lines() {
    let text = GOOD
        .replace("region = \"north\"", "region = = north")
        .replace("\"hall-a\"", "\"Hall\"");
    let mistakes = mistakes(&text);
    let all: Vec<_> = mistakes.iter().collect();
    assert_eq!(all.len(), 2, "{all:?}");
    assert_eq!((all[0].rule, all[0].line()), (Rule::Syntax, Some(4)));
    assert_eq!(all[0].given, "`region = = north`");
    assert_eq!(all[0].field, "region");
    assert_eq!((all[1].rule, all[1].line()), (Rule::InvalidName, Some(5)));
}

#[test]
fn bytes_that_are_not_text_are_named_by_line() {
    let mut bytes = GOOD.as_bytes().to_vec();
    let zone = GOOD.find("hall-a").expect("the good file has a zone");
    bytes[zone] = 0xff;
    let mistakes = Settings::parse_bytes_with("node.toml", &bytes, &SettingsOverrides::default())
        .expect_err("0xff is no UTF-8");
    let all: Vec<_> = mistakes.iter().collect();
    assert_eq!(all.len(), 1);
    assert_mistake(all[0], (Rule::Encoding, 5, "(file)", "byte 0xff", "UTF-8"));
}

#[test]
fn a_flag_goes_before_the_file() {
    let overrides = SettingsOverrides {
        zone: Some("hall-b".into()),
        drain_ms: Some(5),
        backend_initial_limit: Some(3),
        ..SettingsOverrides::default()
    };
    let text = GOOD.replace("zone = \"hall-a\"\n", "");
    let settings = Settings::parse_with("node.toml", &text, &overrides).expect("the flag helps");
    assert_eq!(settings.zone.as_str(), "hall-b");
    assert_eq!(settings.drain_ms, 5);
    let backend = settings.backend.expect("there is a back end");
    assert_eq!((backend.initial_limit, backend.max_connections), (3, 64));
}

#[test]
fn flags_alone_make_settings_and_a_bad_one_is_named_without_a_line() {
    let mut overrides = SettingsOverrides {
        peer_address: Some(([127, 0, 0, 1], 1).into()),
        caller_address: Some(([127, 0, 0, 1], 2).into()),
        admin_address: Some(([127, 0, 0, 1], 3).into()),
        region: Some("north".into()),
        zone: Some("hall-a".into()),
        store: Some(vec![([127, 0, 0, 1], 4).into()]),
        ..SettingsOverrides::default()
    };
    let settings = Settings::parse_with("flags", "", &overrides).expect("flags suffice");
    assert_eq!(settings.backend, None);

    overrides.caller_address = overrides.peer_address;
    overrides.backend_service = Some("billing".into());
    let mistakes = Settings::parse_with("flags", "", &overrides).expect_err("two are wrong");
    let all: Vec<_> = mistakes.iter().collect();
    assert_eq!(all.len(), 2, "{all:?}");
    assert_eq!((all[0].rule, all[0].line()), (Rule::AddressClash, None));
    assert_eq!(all[1].rule, Rule::MissingField);
    assert_eq!(all[1].field, "backend.address");
}
