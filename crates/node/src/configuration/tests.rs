//! Versions only increase, and an invalid configuration does not replace the active one.

use sailtrack_units::ConfigVersion;

use crate::configuration::{Configuration, Content, Source};

fn content(limit: u32) -> String {
    let content = Content {
        declaration: format!("[service desk]\nlimit = {limit}\n"),
        history: Vec::new(),
    };
    serde_json::to_string(&content).expect("it can be written")
}

#[test]
fn never_back() {
    let configuration = Configuration::new();
    let advance = |version, limit| {
        configuration
            .advance(ConfigVersion(version), &content(limit), Source::Peer)
            .expect("it is sound")
    };
    assert!(advance(3, 30));
    assert!(!advance(2, 20));
    assert!(!advance(3, 31));
    assert_eq!(configuration.version(), ConfigVersion(3));
    assert!(configuration.current().content.declaration.contains("30"));
    assert!(advance(4, 40));
}

#[test]
fn unreadable_is_refused() {
    let configuration = Configuration::new();
    let advanced = configuration.advance(ConfigVersion(1), "not json", Source::Peer);
    assert!(advanced.is_err());
    assert_eq!(configuration.version(), ConfigVersion(0));
}
