//! Tests of the operators' tool against admin servers with canned responses.

use std::cell::{Cell, RefCell};
use std::fs;
use std::future::Future;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

use endivelanding::admin::{AdminHandler, AdminPage, AdminServer, PageQuery};
use endivelanding::caller::{ServerLimits, StopSignal};
use endivelanding::clock::ClockTime;
use endivelanding::error::ResultCode;
use endivelanding::id::{NodeAddress, NodeIncarnation};
use endivelanding::membership::{MemberEntry, MemberState};
use endivelanding::status::{AppliedGroup, NodeStatus, RefusedVersion, VersionConflict};
use endivelanding::tool::{
    self, FleetReader, FleetReport, FleetSnapshot, KnownVersions, ToolExit, VersionWait,
    WaitStatus, WaitTarget,
};
use endivelanding::version::{ContentDigest, VersionStamp};
use futures_channel::oneshot;
use monoio::net::TcpListener;
use monoio::{LegacyDriver, RuntimeBuilder};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

const MANIFEST: &str = include_str!("../examples/siam-markwell/manifest.json");

fn block_on<Test>(test: Test) -> Test::Output
where
    Test: Future,
{
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    let mut runtime = builder.build().unwrap();
    runtime.block_on(test)
}

fn address(port: usize) -> NodeAddress {
    format!("127.0.0.1:{port}").parse().unwrap()
}

fn stamp(number: u64, digest: u8) -> VersionStamp {
    VersionStamp {
        number,
        digest: ContentDigest([digest; 16]),
    }
}

fn member(index: usize, zone: &str) -> MemberEntry {
    MemberEntry {
        address: address(7100 + index),
        admin: address(1),
        incarnation: NodeIncarnation(1),
        service: "ratecard".parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "central".parse().unwrap(),
        state: MemberState::Live,
    }
}

fn status(member: &MemberEntry, stamp: VersionStamp, applied: &[usize], live: usize) -> NodeStatus {
    NodeStatus {
        member: member.clone(),
        ready: true,
        uptime: ClockTime(1),
        stamp,
        applied: vec![AppliedGroup {
            stamp,
            nodes: applied.iter().map(|index| address(7100 + index)).collect(),
        }],
        read_age: ClockTime(40),
        stale_reads: 1,
        refused: Vec::new(),
        conflicts: Vec::new(),
        live_members: live,
        links: 2,
    }
}

/// Creates a snapshot of three nodes in two zones.
///
/// One node per zone is queried and reports its stamp for itself and the given nodes.
fn snapshot(stamps: [VersionStamp; 2], applied: [&[usize]; 2]) -> FleetSnapshot {
    let members = vec![member(0, "a"), member(1, "a"), member(2, "b")];
    FleetSnapshot {
        answers: vec![
            status(&members[0], stamps[0], applied[0], 3),
            status(&members[2], stamps[1], applied[1], 3),
        ],
        members,
        silent: Vec::new(),
    }
}

/// Evaluates the target with the versions known from one snapshot.
fn evaluate(target: &WaitTarget, snapshot: &FleetSnapshot) -> WaitStatus {
    target.evaluate(snapshot, &KnownVersions::from(snapshot))
}

/// Guards against reporting a version as in force while the version of a live node is unknown or
/// older, nodes have different contents, or the member list lacks a live node. Newer versions must
/// count as well.
#[test]
fn in_force_needs_every_live_node() {
    type Case<'a> = (&'a str, [VersionStamp; 2], [&'a [usize]; 2], Option<u64>);
    let (seven, eight) = (stamp(7, 1), stamp(8, 0));
    let cases: [Case<'_>; 7] = [
        ("all", [seven, seven], [&[0, 1], &[2]], Some(0)),
        ("one not named", [seven, seven], [&[0], &[2]], None),
        ("older", [seven, stamp(6, 9)], [&[0, 1], &[2]], None),
        ("two contents", [seven, stamp(7, 2)], [&[0, 1], &[2]], None),
        ("newer", [eight, eight], [&[0, 1], &[2]], Some(8)),
        ("newer in part", [seven, eight], [&[0, 1], &[2]], Some(8)),
        ("newer, one not named", [eight, eight], [&[0], &[2]], None),
    ];
    for (name, stamps, applied, expected) in cases {
        let status = evaluate(&WaitTarget::from_number(7), &snapshot(stamps, applied));
        let found = match status {
            WaitStatus::InForce { superseded_by, .. } => {
                Some(superseded_by.map_or(0, |newer| newer.number))
            }
            WaitStatus::Pending { .. } => None,
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(found, expected, "{name}");
    }
    let mut behind = snapshot([seven, seven], [&[0, 1], &[2]]);
    behind.answers[0].live_members = 4;
    let pending = WaitStatus::Pending { have: 3, live: 4 };
    assert_eq!(evaluate(&WaitTarget::from_number(7), &behind), pending);
    let empty = evaluate(&WaitTarget::from_number(7), &FleetSnapshot::default());
    assert_eq!(empty, WaitStatus::Pending { have: 0, live: 0 });
}

/// Guards against a version that is never confirmed because queried nodes report different stamps,
/// against counting a lower stamp or another content, and against keeping the version of a node that
/// has restarted.
#[test]
fn reports_of_several_versions_add_up() {
    let group = |stamp, node: usize| AppliedGroup {
        stamp,
        nodes: vec![address(7100 + node)],
    };
    let have = |target: &WaitTarget, snapshot: &FleetSnapshot, known: &KnownVersions| match target
        .evaluate(snapshot, known)
    {
        WaitStatus::InForce { live, .. } => (live, live),
        WaitStatus::Pending { have, live } => (have, live),
        other => panic!("{other:?}"),
    };
    let target = WaitTarget::from_number(7);
    // The queried node has version 9 in force and reports another node of its zone at 8, 7 or 6.
    for (known, expected) in [(stamp(8, 3), 3), (stamp(7, 3), 3), (stamp(6, 3), 2)] {
        let mut snapshot = snapshot([stamp(9, 9), stamp(9, 9)], [&[], &[]]);
        snapshot.answers[0].applied = vec![group(known, 1), group(stamp(9, 9), 0)];
        assert_eq!(
            have(&target, &snapshot, &KnownVersions::from(&snapshot)),
            (expected, 3)
        );
    }
    let manifest = WaitTarget::from_manifest(MANIFEST.as_bytes()).unwrap();
    for (known, expected) in [(stamp(1, 0), 2), (stamp(2, 0), 3)] {
        let mut snapshot = snapshot([stamp(9, 9), stamp(9, 9)], [&[], &[]]);
        snapshot.answers[0].applied.push(group(known, 1));
        assert_eq!(
            have(&manifest, &snapshot, &KnownVersions::from(&snapshot)),
            (expected, 3)
        );
    }
    // Only the first snapshot reports the version of the second node.
    let mut known = KnownVersions::from(&snapshot([stamp(7, 1); 2], [&[1], &[]]));
    let mut later = snapshot([stamp(7, 1); 2], [&[], &[]]);
    known.merge(&later);
    assert_eq!(have(&target, &later, &known), (3, 3));
    later.members[1].incarnation = NodeIncarnation(2);
    known.merge(&later);
    assert_eq!(have(&target, &later, &known), (2, 3));
}

/// Guards against a wait that ends when another version is refused, or continues after the refusal
/// of its own version.
#[test]
fn only_refusal_of_the_version_ends_the_wait() {
    let target = WaitTarget::from_manifest(MANIFEST.as_bytes()).unwrap();
    let bytes = ContentDigest::of(MANIFEST.as_bytes());
    let cases = [
        (WaitTarget::from_number(7), 7, ContentDigest([9; 16]), true),
        (WaitTarget::from_number(7), 8, ContentDigest([9; 16]), false),
        (target.clone(), 0, bytes, true),
        (target, 1, ContentDigest([9; 16]), false),
    ];
    for (target, number, digest, expected) in cases {
        let mut snapshot = snapshot([stamp(0, 0); 2], [&[], &[]]);
        snapshot.answers[0].refused.push(RefusedVersion {
            number,
            digest,
            node: address(7101),
            code: ResultCode::ManifestMissingService,
            message: String::new(),
        });
        let status = evaluate(&target, &snapshot);
        let refused = matches!(status, WaitStatus::Refused(_));
        assert_eq!(refused, expected, "{target} by {number}");
    }
}

/// Guards against reporting a discarded content as in force because its number matches.
#[test]
fn lost_content_is_a_conflict() {
    let target = WaitTarget::from_manifest(MANIFEST.as_bytes()).unwrap();
    let winner = stamp(1, 255);
    let superseding = snapshot([winner; 2], [&[0, 1], &[2]]);
    assert_eq!(
        evaluate(&target, &superseding),
        WaitStatus::Conflict(winner.digest)
    );
    let lower = snapshot([stamp(1, 0); 2], [&[0, 1], &[2]]);
    assert_eq!(
        evaluate(&target, &lower),
        WaitStatus::Pending { have: 0, live: 3 }
    );
    let mut newer = snapshot([stamp(2, 0); 2], [&[0, 1], &[2]]);
    let stamp_text = target.to_string();
    newer.answers[1].conflicts.push(VersionConflict {
        number: 1,
        winner: winner.digest,
        loser: stamp_text.split_once('-').unwrap().1.parse().unwrap(),
    });
    assert_eq!(
        evaluate(&target, &newer),
        WaitStatus::Conflict(winner.digest)
    );
}

/// Guards against a status report that omits nodes without the version, or lists thousands of them.
#[test]
fn status_names_some_unknown_nodes_and_counts_the_rest() {
    let mut snapshot = snapshot([stamp(7, 1); 2], [&[0, 1], &[2]]);
    snapshot
        .members
        .extend((3..28).map(|index| member(index, "b")));
    snapshot.answers[1].ready = false;
    let report = FleetReport::new(&snapshot);
    let zone = &report.zones[1];
    assert_eq!((zone.have, zone.live), (1, 26));
    assert_eq!((zone.unknown.len(), zone.unknown_more), (20, 5));
    assert_eq!(report.not_ready, [address(7102)]);
    assert_eq!(report.stale_reads, 2);
    let text = report.to_string();
    assert!(text.contains("at 1 of 26 live nodes"), "{text}");
    assert!(text.contains("and 5 more"), "{text}");
    let page = serde_json::to_value(&report).unwrap();
    assert_eq!(page["zones"][0]["stamp"], stamp(7, 1).to_string());
}

/// Admin handler that serves the member list and the status of one node and counts status reads.
struct CannedNode {
    members: Rc<RefCell<Vec<MemberEntry>>>,
    index: usize,
    reads: Rc<Cell<usize>>,
}

impl AdminHandler for CannedNode {
    fn get(&self, path: &str, _query: &str) -> AdminPage {
        let members = self.members.borrow();
        let text = if path == "/v1/members" {
            serde_json::to_string(&*members)
        } else {
            self.reads.set(self.reads.get() + 1);
            let all: Vec<_> = (0..members.len()).collect();
            let entry = &members[self.index];
            serde_json::to_string(&status(entry, stamp(7, 1), &all, members.len()))
        };
        AdminPage::json(200, text.unwrap())
    }
}

/// Guards against skipping a zone, or querying it without bound, when some of its nodes do not
/// answer.
#[test]
fn silent_nodes_are_replaced_within_a_bound() {
    // Number of nodes in the zone, of nodes that answer, and the minimum number of answers.
    for (nodes, answering, min_answers) in [(5, 3, 3), (8, 8, 3), (30, 1, 0)] {
        block_on(async {
            let members = Rc::new(RefCell::new(Vec::new()));
            let reads = Rc::new(Cell::new(0));
            let mut stops: Vec<oneshot::Sender<()>> = Vec::new();
            let mut servers = Vec::new();
            for index in 0..nodes {
                let mut entry = member(index, "a");
                if index < answering {
                    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                    entry.admin = NodeAddress(listener.local_addr().unwrap());
                    let (sender, stop) = StopSignal::new();
                    stops.push(sender);
                    let handler = Rc::new(CannedNode {
                        members: Rc::clone(&members),
                        index,
                        reads: Rc::clone(&reads),
                    });
                    let server = AdminServer::new(handler, ServerLimits::default());
                    servers.push(monoio::spawn(async move {
                        server.serve(listener, stop).await;
                    }));
                }
                members.borrow_mut().push(entry);
            }
            let first = members.borrow()[0].admin.0;
            // The first address does not answer, so the reader must use the second one.
            let mut reader = FleetReader::new(vec![address(1).0, first]);
            let mut rng = StdRng::seed_from_u64(5);
            let snapshot = reader.read_snapshot(&mut rng).await.unwrap();
            assert_eq!(snapshot.answers.len(), reads.get());
            assert!(
                reads.get() >= min_answers && reads.get() <= 3,
                "{}",
                reads.get()
            );
            assert!(reads.get() + snapshot.silent.len() <= 6);
            if min_answers > 0 {
                let wait = VersionWait {
                    target: WaitTarget::from_number(7),
                    timeout: ClockTime(2_000),
                };
                let result = wait.run(&mut reader, &mut rng, |_, _| {}).await;
                assert_eq!(
                    result.output(&wait.target, false).exit_status(),
                    ToolExit::Success
                );
                let later = WaitTarget::from_number(9);
                let wait = VersionWait {
                    target: later,
                    timeout: ClockTime(300),
                };
                let result = wait.run(&mut reader, &mut rng, |_, _| {}).await;
                let output = result.output(&wait.target, false);
                assert_eq!(output.errors[0].code(), ResultCode::WaitTimeout);
                assert_eq!(output.exit_status(), ToolExit::TimedOut);
            }
            stops.clear();
            for server in servers {
                server.await;
            }
        });
    }
}

/// Admin handler that serves a fixed text for each path.
struct CannedPages(Vec<(&'static str, String)>);

impl AdminHandler for CannedPages {
    fn get(&self, path: &str, _query: &str) -> AdminPage {
        let page = self.0.iter().find(|(name, _)| *name == path);
        page.map_or_else(
            || AdminPage::text(404, "none"),
            |(_, text)| AdminPage::json(200, text.clone()),
        )
    }
}

/// Guards against JSON output that breaks its consumers: renamed or missing fields, a different
/// format of stamps or codes, and a result that contradicts the exit code.
#[test]
fn json_forms_are_stable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let admin = listener.local_addr().unwrap();
    let mut members = vec![member(0, "a"), member(1, "a")];
    members[0].admin = NodeAddress(admin);
    let mut answer = status(&members[0], stamp(8, 2), &[0], 2);
    answer.applied.push(AppliedGroup {
        stamp: stamp(7, 1),
        nodes: vec![address(7101)],
    });
    answer.refused.push(RefusedVersion {
        number: 9,
        digest: ContentDigest([9; 16]),
        node: address(7100),
        code: ResultCode::ManifestMissingService,
        message: "no service `x`".to_owned(),
    });
    let explained = json!({
        "stamp": stamp(8, 2), "prefix": "/price", "service": "ratecard", "kind": "price",
        "endpoints": [{"address": "127.0.0.1:7100", "zone": "a", "state": "ok", "in_flight": 1,
                       "load": 500, "slowness": 1.5}]});
    let row = json!({
        "service": "ratecard", "kind": "price", "objective": 0.99, "short_calls": 10,
        "short_bad": 1, "long_calls": 100, "long_bad": 2, "bad_by_code": {"303": 2}});
    let report = json!({"short_window": 300_000, "long_window": 3_600_000, "covered": 60_000,
                        "rows": [row]});
    let pages = vec![
        ("/v1/members", json!(members).to_string()),
        ("/v1/status", json!(answer).to_string()),
        ("/v1/explain", explained.to_string()),
        ("/v1/burn", report.to_string()),
    ];
    let (sender, receiver) = mpsc::channel();
    let server = thread::spawn(move || {
        block_on(async {
            let (stop_sender, stop) = StopSignal::new();
            sender.send(stop_sender).unwrap();
            let handler = Rc::new(CannedPages(pages));
            let server = AdminServer::new(handler, ServerLimits::default());
            server
                .serve(TcpListener::from_std(listener).unwrap(), stop)
                .await;
        });
    });
    let stop = receiver.recv().unwrap();
    let read = |arguments: &[&str]| -> (Option<i32>, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_endivectl"));
        command.args(arguments).arg("--json");
        let output = command.arg(format!("--admin={admin}")).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert_eq!(text.lines().count(), 1, "{arguments:?}: {text}");
        (output.status.code(), serde_json::from_str(&text).unwrap())
    };
    let waited = |number: u64, timeout: u64| {
        let (number, timeout) = (number.to_string(), timeout.to_string());
        read(&["wait", "--number", &number, "--timeout-ms", &timeout])
    };
    let (eight, seven) = (stamp(8, 2).to_string(), stamp(7, 1).to_string());
    let message =
        format!("version {seven} is in force at 2 of 2 live nodes, superseded by {eight}");
    let page = json!({"target": "7", "in_force": true, "have": 2, "live": 2, "stamp": seven,
                      "superseded_by": eight, "code": 0, "message": message});
    assert_eq!(waited(7, 5_000), (Some(0), page));
    let page = json!({"target": "8", "in_force": false, "have": 1, "live": 2, "stamp": null,
                      "superseded_by": null, "code": 606,
                      "message": "version 8 is known at 1 of 2 live nodes after 300ms"});
    assert_eq!(waited(8, 300), (Some(4), page));
    let message = "node 127.0.0.1:7100 refused version 9 with code 204: no service `x`";
    let page = json!({"target": "9", "in_force": false, "have": null, "live": null, "stamp": null,
                      "superseded_by": null, "code": 607, "message": message});
    assert_eq!(waited(9, 5_000), (Some(3), page));
    let mut page = explained;
    page["stamp"] = eight.into();
    assert_eq!(read(&["explain", "GET", "/price/1"]), (Some(0), page));
    let page = json!({"nodes": 1, "live": 2, "silent": 1, "report": report});
    assert_eq!(read(&["burn"]), (Some(0), page.clone()));
    assert_eq!(read(&["burn", "--all"]), (Some(0), page));
    drop(stop);
    server.join().unwrap();
}

/// Guards against losing the query of an encoded path, and against failing on an invalid percent
/// escape.
#[test]
fn query_survives_encoding() {
    for path in ["/a?b=c&method=PUT", "/100%", "/a%2Fb", "/ก ข", "%zz%4", ""] {
        let query = PageQuery::default()
            .with_field("method", "GET")
            .with_field("path", path);
        let text = query.encode();
        assert!(text.bytes().all(|byte| byte.is_ascii_graphic()), "{text}");
        let decoded = PageQuery::decode(&text);
        assert_eq!(decoded.get("path"), Some(path));
        assert_eq!(decoded.get("method"), Some("GET"));
    }
    assert_eq!(PageQuery::decode("path=%zz%4").get("path"), Some("%zz%4"));
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let name = format!("operators-tool-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Guards against accepting two nodes with the same address, and against rejecting the same loopback
/// address of backend servers on different machines.
#[test]
fn shared_addresses_are_reported() {
    let write = |name: &str, host: &str, port: u16| {
        let listen = ["caller", "peer", "admin"].into_iter().zip(port..);
        let listen: String = listen
            .map(|(key, port)| format!("{key} = \"{host}:{port}\"\n"))
            .collect();
        let text = format!(
            "[placement]\nservice = \"ratecard\"\nzone = \"a\"\nregion = \"central\"\n\
             [listen]\n{listen}[backend]\naddress = \"127.0.0.1:9\"\n\
             [platform]\nconfig = \"10.0.9.1:1\"\ninstances = \"10.0.9.1:2\"\n\
             region = \"central\"\n"
        );
        write_temp_file(name, &text)
    };
    let first = write("1", "10.0.0.1", 7000);
    let other = write("2", "10.0.0.2", 7000);
    let same = write("3", "10.0.0.1", 7000);
    let valid = tool::check_settings(&[first.clone(), other.clone()]);
    assert_eq!(valid.exit_status(), ToolExit::Success, "{:?}", valid.errors);
    let output = tool::check_settings(&[first.clone(), same.clone()]);
    assert_eq!(output.errors.len(), 4, "{:?}", output.errors);
    assert!(
        output
            .errors
            .iter()
            .all(|error| error.code().number() == 106)
    );
    assert_eq!(output.exit_status(), ToolExit::Invalid);
    for path in [first, other, same] {
        fs::remove_file(path).unwrap();
    }
}

/// Guards against wrong exit codes, and against hanging when no node is reachable.
#[test]
fn exit_codes_and_error_lines() {
    let good = write_temp_file("good.json", MANIFEST);
    let bad = write_temp_file(
        "bad.json",
        &MANIFEST.replacen("\"number\"", "\"nummer\"", 1),
    );
    let (good_path, bad_path) = (good.to_str().unwrap(), bad.to_str().unwrap());
    let admin = "--admin=127.0.0.1:1";
    let cases: [(&[&str], i32, &str); 9] = [
        (&["check-manifest", good_path], 0, ""),
        (&["check-manifest", bad_path], 2, "(code 203)"),
        (&["check-manifest", "/absent.json"], 2, "(code 101)"),
        (&["check-settings", "/absent.toml"], 2, "(code 101)"),
        (&["wait", admin], 2, "--number"),
        (&["wait", "--manifest", bad_path, admin], 2, "(code 203)"),
        (&["wait", "--number=1", admin], 5, "(code 313)"),
        (&["status", admin], 5, "(code 313)"),
        (&["explain", admin, "GET", "/price"], 5, "(code 313)"),
    ];
    for (arguments, code, text) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_endivectl"));
        let output = command.args(arguments).output().unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(errors.contains(text), "{arguments:?}: {errors}");
        if text.starts_with("(code") {
            assert_eq!(errors.lines().count(), 1, "{arguments:?}: {errors}");
        }
    }
    fs::remove_file(good).unwrap();
    fs::remove_file(bad).unwrap();
}
