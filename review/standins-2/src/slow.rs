//! Case 8: clients that read a large answer steadily lose it while others upload.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::scene::{self, CasePaths, Place, Scene};

/// Clients that read an answer of this size, and how fast they read: a piece after each pause.
const READER_COUNT: usize = 10;
const ANSWER_BYTES: usize = 12_000_000;
const READ_BYTES: usize = 64 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(30);
/// Clients that keep a connection and ask once every few seconds.
const KEPT_COUNT: usize = 100;
const KEPT_PAUSE: Duration = Duration::from_secs(4);
/// Clients that upload a body of this size: a piece after each pause.
const UPLOAD_COUNT: usize = 100;
const UPLOAD_BYTES: usize = 700_000;
const PIECE_BYTES: usize = 50_000;
const PIECE_PAUSE: Duration = Duration::from_millis(120);
/// Time from the first answers to the uploads.
const UPLOADS_AFTER: Duration = Duration::from_millis(1_500);
/// Answers that may be lost (rule LOST).
const ALLOWED_LOSSES: usize = 3;

const PACK: Place = Place {
    zone: "bangna",
    service: "packstore",
    work_ms: 50,
    answer_bytes: ANSWER_BYTES,
};
const BULK: Place = Place {
    zone: "bangna",
    service: "salesdesk",
    work_ms: 140,
    answer_bytes: 400,
};
const PLACES: &[Place] = &[PACK, BULK, BULK];
const ROUTES: &[(&str, &str, &str, u32)] = &[
    ("pack", "idempotent", "packstore", 8_000),
    ("order", "non_idempotent", "salesdesk", 2_500),
];

pub fn play(paths: &CasePaths, is_troubled: bool) -> io::Result<bool> {
    let config = scene::config(1, ROUTES);
    let scene = Scene::start(paths, &config, PLACES, 260, None)?;
    scene.wait_served(0, "POST", &["/order/0"])?;
    let record = Arc::clone(&scene.record);
    let to = scene.nodes[0].client_address();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..KEPT_COUNT {
        let (record, is_over) = (Arc::clone(&record), Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(10 * client as u64));
            let result = ask_now_and_then(client, to, &is_over, &record);
            record.line(&format!("kept client {client}: {result:?}"));
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let lost = Arc::new(AtomicUsize::new(0));
    let mut readers = Vec::new();
    for client in 0..READER_COUNT {
        let (record, lost) = (Arc::clone(&record), Arc::clone(&lost));
        readers.push(thread::spawn(move || {
            let result = read_slowly(client, to, &record);
            record.line(&format!("reader {client}: {result:?}"));
            if !matches!(result, Ok(ANSWER_BYTES)) {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    thread::sleep(UPLOADS_AFTER);
    if is_troubled {
        record.line("the uploads begin");
        for client in 0..UPLOAD_COUNT {
            let record = Arc::clone(&record);
            readers.push(thread::spawn(move || {
                record.line(&format!(
                    "upload {client}: sends upload-{client}, {UPLOAD_BYTES} bytes"
                ));
                let result = upload(client, to);
                record.line(&format!("upload {client}: {result:?}"));
            }));
        }
    }
    for client in readers {
        let _ = client.join();
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = scene.endpoints[0].runs();
    let passed_on = runs
        .iter()
        .filter(|run| run.id.starts_with("pack-"))
        .count();
    let lost = lost.load(Ordering::SeqCst);
    record.line(&format!(
        "{passed_on} of {READER_COUNT} requests were passed on from kept connections to the sound \
         endpoint, and {lost} got no complete answer (allowed {ALLOWED_LOSSES})"
    ));
    Ok(passed_on < READER_COUNT || lost <= ALLOWED_LOSSES)
}

/// Asks on one connection, with long pauses; returns the number of answers before it was closed.
fn ask_now_and_then(
    client: usize,
    to: SocketAddr,
    is_over: &AtomicBool,
    record: &Record,
) -> io::Result<u32> {
    let mut connection = Connection::connect(to, Duration::from_secs(4))?;
    for number in 0.. {
        let id = format!("kept-{client}-{number}");
        let request = scene::request("POST", &format!("/order/{id}"), &id, "");
        connection.write(request.as_bytes())?;
        record.line(&format!(
            "kept client {client}: sends {id} POST /order/{id}"
        ));
        let Some(answer) = connection.read()? else {
            return Ok(number);
        };
        record.line(&format!(
            "kept client {client}: {id} is answered {}",
            answer.status()
        ));
        let until = Instant::now() + KEPT_PAUSE;
        while Instant::now() < until {
            if is_over.load(Ordering::SeqCst) {
                return Ok(number + 1);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(0)
}

/// Sends an order and then, on the same connection, a request whose answer is read steadily; returns the
/// size of the body that arrived.
fn read_slowly(client: usize, to: SocketAddr, record: &Record) -> io::Result<usize> {
    let mut connection = Connection::connect(to, Duration::from_secs(8))?;
    let id = format!("first-{client}");
    let first = scene::request("POST", &format!("/order/{id}"), &id, "");
    connection.write(first.as_bytes())?;
    connection.read()?;
    let id = format!("pack-{client}");
    let request = format!(
        "GET /pack/{id} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n\r\n"
    );
    connection.write(request.as_bytes())?;
    record.line(&format!("reader {client}: sends {id} GET /pack/{id}"));
    let mut stream: TcpStream = connection.stream;
    let mut received = Vec::new();
    let mut piece = vec![0; READ_BYTES];
    let begun = Instant::now();
    loop {
        let count = stream.read(&mut piece)?;
        received.extend_from_slice(&piece[..count]);
        let head_end = received
            .windows(4)
            .take(4_096)
            .position(|part| part == b"\r\n\r\n");
        let body = head_end.map_or(0, |end| received.len() - end - 4);
        if count == 0 || body >= ANSWER_BYTES {
            let elapsed = begun.elapsed().as_millis();
            record.line(&format!(
                "reader {client}: {body} bytes of the body after {elapsed} ms"
            ));
            return Ok(body);
        }
        thread::sleep(READ_PAUSE);
    }
}

/// Uploads a body steadily; returns the status of the answer.
fn upload(client: usize, to: SocketAddr) -> io::Result<u16> {
    let mut connection = Connection::connect(to, Duration::from_secs(8))?;
    let head = format!(
        "POST /order/u{client} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: upload-{client}\r\n\
         Deadline-Ms: 3000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    let piece = vec![b'x'; PIECE_BYTES];
    for _ in 0..UPLOAD_BYTES / PIECE_BYTES {
        connection.stream.write_all(&piece)?;
        thread::sleep(PIECE_PAUSE);
    }
    let answer = connection.read()?;
    Ok(answer.map_or(0, |answer| answer.status()))
}
