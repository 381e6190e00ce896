//! Clients that send requests to the node on their machine.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// A client that keeps its connection open for many requests.
pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let connection = None;
        Self {
            address,
            connection,
        }
    }

    /// Sends a request and returns the status of its answer, or 0 if there was none.
    pub fn get(&mut self, record: &Record, host: &str, path: &str, id: &str) -> u16 {
        record.line(&format!(
            "client sends {id} GET {host}{path} to {}",
            self.address
        ));
        let status = match self.exchange(host, path, id) {
            Ok(answer) => {
                if answer.closes() {
                    self.connection = None;
                }
                answer.status()
            }
            Err(_) => {
                self.connection = None;
                0
            }
        };
        record.line(&format!("client gets {id} status={status}"));
        status
    }

    fn exchange(&mut self, host: &str, path: &str, id: &str) -> io::Result<http::Message> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(4)))?;
            self.connection = Some((stream, Vec::new()));
        }
        let (stream, buffer) = self
            .connection
            .as_mut()
            .ok_or(io::ErrorKind::NotConnected)?;
        let headers = [("Host", host), ("Request-Id", id), ("Deadline-Ms", "2500")];
        http::write(stream, &format!("GET {path} HTTP/1.1"), &headers, b"")?;
        http::read(stream, buffer)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
