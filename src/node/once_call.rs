use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::time;
use rand::Rng;
use smallvec::SmallVec;
use uuid::Builder;

use crate::call::CallResponse;
use crate::clock::ClockTime;
use crate::error::{CallOutcome, Error, Result, ResultCode};
use crate::id::{NodeAddress, RequestKey, ServiceName};
use crate::membership::MemberState;
use crate::node::{AttemptKey, CallRouter, ResolvedCall};
use crate::once::{FenceDecision, FenceRound, KeyAge, PERMANENT_FENCE_TOKEN, PlacedKey};
use crate::peer::{FenceRequest, FenceResponse};

/// Margin on the settle time, for the time that an attempt takes to reach an endpoint.
const SETTLE_MARGIN: ClockTime = ClockTime(5_000);

impl CallRouter {
    /// Runs a non-idempotent call, which must run at most once.
    pub(crate) async fn run_at_most_once(&self, call: &ResolvedCall) -> CallResponse {
        self.budget.borrow_mut().record_call(self.clock.now());
        let Some(key) = call.request.key.clone() else {
            return match self.generate_key() {
                Ok(key) => self.run_generated(call, key).await,
                Err(error) => CallResponse::from_error(&error),
            };
        };
        let wall_ms = self.clock.unix_time_ms();
        let limits = self.sender.local.key_limits;
        let age = KeyAge::resolve(&key, call.request.first_attempt_age, wall_ms, limits);
        if let Ok(placed) = key.as_str().parse::<PlacedKey>() {
            return self.run_placed(call, key, &placed, age).await;
        }
        match age {
            KeyAge::First => self.run_first_attempt(call, key).await,
            age => self.run_fenced(call, key, age, &[]).await,
        }
    }

    /// Runs a call whose key was generated here. It is sent to another endpoint only if it has not
    /// run.
    async fn run_generated(&self, call: &ResolvedCall, key: RequestKey) -> CallResponse {
        let mut tried: SmallVec<[NodeAddress; 4]> = SmallVec::new();
        let mut attempt = call.request.attempt;
        let mut last = None;
        let key = AttemptKey {
            key,
            generated: true,
            token: 0,
        };
        loop {
            let Some(to) = self.selector.choose(&call.service, &tried) else {
                return last.unwrap_or_else(|| Self::no_endpoint(call));
            };
            tried.push(to);
            let response = self
                .sender
                .send(call, to, attempt, Some(&key))
                .await
                .response;
            if response.code == ResultCode::Ok || !self.may_resend(call, response.code, attempt) {
                return response;
            }
            self.metrics.record_resend("retry");
            attempt = attempt.saturating_add(1);
            last = Some(response);
        }
    }

    /// Runs a first attempt with a key of the caller at the endpoint that owns the key.
    ///
    /// Another attempt that is declared the first may be running at the owner at the same time, so
    /// the call runs at another endpoint only after a fence.
    async fn run_first_attempt(&self, call: &ResolvedCall, key: RequestKey) -> CallResponse {
        let unsettled = self.unsettled_endpoints(call);
        let Some(owner) = self.selector.owner(&call.service, &key, &unsettled) else {
            return Self::no_endpoint(call);
        };
        if owner.suspected {
            return self.run_fenced(call, key, KeyAge::First, &[]).await;
        }
        let attempt_key = AttemptKey {
            key: key.clone(),
            generated: false,
            token: 0,
        };
        let attempt = call.request.attempt;
        let sent = self
            .sender
            .send(call, owner.address, attempt, Some(&attempt_key));
        let response = sent.await.response;
        if response.code == ResultCode::Ok || !self.may_resend(call, response.code, attempt) {
            return response;
        }
        self.metrics.record_resend("retry");
        self.run_fenced(call, key, KeyAge::First, &[owner.address])
            .await
    }

    /// Runs a call with a placed key, only at the process that the key was issued for.
    async fn run_placed(
        &self,
        call: &ResolvedCall,
        key: RequestKey,
        placed: &PlacedKey,
        age: KeyAge,
    ) -> CallResponse {
        let to = placed.address();
        let members = self.shared.members();
        let available = members.member(&to).is_some_and(|view| {
            view.entry.service == call.service && view.entry.state != MemberState::Gone
        });
        if age == KeyAge::Expired || !available {
            let code = PlacedKey::code_when_gone(age);
            return CallResponse::from_error(&Error::new(code, code.meaning()));
        }
        let key = AttemptKey {
            key,
            generated: false,
            token: 0,
        };
        let response = self
            .sender
            .send(call, to, call.request.attempt, Some(&key))
            .await
            .response;
        if age == KeyAge::First {
            response
        } else {
            not_run_to_unknown(response)
        }
    }

    /// Fences a key at every endpoint, and runs the call only if all confirm that the key has not
    /// run. The endpoints in `refused_by` are not asked to run it.
    async fn run_fenced(
        &self,
        call: &ResolvedCall,
        key: RequestKey,
        age: KeyAge,
        refused_by: &[NodeAddress],
    ) -> CallResponse {
        let token = self.new_token();
        let decision = self.fence(call, &key, token, age).await;
        let replay = matches!(decision, FenceDecision::Replay(_));
        let (to, token) = match decision {
            FenceDecision::Reject(code) => {
                return CallResponse::from_error(&Error::new(code, code.meaning()));
            }
            FenceDecision::Replay(to) => (Some(to), 0),
            FenceDecision::Run => {
                let mut excluded = self.unsettled_endpoints(call);
                excluded.extend_from_slice(refused_by);
                let to = self.selector.choose_by_hash(&call.service, &key, &excluded);
                (to, token)
            }
        };
        let Some(to) = to else {
            return Self::no_endpoint(call);
        };
        let key = AttemptKey {
            key,
            generated: false,
            token,
        };
        let attempt = call.request.attempt;
        if !replay {
            return self
                .sender
                .send(call, to, attempt, Some(&key))
                .await
                .response;
        }
        // The key may have run at a service that the path was routed to earlier.
        let mut call = call.clone();
        if let Some(member) = self.shared.members().member(&to) {
            call.service = member.entry.service.clone();
        }
        let timed = self.sender.send(&call, to, attempt, Some(&key)).await;
        not_run_to_unknown(timed.response)
    }

    async fn fence(
        &self,
        call: &ResolvedCall,
        key: &RequestKey,
        token: u64,
        age: KeyAge,
    ) -> FenceDecision {
        let now = self.clock.now();
        let members = self.shared.members();
        let wall_ms = self.clock.unix_time_ms();
        let (mut live, mut gone) = (Vec::new(), Vec::new());
        // The services to which the path was routed before the route history begins are unknown.
        let mut oldest = self.shared.routes().coverage(now);
        for service in self.possible_services(call, now) {
            let entries = members.members(&service).iter().map(|view| &view.entry);
            let (gone_entries, live_entries): (Vec<_>, Vec<_>) =
                entries.partition(|entry| entry.state == MemberState::Gone);
            let uptimes = live_entries.iter();
            let uptimes = uptimes.map(|entry| entry.uptime(wall_ms));
            oldest = oldest.min(uptimes.max().unwrap_or_default());
            live.extend(live_entries.iter().map(|entry| entry.address));
            gone.extend(gone_entries.iter().map(|entry| entry.address));
        }
        let limits = self.sender.local.key_limits;
        let mut round = FenceRound::new(now, age, &live, &gone, oldest, limits);
        let end = round.deadline().min(call.deadline);
        let mut responses: FuturesUnordered<_> = live
            .iter()
            .map(|address| {
                let member = members.member(address);
                let service = member.map_or(&call.service, |view| &view.entry.service);
                let moved = *service != call.service;
                let request = FenceRequest {
                    service: service.clone(),
                    key: key.clone(),
                    token: if moved { PERMANENT_FENCE_TOKEN } else { token },
                    age: round.request_age(),
                };
                self.send_fence_request(*address, request, end)
            })
            .collect();
        loop {
            let now = self.shared.observe();
            if let Some(decision) = round.decide(now) {
                return decision;
            }
            let wait = (end - now).to_duration();
            match time::timeout(wait, responses.next()).await {
                Ok(Some((address, Some(response)))) => {
                    round.record_reply(self.shared.observe(), address, response);
                }
                // The fence request failed, so the response stays missing in the round.
                Ok(Some((_, None))) => {}
                Ok(None) | Err(_) => {
                    let late = round.deadline();
                    return round
                        .decide(late)
                        .unwrap_or(FenceDecision::Reject(ResultCode::KeyMemoryGone));
                }
            }
        }
    }

    async fn send_fence_request(
        &self,
        address: NodeAddress,
        request: FenceRequest,
        end: ClockTime,
    ) -> (NodeAddress, Option<FenceResponse>) {
        if address == self.address {
            return (address, Some(self.sender.local.fence(&request)));
        }
        let timeout = end - self.clock.now();
        let response = self.sender.peers.fence(address, request, timeout).await;
        (address, response.ok())
    }

    /// Generates a fencing token that is larger than those of all earlier seconds.
    ///
    /// A later attempt thereby supersedes the fences of an earlier attempt that was not confirmed.
    /// With purely random tokens, retries would stay fenced off until one drew the largest token.
    fn new_token(&self) -> u64 {
        let seconds = self.clock.unix_time_ms() / 1_000;
        let random: u32 = self.rng.borrow_mut().random();
        (seconds << u32::BITS | u64::from(random)).clamp(1, PERMANENT_FENCE_TOKEN - 1)
    }

    /// Returns the service of a call and those that its path was routed to earlier.
    fn possible_services(&self, call: &ResolvedCall, now: ClockTime) -> SmallVec<[ServiceName; 2]> {
        let request = &call.request;
        let routes = self.shared.routes();
        let mut services = routes.services(now, &request.method, &request.path, &call.service);
        services.push(call.service.clone());
        services
    }

    /// Returns the endpoints that have not been up for the settle time and do not accept keys from
    /// callers yet, or none if no endpoint has settled.
    fn unsettled_endpoints(&self, call: &ResolvedCall) -> SmallVec<[NodeAddress; 4]> {
        let members = self.shared.members();
        let wall_ms = self.clock.unix_time_ms();
        let settle = self.sender.local.key_limits.settle_time;
        let mut unsettled = SmallVec::new();
        let mut settled = false;
        for view in members.live(&call.service) {
            if view.entry.uptime(wall_ms) < settle + SETTLE_MARGIN {
                unsettled.push(view.entry.address);
            } else {
                settled = true;
            }
        }
        if !settled {
            unsettled.clear();
        }
        unsettled
    }

    /// Generates a UUIDv7 key for a call that has none.
    fn generate_key(&self) -> Result<RequestKey> {
        let bytes = self.rng.borrow_mut().random::<[u8; 10]>();
        let key =
            Builder::from_unix_timestamp_millis(self.clock.unix_time_ms(), &bytes).into_uuid();
        key.to_string().parse()
    }
}

/// Converts "not run" to "outcome unknown", because an earlier attempt with the key may have run.
fn not_run_to_unknown(response: CallResponse) -> CallResponse {
    if response.code.outcome() != CallOutcome::NotRun {
        return response;
    }
    let code = ResultCode::KeyMemoryGone;
    let message = format!("{}: {}", code.meaning(), response.code.meaning());
    CallResponse::from_error(&Error::new(code, message))
}
