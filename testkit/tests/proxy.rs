//! Tests of the fault proxy. A proxy that loses or reorders bytes would make failures of its own
//! look like failures of the nodes.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testkit::wire::BlockingClient;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, PortRange, ProcessGuard, RunningFleet};

type TestResult = Result<(), Box<dyn std::error::Error>>;

struct Setup {
    _ports: PortRange,
    _guard: ProcessGuard,
    control: HttpProbe,
    listen: SocketAddr,
}

impl Setup {
    fn new(target: SocketAddr, latency_ms: u64, rate: Option<u64>) -> io::Result<Setup> {
        let guard = ProcessGuard::start("fault-proxy", [""; 0])?;
        let mut ports = PortRange::claim()?;
        let listen = ports.address()?;
        let control = HttpProbe::new(guard.address("control")?);
        let setup = Setup {
            _ports: ports,
            _guard: guard,
            control,
            listen,
        };
        setup.post(
            "/mapping",
            &json!({
                "groups": [{ "name": "link", "bits_per_second": rate }],
                "mappings": [{ "name": "m", "listen": listen, "target": target, "group": "link",
                    "latency_ms": latency_ms }],
            }),
        )?;
        Ok(setup)
    }

    fn post(&self, target: &str, request: &Value) -> io::Result<()> {
        let response = self.control.post(target, request.to_string().as_bytes())?;
        if response.status != 200 {
            return Err(io::Error::other(response.text()));
        }
        Ok(())
    }

    fn client(&self) -> io::Result<BlockingClient> {
        BlockingClient::connect(self.listen, Duration::from_millis(400))
    }
}

fn backend() -> io::Result<(ProcessGuard, SocketAddr)> {
    let guard = ProcessGuard::start("standin-backend", ["--answer-bytes=5000"])?;
    let address = guard.address("listen")?;
    Ok((guard, address))
}

fn echo_server() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
    Ok(address)
}

fn echo(listen: SocketAddr, data: Vec<u8>) -> io::Result<Vec<u8>> {
    let stream = TcpStream::connect(listen)?;
    let mut writer = stream.try_clone()?;
    let writing = thread::spawn(move || {
        writer.write_all(&data)?;
        writer.shutdown(Shutdown::Write)
    });
    let mut received = Vec::new();
    (&stream).read_to_end(&mut received)?;
    writing.join().expect("writing thread")?;
    Ok(received)
}

/// Guards against reordered bytes when the latency changes under load.
#[test]
fn bytes_stay_in_order() -> TestResult {
    let setup = Setup::new(echo_server()?, 20, None)?;
    let data: Vec<u8> = (0..1_000_000_u32).flat_map(u32::to_be_bytes).collect();
    let streams: Vec<_> = (0..4)
        .map(|_| {
            let (listen, data) = (setup.listen, data.clone());
            thread::spawn(move || echo(listen, data))
        })
        .collect();
    for latency_ms in [5, 30, 0, 10] {
        thread::sleep(Duration::from_millis(30));
        setup.post(
            "/mapping",
            &json!({ "mappings": [{ "name": "m", "listen": setup.listen,
            "target": setup.listen, "latency_ms": latency_ms }] }),
        )?;
    }
    for stream in streams {
        assert!(
            stream.join().expect("stream thread")? == data,
            "bytes differ"
        );
    }
    let bytes = setup.control.get("/bytes")?.body_json();
    assert_eq!(bytes["mappings"]["m"]["to_target"], 16_000_000);
    assert_eq!(bytes["groups"]["link"]["to_source"], 16_000_000);
    Ok(())
}

/// Guards against latency or bandwidth limits without effect; two streams share the bandwidth.
#[test]
fn latency_and_bandwidth_act() -> TestResult {
    let setup = Setup::new(echo_server()?, 30, Some(8_000_000))?;
    let start = Instant::now();
    echo(setup.listen, vec![1; 10])?;
    assert!(start.elapsed() >= Duration::from_millis(60));
    let start = Instant::now();
    let listen = setup.listen;
    let streams = [(); 2].map(|()| thread::spawn(move || echo(listen, vec![1; 200_000])));
    for stream in streams {
        assert_eq!(stream.join().expect("stream thread")?.len(), 200_000);
    }
    // 400 kB at 1 MB/s take 400 ms in each direction; both directions overlap.
    assert!(start.elapsed() >= Duration::from_millis(400));
    Ok(())
}

/// Guards against a cut that leaves connections open or that remains in effect after it is cleared.
#[test]
fn cut_resets_and_refuses() -> TestResult {
    let (_guard, target) = backend()?;
    let setup = Setup::new(target, 1, None)?;
    let mut kept = setup.client()?;
    kept.call("GET", "/a", &[], &[])?;
    setup.post("/fault", &json!({ "mode": "cut", "mappings": ["m"] }))?;
    let error = kept
        .call("GET", "/a", &[], &[])
        .expect_err("connection is reset");
    let expected = [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
    assert!(expected.contains(&error.kind()), "{error:?}");
    let refused = setup.client().expect_err("listener is closed");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    setup.post("/fault", &json!({ "mode": "none" }))?;
    assert_eq!(setup.client()?.call("GET", "/a", &[], &[])?.status, 200);
    Ok(())
}

/// Guards against a silent mode that does not affect existing connections, or that still affects
/// new ones after it is cleared.
#[test]
fn silence_holds_for_open_connections() -> TestResult {
    let (_guard, target) = backend()?;
    let setup = Setup::new(target, 1, None)?;
    for mode in ["silent", "silent_open"] {
        let mut kept = setup.client()?;
        kept.call("GET", "/a", &[], &[])?;
        setup.post("/fault", &json!({ "mode": mode, "groups": ["link"] }))?;
        let error = kept
            .call("GET", "/a", &[], &[])
            .expect_err("connection is silent");
        assert_eq!(error.kind(), io::ErrorKind::WouldBlock, "{mode}");
        let fresh = setup.client()?.call("GET", "/a", &[], &[]);
        assert_eq!(fresh.is_ok(), mode == "silent_open", "{mode}");
        setup.post("/fault", &json!({ "mode": "none" }))?;
        assert!(kept.call("GET", "/a", &[], &[]).is_err());
        assert_eq!(setup.client()?.call("GET", "/a", &[], &[])?.status, 200);
    }
    Ok(())
}

/// Guards against a truncation that forwards the complete response or counts bytes incorrectly.
#[test]
fn truncation_counts_bytes() -> TestResult {
    let (_guard, target) = backend()?;
    let setup = Setup::new(target, 1, None)?;
    setup.post(
        "/fault",
        &json!({ "mode": "truncate", "after_bytes": 1_000 }),
    )?;
    assert!(setup.client()?.call("GET", "/a", &[], &[]).is_err());
    let bytes = setup.control.get("/bytes")?.body_json();
    assert_eq!(bytes["mappings"]["m"]["to_source"], 1_000);
    setup.post("/fault", &json!({ "mode": "none" }))?;
    assert_eq!(setup.client()?.call("GET", "/a", &[], &[])?.status, 200);
    Ok(())
}

/// Guards against a fleet whose processes cannot reach each other at the planned addresses.
#[test]
fn fleet_is_reached_through_mappings() -> TestResult {
    let folder = std::env::temp_dir().join(format!("testkit-fleet-{}", std::process::id()));
    let mut plan = FleetPlan::new(DeploymentPlan::example("timbre-listo")?, &folder)?;
    plan.apply_latencies()?;
    let mut fleet = RunningFleet::start_backends(plan)?;
    fleet.publish(b"{}")?;
    let far = |fleet: &RunningFleet| {
        let mut endpoints = fleet.plan.endpoints.iter();
        endpoints.find(|entry| entry.region == "pacifico").cloned()
    };
    let endpoint = far(&fleet).ok_or("no endpoint in the other region")?;
    let start = Instant::now();
    assert_eq!(
        HttpProbe::new(endpoint.config).get("/v1/manifest")?.text(),
        "{}"
    );
    assert!(start.elapsed() >= Duration::from_millis(16));
    let list = HttpProbe::new(endpoint.instances)
        .get("/v1/instances")?
        .body_json();
    assert_eq!(list["instances"].as_array().map(Vec::len), Some(17));
    let body = HttpProbe::new(endpoint.backend)
        .get("/scoreboard/1")?
        .body_json();
    assert_eq!(body["instance"], endpoint.name);
    assert!(fleet.stop(5_000)?.is_empty());
    Ok(())
}
