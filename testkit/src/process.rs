//! Processes under test.

use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use crate::port_range;
use crate::wire;

/// Ids of all started processes that have not been waited for.
///
/// The lock is held while a process is waited for, so that an id in the list never belongs to
/// another process.
static LIVE: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Makes SIGTERM kill every started process, then end this one with exit code 0.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn kill_all_on_term() -> io::Result<()> {
    crate::signal::on_term(|| {
        for id in wire::lock(&LIVE).iter() {
            let _ = send(*id, Signal::SIGKILL);
        }
    })
}

/// Owns a started process; kills it and waits for it when dropped.
#[derive(Debug)]
pub struct ProcessGuard {
    child: Child,
    ready: String,
    /// Reads the output to its end and returns the last line.
    reader: Option<JoinHandle<Option<String>>>,
}

impl ProcessGuard {
    /// Starts a program of the target directory and waits up to 10 s for its line that starts with
    /// `ready`.
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

    /// Starts a prepared command and waits up to 10 s for its ready line.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, ends, or prints no ready line in time.
    pub fn start_command(command: Command) -> io::Result<ProcessGuard> {
        ProcessGuard::start_until(command, |line| line.starts_with("ready"))
    }

    /// Starts a prepared command and waits up to 10 s for a line that says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, ends, or prints no such line in time.
    pub fn start_until<Ready>(mut command: Command, is_ready: Ready) -> io::Result<ProcessGuard>
    where
        Ready: Fn(&str) -> bool + Send + 'static,
    {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let spawning = wire::lock(&port_range::SPAWN_LOCK);
        let mut child = command.spawn()?;
        drop(spawning);
        wire::lock(&LIVE).push(child.id());
        let output = child.stdout.take();
        // From here on, an early return kills the process.
        let mut guard = ProcessGuard {
            child,
            ready: String::new(),
            reader: None,
        };
        let (sender, receiver) = mpsc::channel();
        guard.reader = Some(thread::spawn(move || {
            let output = output?;
            let mut lines = BufReader::new(output).lines().map_while(Result::ok);
            let ready = lines.find(|line| is_ready(line));
            let _ = sender.send(ready);
            // Reading on keeps the process from blocking on a full pipe.
            lines.last()
        }));
        match receiver.recv_timeout(Duration::from_secs(10)) {
            Ok(Some(line)) => guard.ready = line,
            Ok(None) => return Err(failed(&command, "ended without a ready line")),
            Err(_) => return Err(failed(&command, "printed no ready line within 10 s")),
        }
        Ok(guard)
    }

    /// Returns the path of a program in the target directory of the running program.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the running program is unknown.
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
        &self.ready
    }

    /// Returns an address that the ready line names as `name=address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the line does not name it.
    pub fn address(&self, name: &str) -> io::Result<SocketAddr> {
        let mut pairs = self
            .ready
            .split(' ')
            .filter_map(|word| word.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found
            .and_then(|(_, value)| value.parse().ok())
            .ok_or_else(|| io::Error::other(format!("no address {name} in: {}", self.ready)))
    }

    /// Waits for the end of the process, at most for the given time in ms, and returns its last
    /// line of output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs, fails, or printed nothing after its ready line.
    pub fn last_line(&mut self, limit_ms: u64) -> io::Result<String> {
        let status = self.wait(limit_ms)?;
        if !status.success() {
            return Err(io::Error::other(format!("process {}: {status}", self.id())));
        }
        let line = self.reader.take().and_then(|reader| reader.join().ok());
        line.flatten().ok_or_else(|| io::Error::other("no output"))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Tells the process that its settings have changed (SIGHUP).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn hang_up(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.wait(10_000).map(drop)
    }

    /// Stops the process in place (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn pause(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process run on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Waits for the end of the process, at most for the given time in ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs.
    pub fn wait(&mut self, limit_ms: u64) -> io::Result<ExitStatus> {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                let text = format!("process {} still runs after {limit_ms} ms", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The id of a process that was waited for may belong to another process by now.
        if self.try_wait()?.is_some() {
            return Err(io::Error::other(format!("process {} has ended", self.id())));
        }
        send(self.id(), signal)
    }

    fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let mut live = wire::lock(&LIVE);
        let status = self.child.try_wait()?;
        if status.is_some() {
            live.retain(|id| *id != self.child.id());
        }
        Ok(status)
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait(10_000);
    }
}

fn send(id: u32, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(id).map_err(io::Error::other)?;
    signal::kill(Pid::from_raw(id), signal).map_err(io::Error::from)
}

fn failed(command: &Command, text: &str) -> io::Error {
    io::Error::other(format!("{}: {text}", command.get_program().display()))
}
