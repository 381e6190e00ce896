use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{CallOutcome, Error};

/// Numeric code of a result, as used in responses, logs and metrics.
///
/// `docs/errors.md` lists the cause of each code and what an operator can do about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
#[repr(u16)]
pub enum ResultCode {
    /// The call or command succeeded.
    Ok = 0,
    /// A settings file cannot be read.
    SettingsUnreadable = 101,
    /// A settings file is not valid TOML.
    SettingsSyntax = 102,
    /// A settings file has an unknown key.
    SettingsUnknownKey = 103,
    /// A settings file lacks a required key.
    SettingsMissingKey = 104,
    /// A setting is outside its allowed range.
    SettingsOutOfRange = 105,
    /// A settings file contains the same address twice.
    SettingsDuplicateAddress = 106,
    /// A manifest is not valid JSON or does not match the schema.
    ManifestSyntax = 201,
    /// A manifest exceeds the size limit.
    ManifestTooLarge = 202,
    /// A manifest has an unknown field.
    ManifestUnknownField = 203,
    /// A route refers to a service that the manifest does not define.
    ManifestMissingService = 204,
    /// A service has no protocol or no slots.
    ManifestUnreachableService = 205,
    /// The inheritance of services contains a cycle.
    ManifestInheritanceCycle = 206,
    /// A manifest contains the same name or route twice.
    ManifestDuplicateName = 207,
    /// A number in a manifest is outside its allowed range.
    ManifestOutOfRange = 208,
    /// The content does not match its digest.
    ManifestDigestMismatch = 209,
    /// Two different contents were published under the same version number.
    ManifestConflict = 210,
    /// The configuration service answered with an older version.
    ManifestStale = 211,
    /// A route refers to a kind that its service does not define.
    ManifestMissingKind = 212,
    /// No route matches the request.
    NoRoute = 301,
    /// The service has no live endpoint.
    NoEndpoint = 302,
    /// The endpoint has no free slot and no room in its queue for the call.
    Overloaded = 303,
    /// The time left until the deadline is too short to run the call.
    DeadlineTooShort = 304,
    /// The request is malformed or ambiguous.
    MalformedRequest = 305,
    /// The request head or body exceeds its size limit.
    RequestTooLarge = 306,
    /// The node has no verified version yet.
    NodeNotReady = 307,
    /// The node or its backend server is shutting down.
    NodeLeaving = 308,
    /// Another attempt with the same idempotency key takes precedence.
    KeyFenced = 309,
    /// The call exceeds the limit on nested calls.
    CallTooDeep = 310,
    /// The endpoint that an idempotency key is bound to no longer exists.
    KeyOwnerGone = 311,
    /// The request did not arrive within its time limit.
    RequestTooSlow = 312,
    /// The node beside the endpoint could not be reached.
    PeerUnreachable = 313,
    /// The backend server could not be reached.
    BackendUnreachable = 314,
    /// The request head exceeds its size limit.
    RequestHeadTooLarge = 315,
    /// The call timed out while waiting for a slot.
    QueueTimeout = 316,
    /// The zone of the endpoint is being evacuated.
    ZoneEvacuated = 317,
    /// No endpoint in a region that the route allows is ready.
    NoHome = 318,
    /// The request has crashed endpoints and is kept from the others.
    RequestQuarantined = 319,
    /// The answer exceeds its size limit.
    AnswerTooLarge = 401,
    /// The answer is malformed or incomplete.
    AnswerMalformed = 402,
    /// The endpoint executed the request and returned a failure.
    EndpointFailed = 403,
    /// The connection was lost after the request was written.
    ConnectionLost = 501,
    /// The deadline passed after the request was written.
    DeadlinePassed = 502,
    /// An earlier attempt with the same idempotency key is still running.
    KeyRunning = 503,
    /// An endpoint that may have executed a call with the key has no record of it any more.
    KeyMemoryGone = 504,
    /// The platform did not answer.
    PlatformUnreachable = 601,
    /// The platform sent an invalid answer.
    PlatformInvalid = 602,
    /// A peer violated the protocol.
    PeerProtocol = 603,
    /// A peer refused the handshake.
    HandshakeRefused = 604,
    /// The budget for reads of the platform is exhausted.
    ReadBudgetSpent = 605,
    /// The wait timed out before the version was in force.
    WaitTimeout = 606,
    /// A node refused the version.
    VersionRefused = 607,
    /// The version is not in force everywhere.
    NotInForce = 608,
    /// The platform no longer retains the requested part of its history.
    HistoryGone = 609,
}

impl ResultCode {
    /// All codes in ascending order.
    pub const ALL: &'static [Self] = &[
        Self::Ok,
        Self::SettingsUnreadable,
        Self::SettingsSyntax,
        Self::SettingsUnknownKey,
        Self::SettingsMissingKey,
        Self::SettingsOutOfRange,
        Self::SettingsDuplicateAddress,
        Self::ManifestSyntax,
        Self::ManifestTooLarge,
        Self::ManifestUnknownField,
        Self::ManifestMissingService,
        Self::ManifestUnreachableService,
        Self::ManifestInheritanceCycle,
        Self::ManifestDuplicateName,
        Self::ManifestOutOfRange,
        Self::ManifestDigestMismatch,
        Self::ManifestConflict,
        Self::ManifestStale,
        Self::ManifestMissingKind,
        Self::NoRoute,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::MalformedRequest,
        Self::RequestTooLarge,
        Self::NodeNotReady,
        Self::NodeLeaving,
        Self::KeyFenced,
        Self::CallTooDeep,
        Self::KeyOwnerGone,
        Self::RequestTooSlow,
        Self::PeerUnreachable,
        Self::BackendUnreachable,
        Self::RequestHeadTooLarge,
        Self::QueueTimeout,
        Self::ZoneEvacuated,
        Self::NoHome,
        Self::RequestQuarantined,
        Self::AnswerTooLarge,
        Self::AnswerMalformed,
        Self::EndpointFailed,
        Self::ConnectionLost,
        Self::DeadlinePassed,
        Self::KeyRunning,
        Self::KeyMemoryGone,
        Self::PlatformUnreachable,
        Self::PlatformInvalid,
        Self::PeerProtocol,
        Self::HandshakeRefused,
        Self::ReadBudgetSpent,
        Self::WaitTimeout,
        Self::VersionRefused,
        Self::NotInForce,
        Self::HistoryGone,
    ];

    /// Returns the number of this code.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns a short description of this code.
    #[must_use]
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "the call or command succeeded",
            Self::SettingsUnreadable => "a settings file cannot be read",
            Self::SettingsSyntax => "a settings file is not valid TOML",
            Self::SettingsUnknownKey => "a settings file has an unknown key",
            Self::SettingsMissingKey => "a settings file lacks a required key",
            Self::SettingsOutOfRange => "a setting is outside its allowed range",
            Self::SettingsDuplicateAddress => "a settings file names one address twice",
            Self::ManifestSyntax => "a manifest is not valid JSON of the expected shape",
            Self::ManifestTooLarge => "a manifest exceeds the size limit",
            Self::ManifestUnknownField => "a manifest has an unknown field",
            Self::ManifestMissingService => {
                "a route names a service that the manifest does not have"
            }
            Self::ManifestUnreachableService => "a service has no protocol or no slots",
            Self::ManifestInheritanceCycle => "services inherit from each other in a cycle",
            Self::ManifestDuplicateName => "a name or route occurs twice",
            Self::ManifestOutOfRange => "a number in a manifest is outside its allowed range",
            Self::ManifestDigestMismatch => "content does not match its digest",
            Self::ManifestConflict => "two contents were published under one number",
            Self::ManifestStale => "the configuration service answered with an older version",
            Self::ManifestMissingKind => "a route names a kind that its service does not have",
            Self::NoRoute => "no route matches the request",
            Self::NoEndpoint => "the service has no live endpoint",
            Self::Overloaded => "the endpoint has no slot or queue place for the call",
            Self::DeadlineTooShort => "the remaining time does not suffice to run the call",
            Self::MalformedRequest => "the request is malformed or ambiguous",
            Self::RequestTooLarge => "the request head or body exceeds its limit",
            Self::NodeNotReady => "the node does not yet hold a verified version",
            Self::NodeLeaving => "the node or its backend server is leaving",
            Self::KeyFenced => "another attempt with the same key has precedence",
            Self::CallTooDeep => "the call exceeds the depth limit",
            Self::KeyOwnerGone => "the endpoint that a placed key names is gone",
            Self::RequestTooSlow => "the request did not arrive within its time limit",
            Self::PeerUnreachable => "the node beside the endpoint could not be reached",
            Self::BackendUnreachable => "the backend server could not be reached",
            Self::QueueTimeout => "the call waited too long for a slot",
            Self::ZoneEvacuated => "nothing is sent to endpoints of the zone",
            Self::NoHome => "no endpoint in an allowed region is ready",
            Self::RequestQuarantined => "the request has crashed endpoints",
            Self::RequestHeadTooLarge => "the head of the request exceeds its limit",
            Self::AnswerTooLarge => "the answer exceeds its size limit",
            Self::AnswerMalformed => "the answer is malformed or incomplete",
            Self::EndpointFailed => "the endpoint ran the request and answered with a failure",
            Self::ConnectionLost => "the connection was lost after the request was written",
            Self::DeadlinePassed => "the deadline passed after the request was written",
            Self::KeyRunning => "an earlier attempt with the same key is still running",
            Self::KeyMemoryGone => "an endpoint that may have run the key cannot tell",
            Self::PlatformUnreachable => "the platform did not answer",
            Self::PlatformInvalid => "the platform sent an invalid answer",
            Self::PeerProtocol => "a peer violated the protocol",
            Self::HandshakeRefused => "a peer refused the handshake",
            Self::ReadBudgetSpent => "the read budget is spent",
            Self::WaitTimeout => "the wait ended before the version was in force",
            Self::VersionRefused => "a node refused the version",
            Self::NotInForce => "the version is not in force everywhere",
            Self::HistoryGone => "the platform's history no longer reaches back far enough",
        }
    }

    /// Returns whether the work of a call with this result was executed, as far as known.
    #[must_use]
    pub fn outcome(self) -> CallOutcome {
        match self.number() / 100 {
            0 => CallOutcome::Ran,
            4 => CallOutcome::Failed,
            5 => CallOutcome::Unknown,
            _ => CallOutcome::NotRun,
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.number())
    }
}

impl FromStr for ResultCode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: u16 = text.parse().map_err(|_| {
            Error::new(Self::PeerProtocol, format!("`{text}` is not a result code"))
        })?;
        Self::try_from(number)
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = Error;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or_else(|| Error::new(Self::PeerProtocol, format!("unknown result code {number}")))
    }
}
