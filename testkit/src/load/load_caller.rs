use std::io;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use uuid::Builder;

use crate::load::{AttemptResult, KeyMode, KindProfile, ResponseCheck, ScheduledCall, TargetPool};
use crate::wire::HttpResponse;

/// Additional time to wait for a response after the deadline, to distinguish late responses from
/// missing ones.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Caller that makes all attempts of one call.
#[derive(Debug)]
pub struct LoadCaller<'a> {
    kind: &'a KindProfile,
    targets: &'a [&'a TargetPool],
    call: ScheduledCall,
    check: ResponseCheck,
    body: Vec<u8>,
    key: Option<String>,
    first_attempt: Option<Instant>,
}

impl<'a> LoadCaller<'a> {
    /// Prepares a call; `run_id` is part of its tag and makes the tags of different runs distinct.
    #[must_use]
    pub fn new(
        kind: &'a KindProfile,
        targets: &'a [&'a TargetPool],
        call: ScheduledCall,
        run_id: u64,
    ) -> LoadCaller<'a> {
        let check = ResponseCheck {
            method: kind.method.clone(),
            path: format!("{}/{}", kind.path, call.number),
            tag: format!("{run_id:016x}-{}", call.number),
            body_bytes: kind.body_bytes,
        };
        LoadCaller {
            kind,
            targets,
            call,
            check,
            body: vec![b'b'; kind.body_bytes],
            key: (kind.key != KeyMode::None).then(new_key),
            first_attempt: None,
        }
    }

    /// Returns the idempotency key.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Makes the call with retries and returns the last result and the number of retries.
    pub fn run(&mut self) -> (AttemptResult, u32) {
        let mut retries = 0;
        loop {
            let (result, delay) = self.attempt(retries);
            let retry = retries < self.kind.retries
                && result.allows_retry(self.key.is_some() || self.kind.method == "GET")
                && self.remaining() > delay;
            if !retry {
                return (result, retries);
            }
            thread::sleep(delay);
            retries += 1;
        }
    }

    fn attempt(&mut self, retries: u32) -> (AttemptResult, Duration) {
        let remaining = self.remaining();
        if remaining < Duration::from_millis(1) {
            let code = "not-sent".to_owned();
            return (AttemptResult::Refused(code), Duration::ZERO);
        }
        let index = (self.call.target + retries as usize) % self.targets.len();
        let target = self.targets[index];
        let Ok(mut client) = target.acquire(remaining) else {
            let code = "connect".to_owned();
            return (AttemptResult::Refused(code), Duration::ZERO);
        };
        let headers = self.headers();
        let path = &self.check.path;
        let response = client
            .set_timeout(self.remaining() + LATE_RESPONSE_TIMEOUT)
            .and_then(|()| client.call(&self.kind.method, path, &headers, &self.body));
        match response {
            Ok(response) => {
                if response.header("connection") != Some("close") {
                    target.release(client);
                }
                (self.check.classify(&response), retry_delay(&response))
            }
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                (AttemptResult::Incorrect, Duration::ZERO)
            }
            Err(error) => {
                let timeout = matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                );
                let code = if timeout { "timeout" } else { "connection" };
                (AttemptResult::Unknown(code.to_owned()), Duration::ZERO)
            }
        }
    }

    fn headers(&mut self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("x-request-tag", self.check.tag.clone()),
            ("x-deadline-ms", self.remaining().as_millis().to_string()),
        ];
        if let Some(key) = &self.key {
            headers.push(("idempotency-key", key.clone()));
        }
        if self.kind.key == KeyMode::First {
            let first_attempt = *self.first_attempt.get_or_insert_with(Instant::now);
            let age = first_attempt.elapsed().as_millis();
            headers.push(("x-first-attempt-age-ms", age.to_string()));
        }
        headers
    }

    fn remaining(&self) -> Duration {
        let deadline = Duration::from_millis(self.kind.deadline_ms);
        deadline.saturating_sub(self.call.start.elapsed())
    }
}

fn retry_delay(response: &HttpResponse) -> Duration {
    let value = response.header("retry-after-ms");
    Duration::from_millis(value.and_then(|text| text.parse().ok()).unwrap_or(0))
}

fn new_key() -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = now.unwrap_or_default().as_millis() as u64;
    let builder = Builder::from_unix_timestamp_millis(millis, &rand::random());
    builder.into_uuid().to_string()
}
