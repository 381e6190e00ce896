//! Tests of the ports that a range returns.

use std::io;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use testkit::PortRange;

#[test]
fn a_returned_port_stays_free_while_other_threads_run_commands() -> io::Result<()> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let output = testkit::run_to_end(&mut Command::new("true"));
                    assert!(output.is_ok_and(|output| output.status.success()));
                }
            });
        }
        let result = claim_and_bind(1_000);
        stop.store(true, Ordering::Relaxed);
        result
    })
}

/// Binds `count` ports, each as soon as a range has returned it.
fn claim_and_bind(count: usize) -> io::Result<()> {
    let mut ports = PortRange::claim()?;
    for _ in 0..count {
        TcpListener::bind(ports.address()?)?;
    }
    Ok(())
}
