//! Management of processes under test.

use std::collections::VecDeque;
use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::port_range;
use crate::wire;

/// Ids of all started processes that have not been reaped.
///
/// The lock is held while a process is reaped, so that an id in the list never refers to another
/// process.
static CHILD_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Installs a SIGTERM handler that kills all started processes and exits with code 0.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn kill_all_on_term() -> io::Result<()> {
    crate::signal::on_term(|| {
        for id in wire::lock(&CHILD_IDS).iter() {
            let _ = send_signal(*id, Signal::SIGKILL);
        }
    })
}

/// Number of output lines that are kept for the report of a failed test.
const KEPT_LINE_COUNT: usize = 400;

/// Started process, which is killed and reaped when dropped.
///
/// If the current thread panics, the last lines of the process's output are printed.
#[derive(Debug)]
pub struct ProcessGuard {
    child: Child,
    ready_line: String,
    /// Thread that reads the output to its end and returns the last lines.
    reader: Option<JoinHandle<VecDeque<String>>>,
}

/// Runs a command to its end and returns its output.
///
/// Other threads may claim ports meanwhile, which [`Command::output`] does not allow for.
///
/// # Errors
///
/// Returns an error if the program does not start or its output cannot be read.
pub fn run_to_end(command: &mut Command) -> io::Result<Output> {
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let spawn_guard = wire::lock(&port_range::SPAWN_LOCK);
    let child = command.spawn()?;
    drop(spawn_guard);
    child.wait_with_output()
}

impl ProcessGuard {
    /// Starts a program from the target directory and waits up to 10 s for its ready line, which
    /// starts with `ready`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, ends, or prints no ready line in time.
    pub fn start<I, S>(program: &str, arguments: I) -> io::Result<ProcessGuard>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let mut command = Command::new(ProcessGuard::program_path(program)?);
        command.args(arguments);
        ProcessGuard::start_command(command)
    }

    /// Starts a command and waits up to 10 s for its ready line.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, ends, or prints no ready line in time.
    pub fn start_command(command: Command) -> io::Result<ProcessGuard> {
        ProcessGuard::start_until(command, |line| line.starts_with("ready"))
    }

    /// Starts a command and waits up to 10 s for an output line that satisfies `is_ready`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, ends, or prints no such line in time.
    pub fn start_until<Ready>(mut command: Command, is_ready: Ready) -> io::Result<ProcessGuard>
    where
        Ready: Fn(&str) -> bool + Send + 'static,
    {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let spawn_guard = wire::lock(&port_range::SPAWN_LOCK);
        let mut child = command.spawn()?;
        drop(spawn_guard);
        wire::lock(&CHILD_IDS).push(child.id());
        let output = child.stdout.take();
        // An early return from here on drops the guard and kills the process.
        let mut guard = ProcessGuard {
            child,
            ready_line: String::new(),
            reader: None,
        };
        let (sender, receiver) = mpsc::channel();
        guard.reader = Some(thread::spawn(move || {
            let mut kept = VecDeque::new();
            let Some(output) = output else {
                return kept;
            };
            let mut lines = BufReader::new(output).lines().map_while(Result::ok);
            let ready = lines.find(|line| is_ready(line));
            let _ = sender.send(ready);
            // The output is read to its end so that the process does not block on a full pipe.
            for line in lines {
                if kept.len() == KEPT_LINE_COUNT {
                    kept.pop_front();
                }
                kept.push_back(line);
            }
            kept
        }));
        match receiver.recv_timeout(Duration::from_secs(10)) {
            Ok(Some(line)) => guard.ready_line = line,
            Ok(None) => return Err(start_error(&command, "process ended without a ready line")),
            Err(_) => {
                return Err(start_error(
                    &command,
                    "process printed no ready line within 10 s",
                ));
            }
        }
        Ok(guard)
    }

    /// Returns the path of a program in the target directory of the current executable.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the current executable is unknown.
    pub fn program_path(program: &str) -> io::Result<PathBuf> {
        let mut folder = std::env::current_exe()?;
        folder.pop();
        if folder.ends_with("deps") {
            folder.pop();
        }
        Ok(folder.join(program))
    }

    /// Returns the ready line.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// Returns an address that the ready line contains as `name=address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the line does not contain a valid address of that name.
    pub fn address(&self, name: &str) -> io::Result<SocketAddr> {
        let mut pairs = self
            .ready_line
            .split(' ')
            .filter_map(|word| word.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found
            .and_then(|(_, value)| value.parse().ok())
            .ok_or_else(|| {
                io::Error::other(format!(
                    "no address {name} in ready line: {}",
                    self.ready_line
                ))
            })
    }

    /// Waits up to `limit_ms` for the process to exit and returns its last line of output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running, fails, or printed nothing after its ready
    /// line.
    pub fn last_line(&mut self, limit_ms: u64) -> io::Result<String> {
        self.last_lines(limit_ms)?
            .pop_back()
            .ok_or_else(|| io::Error::other("process printed nothing after its ready line"))
    }

    /// Waits up to `limit_ms` for the process to exit and returns its last lines of output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running or fails.
    pub fn last_lines(&mut self, limit_ms: u64) -> io::Result<VecDeque<String>> {
        let status = self.wait(limit_ms)?;
        if !status.success() {
            return Err(io::Error::other(format!(
                "process {} failed: {status}",
                self.id()
            )));
        }
        let lines = self.reader.take().and_then(|reader| reader.join().ok());
        Ok(lines.unwrap_or_default())
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM to the process to request a shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGHUP to the process to make it reload its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn hang_up(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Kills the process with SIGKILL and reaps it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.wait(10_000).map(drop)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits up to `limit_ms` for the process to exit and returns its status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running.
    pub fn wait(&mut self, limit_ms: u64) -> io::Result<ExitStatus> {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                let text = format!("process {} is still running after {limit_ms} ms", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The id of a reaped process may have been reused.
        if self.try_wait()?.is_some() {
            return Err(io::Error::other(format!("process {} has ended", self.id())));
        }
        send_signal(self.id(), signal)
    }

    fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let mut child_ids = wire::lock(&CHILD_IDS);
        let status = self.child.try_wait()?;
        if status.is_some() {
            child_ids.retain(|id| *id != self.child.id());
        }
        Ok(status)
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait(10_000);
        if thread::panicking()
            && let Some(Ok(lines)) = self.reader.take().map(JoinHandle::join)
        {
            eprintln!("last output of process {}:", self.id());
            for line in lines {
                eprintln!("{line}");
            }
        }
    }
}

fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(id).map_err(io::Error::other)?;
    signal::kill(Pid::from_raw(id), signal).map_err(io::Error::from)
}

fn start_error(command: &Command, text: &str) -> io::Error {
    io::Error::other(format!("{}: {text}", command.get_program().display()))
}
