//! The demo's settings are ones that the programs take.

use std::path::Path;

use banyangauge::catalog::Catalog;
use banyangauge::control::ControlSettings;
use banyangauge::entry::EntrySettings;
use banyangauge::operator::parse_intent;
use banyangauge::settings::Settings;
use serde::de::DeserializeOwned;

fn read(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../settings/demo");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

fn filled<S: Settings + DeserializeOwned>(name: &str) -> S {
    let text = read(name)
        .replace("@VM@", "vm-1")
        .replace("@ZONE@", "suva-a")
        .replace("@PORT@", "1811")
        .replace("@PEER@", "1812");
    let settings: S = toml::from_str(&text).unwrap();
    settings.check().unwrap();
    settings
}

#[test]
fn settings_joined() {
    let control = filled::<ControlSettings>("control.toml");
    let entry = filled::<EntrySettings>("entry.toml");
    assert_eq!(entry.controls[0], control.listen);
    assert_eq!(entry.controls[1..], control.peers);
}

#[test]
fn intent_applies() {
    let intent = parse_intent(&read("intent.json")).unwrap();
    let mut catalog = Catalog::default();
    catalog.apply(&intent.changes).unwrap();
    assert_eq!(catalog.adapters.len(), 20);
    assert!(catalog.adapters.values().all(|a| a.serving.len() == 2));
}
