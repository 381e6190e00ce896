use crate::call::CallRequest;
use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey, ServiceName};
use crate::manifest::KindEntry;
use crate::peer::CallHeader;
use crate::version::VersionStamp;

/// A call resolved against one version of the manifest.
#[derive(Debug, Clone)]
pub(crate) struct ResolvedCall {
    pub(crate) request: CallRequest,
    pub(crate) service: ServiceName,
    pub(crate) kind: KindEntry,
    pub(crate) stamp: VersionStamp,
    pub(crate) arrived: ClockTime,
    pub(crate) deadline: ClockTime,
}

/// The idempotency key of an attempt.
#[derive(Debug, Clone)]
pub(crate) struct AttemptKey {
    pub(crate) key: RequestKey,
    /// Whether this node generated the key, so that no caller can send it again.
    pub(crate) generated: bool,
    /// Fencing token, or 0 without a fence.
    pub(crate) token: u64,
}

impl ResolvedCall {
    pub(crate) fn kind_name(&self) -> &KindName {
        &self.kind.name
    }

    /// Returns the header of an attempt that is sent at `now`.
    pub(crate) fn header(
        &self,
        sender: NodeAddress,
        now: ClockTime,
        attempt: u8,
        key: Option<&AttemptKey>,
    ) -> CallHeader {
        CallHeader {
            sender,
            service: self.service.clone(),
            kind: self.kind.name.clone(),
            weight: self.kind.weight,
            long: self.kind.long,
            idempotent: self.kind.idempotent,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            key: key.map(|key| key.key.clone()),
            generated_key: key.is_some_and(|key| key.generated),
            token: key.map_or(0, |key| key.token),
            elapsed: now - self.arrived,
            remaining: self.deadline - now,
            stamp: self.stamp,
            depth: self.request.depth + 1,
            attempt,
            body_length: self.request.body.len() as u64,
        }
    }
}
