//! The shipped scenarios, the checks of a scenario file and the seeded arrivals.

use std::path::Path;

use tallybridge_lab::{
    load::arrivals,
    measure::Ideal,
    scenario::{LoadError, SHIPPED, Scenario},
};

/// Back ends, slots and connections of one service.
type Size<'a> = (&'a str, usize, usize, usize);

fn sizes(scenario: &Scenario) -> Vec<Size<'_>> {
    scenario
        .service
        .iter()
        .map(|service| {
            (
                service.name.as_str(),
                service.backends,
                service.slots,
                service.connections,
            )
        })
        .collect()
}

#[test]
fn feira_has_the_sizes_of_its_deployment() {
    let scenario = Scenario::load("feira").expect("right");
    assert_eq!(
        sizes(&scenario),
        [
            ("catalogue", 3, 12, 100),
            ("settlement", 3, 15, 100),
            ("packages", 3, 20, 100),
            ("balances", 3, 20, 100),
        ]
    );
    assert_eq!(scenario.zones.len(), 3);
    assert_eq!(scenario.zone_latency_ms, 0.5);
    assert_eq!(scenario.client_latency_ms, 1.0);
}

#[test]
fn peachline_has_the_sizes_of_its_deployment() {
    let scenario = Scenario::load("peachline").expect("right");
    assert_eq!(
        sizes(&scenario),
        [
            ("portal", 4, 6, 130),
            ("credit-ledger", 3, 8, 130),
            ("statements", 3, 10, 130),
            ("settlement", 4, 10, 130),
        ]
    );
    assert_eq!(scenario.zones.len(), 3);
    assert_eq!(scenario.zone_latency_ms, 1.0);
    assert_eq!(scenario.client_latency_ms, 3.0);
}

#[test]
fn every_connection_costs_a_millisecond_and_critical_chains_are_deep() {
    for (name, kind) in [("feira", "payment"), ("peachline", "credit")] {
        let scenario = Scenario::load(name).expect("right");
        for service in &scenario.service {
            assert_eq!(service.connection_cost_ms, 1.0, "{name} {}", service.name);
        }
        let kind = scenario.kind(kind).expect("known");
        let chain = scenario.chain(&scenario.document(), kind, &scenario.tenants[0]);
        assert!(chain.contains_key("0.0.0.0"), "{name}: four calls deep");
        assert!(chain.values().any(|call| !call.idempotent), "{name}");
    }
}

#[test]
fn every_shipped_scenario_loads_under_its_own_name() {
    for shipped in SHIPPED {
        let scenario = Scenario::load(shipped.name).expect("right");
        assert_eq!(scenario.name, shipped.name);
    }
}

fn mistakes_of(text: &str) -> Vec<String> {
    match Scenario::from_text("test", text, Path::new("")) {
        Err(LoadError::Mistakes { mistakes, .. }) => mistakes
            .iter()
            .map(std::string::ToString::to_string)
            .collect(),
        Err(error) => vec![error.to_string()],
        Ok(_) => Vec::new(),
    }
}

#[test]
fn all_mistakes_of_a_scenario_come_in_one_report() {
    let text = r#"
        base = "feira"
        zones = []
        tenants = ["nobody"]

        [[phase]]
        name = "only"
        seconds = 5
        rate = -1
        mix = [{ kind = "nothing", weight = 1 }]

        [[fault]]
        at_seconds = 9
        action = "kill"
        target = "catalogue-7"
    "#;
    let mistakes = mistakes_of(text);
    for expected in [
        "zones",
        "nobody",
        "phase `only` rate: given -1",
        "nothing",
        "within the phases",
        "catalogue-7",
    ] {
        assert!(
            mistakes.iter().any(|mistake| mistake.contains(expected)),
            "{expected} in {mistakes:#?}"
        );
    }
}

#[test]
fn unknown_fields_and_actions_are_refused() {
    for (text, expected) in [
        ("base = \"feira\"\nsede = 1", "sede"),
        (
            "base = \"feira\"\n[[fault]]\nat_seconds = 1\naction = \"explode\"",
            "explode",
        ),
        (
            "base = \"feira\"\n[[fault]]\nat_seconds = 1\naction = \"kill\"\ntarget = \"catalogue-0\"\nforce = 1",
            "force",
        ),
    ] {
        let mistakes = mistakes_of(text);
        assert!(
            mistakes.iter().any(|mistake| mistake.contains(expected)),
            "{expected} in {mistakes:#?}"
        );
    }
}

#[test]
fn a_call_graph_with_a_cycle_is_refused() {
    let feira = SHIPPED[0].scenario;
    let text = feira.replacen(
        "path = \"price\"\n",
        "path = \"price\"\ncalls = [{ service = \"balances\", path = \"loop\" }]\n",
        1,
    ) + "\n[[service]]\nname = \"other\"\nbackends = 1\nslots = 1\nqueue = 1\nconnections = 1\nconnection_cost_ms = 1.0\n\n[[service.endpoint]]\npath = \"self\"\nservice_time = { mean_ms = 1.0 }\nanswer_bytes = 1\ncalls = [{ service = \"other\", path = \"self\" }]\n";
    let mistakes = mistakes_of(&text);
    assert!(
        mistakes
            .iter()
            .any(|mistake| mistake.contains("balances/loop")),
        "{mistakes:#?}"
    );
    assert!(
        mistakes.iter().any(|mistake| mistake.contains("cycle")),
        "{mistakes:#?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_arrivals_and_another_seed_others() {
    let scenario = Scenario::load("feira").expect("right");
    let first = arrivals(&scenario, 7);
    assert_eq!(first, arrivals(&scenario, 7));
    assert_ne!(first, arrivals(&scenario, 8));
}

#[test]
fn arrivals_follow_the_rates_and_the_mix() {
    let scenario = Scenario::load("feira").expect("right");
    let arrivals = arrivals(&scenario, 1);
    let mut phase_start = 0.0;
    for phase in &scenario.phase {
        let within = |at: f64| at >= phase_start && at < phase_start + phase.seconds;
        let count = arrivals
            .iter()
            .filter(|arrival| within(arrival.at.as_secs_f64()))
            .count() as f64;
        let expected = phase.rate * phase.seconds;
        // Five standard deviations of a Poisson count.
        assert!(
            (count - expected).abs() < 5.0 * expected.sqrt(),
            "{}: {count} of {expected}",
            phase.name
        );
        phase_start += phase.seconds;
    }
    let payments = arrivals.iter().filter(|arrival| arrival.kind == 0).count();
    let share = payments as f64 / arrivals.len() as f64;
    assert!((share - 0.25).abs() < 0.02, "{share}");
}

#[test]
fn the_ideal_serves_everything_below_capacity_and_critical_first_above_it() {
    let mut scenario = Scenario::load("feira").expect("right");
    scenario.fault.clear();
    scenario.phase.truncate(1);
    scenario.phase[0].rate = 50.0;
    let few = arrivals(&scenario, 1);
    let ideal = Ideal::new(&scenario, &few);
    assert!((ideal.served() - few.len() as f64).abs() < 1e-6);

    // Above what the catalogue can serve of all kinds, but not of payments.
    scenario.phase[0].rate = 1_000.0;
    let many = arrivals(&scenario, 1);
    let payments = many.iter().filter(|arrival| arrival.kind == 0).count() as f64;
    let ideal = Ideal::new(&scenario, &many);
    assert!(ideal.served() < many.len() as f64 * 0.9);
    assert!((ideal.served_critical() - payments).abs() < 1e-6);
}
