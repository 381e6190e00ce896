use std::collections::VecDeque;

/// Limits on the requests of one connection that precede their turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Maximum number of requests that have been received and not been responded to.
    pub requests: usize,
    /// Size in bytes of these requests beyond which no further one is received.
    pub request_bytes: usize,
    /// Size in bytes of the responses that wait for an earlier one, beyond which no further request
    /// is started early.
    pub held_bytes: usize,
}

/// Identifier of a request within its pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PipelineTicket(u64);

/// A request with the properties that decide when it starts.
#[derive(Debug)]
pub struct PipelinedRequest<Request> {
    /// The request itself.
    pub request: Request,
    /// Size of its head and body in bytes.
    pub size: usize,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// A request that starts now.
#[derive(Debug)]
pub struct StartedRequest<Request> {
    /// Identifier under which its response is delivered.
    pub ticket: PipelineTicket,
    /// The request itself.
    pub request: Request,
    /// Whether earlier requests of the connection have not been responded to.
    pub is_ahead: bool,
}

/// Order in which the requests of one client connection start and are responded to.
///
/// Responses are sent in the order of the requests. An idempotent request starts as soon as it has
/// been received, if all requests before it are idempotent: if an earlier response closes the
/// connection, the client sends it again. A request that is not idempotent starts only when all
/// responses before it have been sent, and the requests behind it wait for its response.
///
/// This shortens the wait of clients that send several short reads at once; the limits keep a
/// client that does not read its responses from occupying memory and slots.
#[derive(Debug)]
pub struct RequestPipeline<Request, Response> {
    limits: PipelineLimits,
    entries: VecDeque<PipelineEntry<Request, Response>>,
    next_ticket: u64,
    request_bytes: usize,
    held_bytes: usize,
    is_closed: bool,
}

#[derive(Debug)]
struct PipelineEntry<Request, Response> {
    ticket: PipelineTicket,
    size: usize,
    is_idempotent: bool,
    state: EntryState<Request, Response>,
}

#[derive(Debug)]
enum EntryState<Request, Response> {
    Waiting(Request),
    Running,
    Finished(Response, usize),
}

impl<Request, Response> RequestPipeline<Request, Response> {
    /// Creates an empty pipeline.
    #[must_use]
    pub fn new(limits: PipelineLimits) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            next_ticket: 0,
            request_bytes: 0,
            held_bytes: 0,
            is_closed: false,
        }
    }

    /// Returns whether a further request may be received.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.is_closed
            && self.entries.len() < self.limits.requests
            && self.request_bytes < self.limits.request_bytes
    }

    /// Returns whether all requests have been responded to.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the connection ends after the last response.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Appends a request.
    pub fn push(&mut self, pipelined: PipelinedRequest<Request>) {
        let state = EntryState::Waiting(pipelined.request);
        self.append(pipelined.size, pipelined.is_idempotent, state);
    }

    /// Appends a response of `size` bytes to a request that is not run.
    pub fn push_response(&mut self, response: Response, size: usize) {
        self.held_bytes += size;
        self.append(0, true, EntryState::Finished(response, size));
    }

    /// Accepts no further requests: the last one so far ends the connection.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns whether no request waits or runs.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| matches!(entry.state, EntryState::Finished(..)))
    }

    /// Responds to the requests that have not started with `refuse`, whose responses have no body.
    pub fn refuse_waiting<Refuse>(&mut self, mut refuse: Refuse)
    where
        Refuse: FnMut(&Request) -> Response,
    {
        for entry in &mut self.entries {
            if let EntryState::Waiting(request) = &entry.state {
                entry.state = EntryState::Finished(refuse(request), 0);
            }
        }
    }

    /// Starts the next request whose turn has come.
    ///
    /// `may_start_ahead` tells whether the node has room for a request that starts before the ones
    /// ahead of it have been responded to.
    pub fn start_next(&mut self, may_start_ahead: bool) -> Option<StartedRequest<Request>> {
        let has_room = may_start_ahead && self.held_bytes < self.limits.held_bytes;
        let index = self
            .entries
            .iter()
            .position(|entry| matches!(entry.state, EntryState::Waiting(_)))?;
        let is_ahead = index > 0;
        let all_idempotent = self
            .entries
            .iter()
            .take(index + 1)
            .all(|entry| entry.is_idempotent);
        if is_ahead && !(all_idempotent && has_room) {
            return None;
        }
        let entry = &mut self.entries[index];
        let state = std::mem::replace(&mut entry.state, EntryState::Running);
        let EntryState::Waiting(request) = state else {
            return None;
        };
        Some(StartedRequest {
            ticket: entry.ticket,
            request,
            is_ahead,
        })
    }

    /// Records the response to a request that was started, with its size in bytes.
    ///
    /// Returns whether the response is held, because an earlier request is still running.
    pub fn finish(&mut self, ticket: PipelineTicket, response: Response, size: usize) -> bool {
        let index = self.entries.iter().position(|entry| entry.ticket == ticket);
        let Some(index) = index else {
            return false;
        };
        self.entries[index].state = EntryState::Finished(response, size);
        self.held_bytes += size;
        self.entries
            .iter()
            .take(index)
            .any(|entry| !matches!(entry.state, EntryState::Finished(..)))
    }

    /// Takes the next response to send, which belongs to the oldest request.
    pub fn take_response(&mut self) -> Option<Response> {
        let front = self.entries.front()?;
        if !matches!(front.state, EntryState::Finished(..)) {
            return None;
        }
        let entry = self.entries.pop_front()?;
        self.request_bytes -= entry.size;
        match entry.state {
            EntryState::Finished(response, size) => {
                self.held_bytes -= size;
                Some(response)
            }
            EntryState::Waiting(_) | EntryState::Running => None,
        }
    }

    fn append(&mut self, size: usize, is_idempotent: bool, state: EntryState<Request, Response>) {
        let ticket = PipelineTicket(self.next_ticket);
        self.next_ticket += 1;
        self.request_bytes += size;
        self.entries.push_back(PipelineEntry {
            ticket,
            size,
            is_idempotent,
            state,
        });
    }
}
