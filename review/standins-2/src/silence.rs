//! Case 6: connections between nodes go silent once, and a node takes no new clients half a minute later.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::scene::{self, CasePaths, Place, Scene};

/// The node behind the proxy.
const NODE: usize = 1;
/// Clients at each node that keep their connections. Those of the first node need the other endpoints too.
const KEPT_COUNTS: [usize; 3] = [20, 4, 6];
/// Clients that come to the node at a time after the start; the rule asks for seven that try.
const NEW_COUNT: usize = 16;
const TRYING_COUNT: usize = 7;
const SILENT_AT: Duration = Duration::from_secs(3);
const NEW_AT: Duration = Duration::from_secs(46);
const END_AT: Duration = Duration::from_secs(58);
/// Bound `contact` of the settings.
const CONTACT_MS: u64 = 3_000;
/// Pause between two requests of a client, and between two attempts to connect.
const PAUSE: Duration = Duration::from_millis(10);
const TRY_PAUSE: Duration = Duration::from_millis(200);

const PRINT: Place = Place {
    zone: "bangna",
    service: "pressroom",
    work_ms: 71,
    answer_bytes: 60_000,
};
const PLACES: &[Place] = &[PRINT, PRINT, PRINT];
const ROUTES: &[(&str, &str, &str, u32)] = &[("print", "non_idempotent", "pressroom", 2_500)];

/// An attempt of a new client to be served on a new connection.
struct Attempt {
    client: usize,
    begun_ms: u64,
    ended_ms: u64,
    is_taken: bool,
}

#[derive(Default)]
struct Seen {
    attempts: Mutex<Vec<Attempt>>,
    /// Answers of the readiness check at the node, with their times.
    ready: Mutex<Vec<(u64, bool)>>,
    /// Identifiers of the requests and the status of each answer; 0 for a closed connection.
    answers: Mutex<Vec<(u64, String, u16)>>,
    is_over: AtomicBool,
}

fn add<Item>(list: &Mutex<Vec<Item>>, item: Item) {
    list.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(item);
}

pub fn play(paths: &CasePaths, is_troubled: bool) -> io::Result<bool> {
    let config = scene::config(1, ROUTES);
    let scene = Scene::start(paths, &config, PLACES, 260, Some(NODE))?;
    for index in 0..PLACES.len() {
        scene.wait_served(index, "POST", &["/print/0"])?;
    }
    let record = Arc::clone(&scene.record);
    let seen = Arc::new(Seen::default());
    let start = Instant::now();
    let mut clients = Vec::new();
    let places = KEPT_COUNTS
        .iter()
        .enumerate()
        .flat_map(|(index, count)| std::iter::repeat_n(index, *count));
    for (client, index) in places.enumerate() {
        let to = scene.nodes[index].client_address();
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            while !seen.is_over.load(Ordering::SeqCst) {
                if let Ok(connection) = Connection::connect(to, Duration::from_secs(4)) {
                    keep_asking(&format!("kept-{client}"), connection, &seen, &record);
                }
                thread::sleep(TRY_PAUSE);
            }
        }));
    }
    let to = scene.nodes[NODE].client_address();
    for client in 0..NEW_COUNT {
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            thread::sleep((start + NEW_AT).saturating_duration_since(Instant::now()));
            come(client, to, &seen, &record);
        }));
    }
    let mut is_silenced = !is_troubled;
    while start.elapsed() < END_AT {
        if !is_silenced && start.elapsed() >= SILENT_AT {
            is_silenced = true;
            if let Some(proxy) = &scene.proxy {
                proxy.silence();
            }
            record.line("the open connections of other nodes to node 2 go silent; new ones work");
        }
        let is_ready = scene.nodes[NODE].is_ready();
        add(&seen.ready, (record.elapsed_ms(), is_ready));
        record.line(&format!("platform: readiness of node 2 is {is_ready}"));
        thread::sleep(Duration::from_millis(500));
    }
    seen.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if let Some(proxy) = &scene.proxy {
        let lost = proxy.lost_bytes();
        record.line(&format!("the silent connections have lost {lost} bytes"));
    }
    report_answers(&scene, &seen);
    Ok(is_kept(&seen, &record))
}

/// Sends one request after the other on a connection until it is closed.
fn keep_asking(name: &str, mut connection: Connection, seen: &Seen, record: &Record) {
    for number in 0.. {
        if seen.is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{}-{number}", record.elapsed_ms());
        record.line(&format!("client: sends {id} POST /print/{id}"));
        let status = ask(&mut connection, &id);
        add(&seen.answers, (record.elapsed_ms(), id.clone(), status));
        record.line(&format!("client: {id} is answered {status}"));
        if status == 0 {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// Returns the status of the answer to a request, or 0 if the connection was closed instead.
fn ask(connection: &mut Connection, id: &str) -> u16 {
    let request = scene::request("POST", &format!("/print/{id}"), id, "");
    let answer = connection
        .write(request.as_bytes())
        .and_then(|()| connection.read());
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

/// Tries new connections until one is taken, and keeps that one.
fn come(client: usize, to: SocketAddr, seen: &Seen, record: &Record) {
    for number in 0.. {
        if seen.is_over.load(Ordering::SeqCst) {
            return;
        }
        let begun_ms = record.elapsed_ms();
        let id = format!("new-{client}-{number}");
        record.line(&format!(
            "new client {client}: connects and sends {id} POST /print/{id}"
        ));
        let connected = Connection::connect(to, Duration::from_secs(4));
        let answered = connected.map(|mut connection| (ask(&mut connection, &id), connection));
        let ended_ms = record.elapsed_ms();
        let is_taken = matches!(&answered, Ok((status, _)) if *status > 0);
        record.line(&format!(
            "new client {client}: attempt {number} is taken: {is_taken}"
        ));
        let attempt = Attempt {
            client,
            begun_ms,
            ended_ms,
            is_taken,
        };
        add(&seen.attempts, attempt);
        if let Ok((status, connection)) = answered
            && is_taken
        {
            add(&seen.answers, (ended_ms, id, status));
            keep_asking(&format!("taken-{client}"), connection, seen, record);
            return;
        }
        thread::sleep(TRY_PAUSE);
    }
}

/// Returns whether the rule was kept: no span of `contact` in which the node says that it is ready, seven
/// clients or more try new connections, and none is taken.
fn is_kept(seen: &Seen, record: &Record) -> bool {
    let attempts = seen.attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let ready = seen.ready.lock().unwrap_or_else(PoisonError::into_inner);
    let mut spans = 0;
    let mut first = None;
    for from in attempts.iter().map(|attempt| attempt.begun_ms) {
        let to = from + CONTACT_MS;
        let inside = attempts
            .iter()
            .filter(|other| other.begun_ms < to && other.ended_ms > from);
        if inside.clone().any(|other| other.is_taken) {
            continue;
        }
        let complete = inside.filter(|other| other.begun_ms >= from && other.ended_ms <= to);
        let mut trying: Vec<usize> = complete.map(|other| other.client).collect();
        trying.sort_unstable();
        trying.dedup();
        let mut checks = ready
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .peekable();
        let is_ready = checks.peek().is_some() && checks.all(|(_, is_ready)| *is_ready);
        let last_ms = attempts
            .iter()
            .map(|other| other.ended_ms)
            .max()
            .unwrap_or(0);
        if trying.len() >= TRYING_COUNT && is_ready && to <= last_ms {
            spans += 1;
            first = first.or(Some(from));
        }
    }
    record.line(&format!(
        "spans of {CONTACT_MS} ms in which the ready node took no new connection while \
         {TRYING_COUNT} clients or more tried: {spans}, the first at {first:?}"
    ));
    spans == 0
}

/// Records the requests that an endpoint ran and whose clients got no success.
fn report_answers(scene: &Scene, seen: &Seen) {
    let runs: Vec<String> = scene
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs())
        .map(|run| run.id)
        .collect();
    let answers = seen.answers.lock().unwrap_or_else(PoisonError::into_inner);
    let failed: Vec<_> = answers
        .iter()
        .filter(|(_, _, status)| *status != 200)
        .collect();
    let unknown = failed.iter().filter(|(_, id, _)| runs.contains(id)).count();
    scene.record.line(&format!(
        "{} requests answered, {} of them without success, {unknown} of these had run",
        answers.len(),
        failed.len()
    ));
}
