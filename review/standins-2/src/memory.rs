//! Case 7: legal requests that take a node beyond the memory of its machine.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Barrier, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::scene::{self, CasePaths, Place, Scene};

/// Memory of a machine of the small deployments.
const MEMORY_MB: u64 = 260;
/// Clients that upload a body in chunks, and its size. The configuration allows 64 MiB.
const UPLOAD_COUNT: usize = 2;
const UPLOAD_BYTES: usize = 64_000 * 1_024;
const CHUNK_BYTES: usize = 60_000;
/// Clients that send idempotent requests behind an order, and how many each. The configuration allows
/// 16,384 bytes of headers.
const PIPELINE_COUNT: usize = 60;
const PIPELINED_REQUESTS: usize = 20;
const FILLER_BYTES: usize = 15_000;
/// Ordinary clients, each with one kept connection.
const ORDINARY_COUNT: usize = 12;
/// Answers that may be lost (rule LOST).
const ALLOWED_LOSSES: usize = 3;

const BULK: Place = Place {
    zone: "bangna",
    service: "salesdesk",
    work_ms: 360,
    answer_bytes: 4,
};
const PRINT: Place = Place {
    zone: "bangna",
    service: "pressroom",
    work_ms: 180,
    answer_bytes: 4,
};
const ROLL: Place = Place {
    zone: "bangna",
    service: "rollcheck",
    work_ms: 360,
    answer_bytes: 4,
};
const PLACES: &[Place] = &[
    BULK, BULK, BULK, BULK, PRINT, PRINT, PRINT, PRINT, ROLL, ROLL, ROLL, ROLL,
];
const ROUTES: &[(&str, &str, &str, u32)] = &[
    ("order", "non_idempotent", "salesdesk", 2_500),
    ("stock", "idempotent", "salesdesk", 2_500),
    ("print", "non_idempotent", "pressroom", 2_500),
    ("sheet", "non_idempotent", "rollcheck", 2_500),
];

/// What an ordinary client saw of a request that got no complete answer.
struct Unanswered {
    id: String,
    is_kept: bool,
}

#[derive(Default)]
struct Seen {
    served: AtomicU32,
    unanswered: Mutex<Vec<Unanswered>>,
    is_over: AtomicBool,
}

pub fn play(paths: &CasePaths, is_troubled: bool) -> io::Result<bool> {
    let config = scene::config(1, ROUTES);
    let mut scene = Scene::start(paths, &config, PLACES, MEMORY_MB, None)?;
    scene.wait_served(0, "POST", &["/order/0", "/print/0", "/sheet/0"])?;
    let record = Arc::clone(&scene.record);
    let to = scene.nodes[0].client_address();
    let seen = Arc::new(Seen::default());
    let mut clients = Vec::new();
    for client in 0..ORDINARY_COUNT {
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            order_prints(client, to, &seen, &record)
        }));
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut crowd = Vec::new();
    if is_troubled {
        record.line("the crowd comes");
        let uploaded = Arc::new(Barrier::new(UPLOAD_COUNT + PIPELINE_COUNT));
        for client in 0..UPLOAD_COUNT {
            let (uploaded, record) = (Arc::clone(&uploaded), Arc::clone(&record));
            crowd.push(thread::spawn(move || {
                let result = upload(client, to, &uploaded, &record);
                record.line(&format!("upload {client}: {result:?}"));
            }));
        }
        for client in 0..PIPELINE_COUNT {
            let (uploaded, record) = (Arc::clone(&uploaded), Arc::clone(&record));
            crowd.push(thread::spawn(move || {
                let result = pipeline(client, to, &uploaded, &record);
                record.line(&format!("pipeline {client}: {result:?}"));
            }));
        }
    }
    let mut largest_kib = 0;
    let mut is_killed = false;
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        // The platform kills a process that exceeds the memory of its machine.
        let resident_kib = resident_kib(scene.nodes[0].pid());
        largest_kib = largest_kib.max(resident_kib);
        if resident_kib > MEMORY_MB * 1_024 && !is_killed {
            is_killed = true;
            scene.nodes[0].kill();
            record.line(&format!(
                "platform: killed the process of node 1 at {resident_kib} KiB of {} MiB",
                MEMORY_MB
            ));
        }
        if scene.nodes[0].ended().is_some() {
            record.line("the process of node 1 has ended by itself");
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    seen.is_over.store(true, Ordering::SeqCst);
    for client in clients.into_iter().chain(crowd) {
        let _ = client.join();
    }
    let runs: Vec<String> = scene
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs())
        .map(|run| run.id)
        .collect();
    let unanswered = seen
        .unanswered
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let lost = unanswered
        .iter()
        .filter(|other| other.is_kept && runs.contains(&other.id))
        .count();
    record.line(&format!(
        "largest resident size {largest_kib} KiB, killed {is_killed}, ordinary requests served {}, \
         passed on from a kept connection and not answered {lost} (allowed {ALLOWED_LOSSES})",
        seen.served.load(Ordering::SeqCst)
    ));
    Ok(lost <= ALLOWED_LOSSES)
}

/// Sends one request after the other on a kept connection until the first one without an answer.
fn order_prints(client: usize, to: SocketAddr, seen: &Seen, record: &Record) {
    let Ok(mut connection) = Connection::connect(to, Duration::from_secs(4)) else {
        return;
    };
    for number in 0.. {
        if seen.is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("ordinary-{client}-{number}");
        let path = format!("/print/{client}-{number}");
        record.line(&format!("client {client}: sends {id} POST {path}"));
        let sent = connection.write(scene::request("POST", &path, &id, "").as_bytes());
        let answer = sent.and_then(|()| connection.read());
        match answer {
            Ok(Some(answer)) => {
                if answer.status() == 200 {
                    seen.served.fetch_add(1, Ordering::SeqCst);
                }
                record.line(&format!(
                    "client {client}: {id} is answered {}",
                    answer.status()
                ));
            }
            Ok(None) | Err(_) => {
                record.line(&format!(
                    "client {client}: {id} got no answer, connection closed"
                ));
                let mut unanswered = seen
                    .unanswered
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                unanswered.push(Unanswered {
                    id,
                    is_kept: number > 0,
                });
                return;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Uploads a body in chunks, whose last chunk is sent when all bodies are there.
fn upload(client: usize, to: SocketAddr, uploaded: &Barrier, record: &Record) -> io::Result<u16> {
    let connected = Connection::connect(to, Duration::from_secs(6));
    let sent = connected.and_then(|mut connection| {
        let head = format!(
            "POST /sheet/{client} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: upload-{client}\r\n\
             Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        let piece = vec![b'x'; CHUNK_BYTES];
        let mut left = UPLOAD_BYTES;
        while left > 0 {
            let count = left.min(CHUNK_BYTES);
            connection.write(format!("{count:x}\r\n").as_bytes())?;
            connection.write(&piece[..count])?;
            connection.write(b"\r\n")?;
            left -= count;
        }
        Ok(connection)
    });
    uploaded.wait();
    let mut connection = sent?;
    // The others have sent their requests by then.
    thread::sleep(Duration::from_millis(150));
    connection.write(b"0\r\n\r\n")?;
    record.line(&format!(
        "upload {client}: upload-{client} is sent, {UPLOAD_BYTES} bytes in chunks"
    ));
    let answer = connection.read()?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

/// Sends an order and further idempotent requests behind it.
fn pipeline(
    client: usize,
    to: SocketAddr,
    uploaded: &Barrier,
    record: &Record,
) -> io::Result<Vec<u16>> {
    let connected = Connection::connect(to, Duration::from_secs(6));
    uploaded.wait();
    let mut connection = connected?;
    let path = format!("/order/p{client}");
    let filler = format!("X-Filler: {}\r\n", "f".repeat(FILLER_BYTES));
    let order = scene::request("POST", &path, &format!("pipeline-{client}"), &filler);
    connection.write(order.as_bytes())?;
    for number in 0..PIPELINED_REQUESTS {
        let path = format!("/stock/p{client}-{number}");
        let id = format!("pipeline-{client}-{number}");
        connection.write(scene::request("GET", &path, &id, &filler).as_bytes())?;
    }
    record.line(&format!(
        "pipeline {client}: pipeline-{client} and {PIPELINED_REQUESTS} requests behind it are sent"
    ));
    let mut statuses = Vec::new();
    for _ in 0..=PIPELINED_REQUESTS {
        match connection.read()? {
            Some(answer) => statuses.push(answer.status()),
            None => break,
        }
    }
    Ok(statuses)
}

fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
