//! Tests of the settings rules: a node must not start with settings that are invalid or unknown.

use endivelanding::settings::NodeSettings;

const VALID: &str = r#"
seeds = ["127.0.0.1:7102"]
log_level = "warn"
[placement]
service = "ratecard"
zone = "bangna"
region = "central"
[listen]
caller = "127.0.0.1:7000"
peer = "127.0.0.1:7100"
admin = "127.0.0.1:7200"
[backend]
address = "127.0.0.1:7300"
[platform]
config = "127.0.0.1:7400"
instances = "127.0.0.1:7401"
region = "central"
"#;

#[test]
fn valid_settings_take_defaults() {
    let settings = NodeSettings::parse("node.toml", VALID).unwrap();
    assert_eq!(settings.call.queue_limit, 64);
    assert_eq!(settings.platform.call_budget.to_string(), "2000");
}

#[test]
fn each_mistake_names_file_key_and_allowed_values() {
    let cases: &[(&str, &str, u16, &str)] = &[
        (
            "zone = \"bangna\"",
            "zone = \"bangna\"\nzoom = 1",
            103,
            "unknown key `placement.zoom`",
        ),
        (
            "log_level",
            "extra = 1\nlog_level",
            103,
            "unknown key `extra`",
        ),
        (
            "zone = \"bangna\"",
            "",
            104,
            "key `placement.zone` is missing; it must be 1 to 64 characters",
        ),
        (
            "zone = \"bangna\"",
            "zone = \"Bang Na\"",
            105,
            "key `placement.zone` must be 1 to 64 characters",
        ),
        (
            "\"warn\"",
            "\"loud\"",
            105,
            "key `log_level` must be off, error, warn, info, debug or trace",
        ),
        (
            "[backend]",
            "[call]\nqueue_limit = 0\n[backend]",
            105,
            "key `call.queue_limit` must be an integer from 1 to 10000",
        ),
        (
            "[backend]",
            "[call]\ndepth_limit = \"8\"\n[backend]",
            105,
            "key `call.depth_limit` must be an integer from 1 to 64",
        ),
        (
            "[backend]",
            "[burn]\nlong_window_ms = 60000\n[backend]",
            105,
            "key `burn.short_window_ms` must be less than",
        ),
        (
            "127.0.0.1:7100",
            "0.0.0.0:7100",
            105,
            "key `listen.peer` must be a numeric address",
        ),
        (
            "127.0.0.1:7100",
            "node-1:7100",
            105,
            "key `listen.peer` must be a numeric address",
        ),
        (
            "127.0.0.1:7200",
            "127.0.0.1:7100",
            106,
            "key `listen.admin` repeats the address 127.0.0.1:7100 of key `listen.peer`",
        ),
        (
            "127.0.0.1:7102",
            "127.0.0.1:7100",
            106,
            "key `seeds` repeats the address 127.0.0.1:7100",
        ),
        (
            "[listen]",
            "[dial]\n\"127.0.0.1:7102\" = \"tunnel\"\n[listen]",
            105,
            "key `dial.127.0.0.1:7102` must be a numeric address",
        ),
        ("[listen]", "[listen", 102, "not valid TOML"),
    ];
    for (from, to, code, message) in cases {
        let text = VALID.replace(from, to);
        let error = NodeSettings::parse("node.toml", &text).unwrap_err();
        assert_eq!(error.code().number(), *code, "{error}");
        assert!(error.to_string().starts_with("node.toml: "), "{error}");
        assert!(error.to_string().contains(message), "{error}");
        assert!(!error.to_string().contains('\n'), "{error}");
    }
}

#[test]
fn unreadable_file_is_reported() {
    let error = NodeSettings::load("/nonexistent/node.toml".as_ref()).unwrap_err();
    assert_eq!(error.code().number(), 101);
}

#[test]
fn documented_keys_with_their_defaults_are_accepted() {
    let table = include_str!("../docs/settings.md");
    let mut text = String::from(VALID);
    let rows = table.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split('|').map(str::trim);
        let key = cells.next()?.trim_end_matches('`');
        Some((key, cells.next()?))
    });
    let mut keys = 0;
    for (key, default) in rows {
        keys += 1;
        let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
        if default == "-" || default == "drawn" || VALID.contains(&format!("{name} =")) {
            continue;
        }
        let header = format!("[{table}]\n");
        if !text.contains(&header) {
            text.push_str(&header);
        }
        text = text.replace(&header, &format!("{header}{name} = {default}\n"));
    }
    assert_eq!(keys, 30);
    NodeSettings::parse("node.toml", &text).unwrap();
}
