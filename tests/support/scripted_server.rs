use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Step of a scripted response.
#[derive(Debug, Clone)]
pub enum ScriptStep {
    Send(Vec<u8>),
    Wait(u64),
    Close,
}

/// HTTP/1.1 server that responds to each request with the steps returned by a function of the
/// request number and text.
pub struct ScriptedServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ScriptedServer {
    pub fn start<Script>(script: Script) -> Self
    where
        Script: Fn(usize, &str) -> Vec<ScriptStep> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let script = Arc::new(script);
        let thread = {
            let (requests, stopped) = (Arc::clone(&requests), Arc::clone(&stopped));
            let connections = Arc::clone(&connections);
            thread::spawn(move || {
                let mut workers = Vec::new();
                while let Ok((stream, _)) = listener.accept() {
                    if stopped.load(Ordering::SeqCst) {
                        break;
                    }
                    connections.fetch_add(1, Ordering::SeqCst);
                    let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                    workers.push(thread::spawn(move || {
                        serve_connection(stream, script.as_ref(), &requests);
                    }));
                }
                for worker in workers {
                    worker.join().unwrap();
                }
            })
        };
        Self {
            address,
            requests,
            connections,
            stopped,
            thread: Some(thread),
        }
    }

    /// Returns the requests received so far, in order of arrival.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn serve_connection<Script>(mut stream: TcpStream, script: &Script, requests: &Mutex<Vec<String>>)
where
    Script: Fn(usize, &str) -> Vec<ScriptStep>,
{
    // Ends the thread of a connection that the adapter under test leaves open.
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    while let Some(request) = read_request(&mut stream) {
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(request.clone());
            requests.len() - 1
        };
        for step in script(number, &request) {
            match step {
                ScriptStep::Send(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                ScriptStep::Wait(delay_ms) => thread::sleep(Duration::from_millis(delay_ms)),
                ScriptStep::Close => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}
