//! Tenant directory: lookup of tenants by key and by name, and ranks of tenants.

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
    let digests = keys.iter().map(|key| KeyDigest::from_key(key.as_bytes()));
    digests.collect()
}

#[test]
fn finds_tenant_by_exact_key() {
    let tenants = vec![
        (tenant("ana", 1), keys(&["a1", "a2"])),
        (tenant("rui", 1), keys(&["r1"])),
    ];
    let directory = TenantDirectory::new(tenants).unwrap();
    let holder = |key: &str| {
        directory
            .tenant_by_key(key.as_bytes())
            .map(|tenant| tenant.name.to_string())
    };
    assert_eq!(holder("a2").as_deref(), Some("ana"));
    assert_eq!(holder("r1").as_deref(), Some("rui"));
    assert_eq!(holder("a"), None);
    assert_eq!(holder(""), None);
    assert!(directory.tenant_by_name("ana").is_some() && directory.tenant_by_name("eva").is_none());
}

#[test]
fn rejects_duplicate_keys_and_names() {
    let shared_key = vec![
        (tenant("ana", 1), keys(&["secret"])),
        (tenant("rui", 1), keys(&["secret"])),
    ];
    let error = TenantDirectory::new(shared_key).unwrap_err();
    assert!(matches!(error, TenantError::SharedKey { .. }));
    assert!(!error.to_string().contains("secret"), "{error}");
    let duplicate_name = vec![(tenant("ana", 1), keys(&[])), (tenant("ana", 1), keys(&[]))];
    let error = TenantDirectory::new(duplicate_name).unwrap_err();
    assert_eq!(error, TenantError::DuplicateName("ana".into()));
}

#[test]
fn ranks_tenants_by_distinct_priorities() {
    let tenants = vec![
        (tenant("first", 0), keys(&["f"])),
        (tenant("second", 3), keys(&["s"])),
        (tenant("too", 3), keys(&["t"])),
        (tenant("last", 7), keys(&["l"])),
    ];
    let directory = TenantDirectory::new(tenants).unwrap();
    let rank = |name: &str| directory.tenant_by_name(name).expect("tenant exists").rank;
    let expected_rank = |higher_priorities, lower_priorities| TenantRank {
        higher_priorities,
        lower_priorities,
    };
    assert_eq!(rank("first"), expected_rank(0, 2));
    assert_eq!(rank("second"), expected_rank(1, 1));
    assert_eq!(rank("too"), expected_rank(1, 1));
    assert_eq!(rank("last"), expected_rank(2, 0));
    let equal_tenants = vec![(tenant("ana", 4), keys(&[])), (tenant("rui", 4), keys(&[]))];
    let equal_directory = TenantDirectory::new(equal_tenants).unwrap();
    assert_eq!(
        equal_directory
            .tenant_by_name("ana")
            .expect("tenant exists")
            .rank,
        expected_rank(0, 0)
    );
}
