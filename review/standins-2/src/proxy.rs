//! A proxy in front of the port at which a node serves other nodes. Its open connections can go silent.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::http;

#[derive(Default)]
pub struct Proxy {
    opened: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
    lost_bytes: AtomicU64,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Arc<Self>> {
        let proxy = Arc::new(Self::default());
        let served = Arc::clone(&proxy);
        http::serve(listen, move |connection| {
            let number = served.opened.fetch_add(1, Ordering::SeqCst);
            let from = connection.stream;
            let Ok(onward) = TcpStream::connect(to) else {
                return;
            };
            let _ = onward.set_nodelay(true);
            let (Ok(back_from), Ok(back_to)) = (onward.try_clone(), from.try_clone()) else {
                return;
            };
            let other = Arc::clone(&served);
            thread::spawn(move || other.copy(number, back_from, back_to));
            served.copy(number, from, onward);
        })?;
        Ok(proxy)
    }

    /// Makes all open connections silent: nothing passes any more, in either direction.
    pub fn silence(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Returns the number of bytes that silent connections have lost.
    pub fn lost_bytes(&self) -> u64 {
        self.lost_bytes.load(Ordering::SeqCst)
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut piece = [0; 16 * 1024];
        loop {
            let count = from.read(&mut piece).unwrap_or(0);
            if count == 0 {
                break;
            }
            if number < self.silent_below.load(Ordering::SeqCst) {
                self.lost_bytes.fetch_add(count as u64, Ordering::SeqCst);
            } else if to.write_all(&piece[..count]).is_err() {
                break;
            }
        }
        if number >= self.silent_below.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}
