//! The directory of tenants: whose key each is, and which tenant goes before which.

use tallybridge_mesh::configuration::tenants::{
    KeyDigest, Tenant, TenantDirectory, TenantError, TenantRank,
};

fn tenant(name: &str, priority: u8) -> Tenant {
    Tenant {
        name: name.into(),
        priority,
        rank: TenantRank::default(),
        limit: None,
    }
}

fn keys(keys: &[&str]) -> Vec<KeyDigest> {
    let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    digests.collect()
}

#[test]
fn a_key_is_its_holder_s_and_nobody_else_s() {
    let all = vec![
        (tenant("ana", 1), keys(&["a1", "a2"])),
        (tenant("rui", 1), keys(&["r1"])),
    ];
    let directory = TenantDirectory::new(all).unwrap();
    let holder = |key: &str| {
        directory
            .tenant_by_key(key.as_bytes())
            .map(|of| of.name.to_string())
    };
    assert_eq!(holder("a2").as_deref(), Some("ana"));
    assert_eq!(holder("r1").as_deref(), Some("rui"));
    assert_eq!(holder("a"), None);
    assert_eq!(holder(""), None);
    assert!(directory.tenant_by_name("ana").is_some() && directory.tenant_by_name("eva").is_none());
}

#[test]
fn a_shared_key_and_a_name_given_twice_are_refused_without_showing_the_key() {
    let shared = vec![
        (tenant("ana", 1), keys(&["secret"])),
        (tenant("rui", 1), keys(&["secret"])),
    ];
    let error = TenantDirectory::new(shared).unwrap_err();
    assert!(matches!(error, TenantError::SharedKey { .. }));
    assert!(!error.to_string().contains("secret"), "{error}");
    let twice = vec![(tenant("ana", 1), keys(&[])), (tenant("ana", 1), keys(&[]))];
    let error = TenantDirectory::new(twice).unwrap_err();
    assert_eq!(error, TenantError::DuplicateName("ana".into()));
}

#[test]
fn tenants_rank_by_the_priorities_that_there_are() {
    let all = vec![
        (tenant("first", 0), keys(&["f"])),
        (tenant("second", 3), keys(&["s"])),
        (tenant("too", 3), keys(&["t"])),
        (tenant("last", 7), keys(&["l"])),
    ];
    let directory = TenantDirectory::new(all).unwrap();
    let rank = |name: &str| directory.tenant_by_name(name).expect("it is there").rank;
    let expect = |before, after| TenantRank {
        higher_priorities: before,
        lower_priorities: after,
    };
    assert_eq!(rank("first"), expect(0, 2));
    assert_eq!(rank("second"), expect(1, 1));
    assert_eq!(rank("too"), expect(1, 1));
    assert_eq!(rank("last"), expect(2, 0));
    let alike = vec![(tenant("ana", 4), keys(&[])), (tenant("rui", 4), keys(&[]))];
    let alike = TenantDirectory::new(alike).unwrap();
    assert_eq!(
        alike.tenant_by_name("ana").expect("there").rank,
        expect(0, 0)
    );
}
