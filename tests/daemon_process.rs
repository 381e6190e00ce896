//! Tests of the daemon process: the system resources it uses, its rejection of invalid settings, and
//! calls through two nodes.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::fs;
use std::net::TcpListener;
use std::process::{Command, Output};

use testkit::{HttpProbe, ProcessGuard};
use watched_fleet::{MAX_PROPAGATION_TIME, WatchedFleet, manifest};

fn run(arguments: &[&str]) -> Output {
    let program = ProcessGuard::program_path("endive-node").unwrap();
    testkit::run_to_end(Command::new(program).args(arguments)).unwrap()
}

/// Guards against use of io_uring or child processes by the daemon, and against a changed route that
/// does not apply to calls.
#[test]
fn calls_follow_a_changed_route_and_nodes_use_no_io_uring_or_children() {
    let watched = WatchedFleet::start("daemon", 1, None, false);
    let answered_by = |index: usize| {
        let entry = watched.fleet.plan.endpoints[index].entry;
        let answer = HttpProbe::new(entry).get("/rolls/7").unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.body_json()["instance"].as_str().unwrap().to_owned()
    };
    for index in watched.running_nodes() {
        assert_eq!(answered_by(index), "rollcheck-1");
    }
    let mut next = manifest(2, 0);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["prefix"] == "/rolls" {
            route["service"] = "ratecard".into();
        }
    }
    watched.fleet.publish(next.to_string().as_bytes()).unwrap();
    watched.wait_in_force(&watched.running_nodes(), 2, MAX_PROPAGATION_TIME);
    for index in watched.running_nodes() {
        assert_eq!(answered_by(index), "ratecard-1");
    }
    for node in watched.fleet.nodes.iter().flatten() {
        let proc_dir = format!("/proc/{}", node.id());
        let links = fs::read_dir(format!("{proc_dir}/fd")).unwrap();
        let links = links.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        let links: Vec<String> = links.map(|link| link.display().to_string()).collect();
        assert!(
            links.iter().any(|link| link.contains("eventpoll")),
            "{links:?}"
        );
        assert!(
            !links.iter().any(|link| link.contains("io_uring")),
            "{links:?}"
        );
        for task in fs::read_dir(format!("{proc_dir}/task")).unwrap() {
            let children = fs::read_to_string(task.unwrap().path().join("children")).unwrap();
            assert_eq!(children, "", "child processes of {proc_dir}");
        }
    }
    watched.check_and_stop(2);
}

/// Guards against a daemon that starts with invalid settings, and against a `check` command that
/// needs the network.
#[test]
fn wrong_settings_end_with_one_line_and_code_2() {
    let text = include_str!("../examples/siam-markwell/node.toml");
    let directory = std::env::temp_dir().join(format!("endive-settings-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join("node.toml");
    let path = file.to_str().unwrap();
    let used = TcpListener::bind("127.0.0.1:0").unwrap();
    let used_address = used.local_addr().unwrap().to_string();
    // Settings, whether `check` also detects the error, and a text that the message must contain.
    let cases = [
        (text.replace("[listen]", "[listen"), true, "node.toml"),
        (text.replace("log_level", "log_levle"), true, "log_levle"),
        (
            text.replace("zone = \"bangna\"", ""),
            true,
            "placement.zone",
        ),
        (
            text.replace("watch_wait_ms = 3000", "watch_wait_ms = 0"),
            true,
            "platform.watch_wait_ms",
        ),
        (
            text.replace("127.0.0.1:7103", "127.0.0.1:7101"),
            true,
            "listen.admin",
        ),
        (
            text.replace("127.0.0.1:7001", "config.example:7001"),
            true,
            "platform.config",
        ),
        (
            text.replace("127.0.0.1:7103", &used_address),
            false,
            &used_address,
        ),
    ];
    for (settings, checked, expected) in &cases {
        assert_ne!(settings, text, "{expected}");
        fs::write(&file, settings).unwrap();
        for command in ["check", "run"] {
            if command == "check" && !checked {
                continue;
            }
            let output = run(&[command, "--settings", path]);
            let lines = String::from_utf8(output.stderr).unwrap();
            assert_eq!(
                output.status.code(),
                Some(2),
                "{command} {expected}: {lines}"
            );
            assert_eq!(lines.lines().count(), 1, "{command} {expected}: {lines}");
            assert!(lines.contains(expected), "{command} {expected}: {lines}");
            assert_eq!(output.stdout, b"", "{command} {expected}");
        }
    }
    fs::write(&file, text).unwrap();
    let output = run(&["check", "--settings", path]);
    assert_eq!(output.status.code(), Some(0));
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        String::from_utf8(output.stdout)
            .unwrap()
            .contains("endive-node run")
    );
    assert_eq!(
        run(&["run", "--settings", "/absent"]).status.code(),
        Some(2)
    );
    let _ = fs::remove_dir_all(&directory);
}
