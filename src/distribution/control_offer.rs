use std::sync::Arc;

use crate::clock::ClockTime;
use crate::distribution::{Actions, ControlAction, ControlState, OfferOutcome, VersionTracker};
use crate::error::{Error, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation};
use crate::manifest::Manifest;
use crate::peer::{ControlMessage, NodeHello};

impl ControlState {
    /// Offers a version to the version tracker and handles the outcome.
    ///
    /// Returns false if the piece index of the version is needed.
    pub(super) fn offer<Offer>(
        &mut self,
        source: Option<NodeAddress>,
        now: ClockTime,
        actions: &mut Actions,
        offer: Offer,
    ) -> bool
    where
        Offer: FnOnce(&mut VersionTracker) -> OfferOutcome,
    {
        let previous = self.versions.current().cloned();
        let stale = self.versions.stale_reads();
        let conflict = self.versions.conflicts().back().cloned();
        let outcome = offer(&mut self.versions);
        if stale == 0 && self.versions.stale_reads() > 0 {
            let message = format!(
                "the configuration service returned a version older than {}",
                self.versions.stamp()
            );
            actions.push(warning(Error::new(ResultCode::ManifestStale, message)));
        }
        if let Some(latest) = self.versions.conflicts().back()
            && conflict.as_ref() != Some(latest)
        {
            let message = format!(
                "two contents are published as version {}: {} takes precedence over {}",
                latest.number, latest.winner, latest.loser
            );
            actions.push(warning(Error::new(ResultCode::ManifestConflict, message)));
        }
        match outcome {
            OfferOutcome::Installed(manifest) => {
                self.install(previous.as_deref(), manifest, source, now, actions);
            }
            OfferOutcome::Refused(refused) => {
                let node = self.settings.member.address;
                let message = ControlMessage::Refused {
                    number: refused.number,
                    digest: refused.digest,
                    node,
                    code: refused.code,
                };
                self.refusals
                    .insert(node, (refused.number, refused.digest, refused.code));
                self.broadcast(&message, None, actions);
                actions.push(warning(Error::new(refused.code, refused.message)));
            }
            OfferOutcome::NeedIndex => return false,
            OfferOutcome::Unchanged | OfferOutcome::Older => {}
        }
        true
    }

    fn install(
        &mut self,
        previous: Option<&Manifest>,
        manifest: Arc<Manifest>,
        source: Option<NodeAddress>,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let stamp = manifest.stamp();
        if let Some(previous) = previous {
            self.delta_log.record(&previous.delta_to(&manifest));
        }
        self.applied.record_own(stamp);
        self.fetch = self.fetch.take().filter(|fetch| fetch.stamp > stamp);
        actions.push(ControlAction::Install(manifest));
        let peers: Vec<_> = self.links.keys().copied().collect();
        for peer in peers.into_iter().filter(|peer| Some(*peer) != source) {
            if self.neighbors.pushes_to(&peer) {
                self.push_version(peer, now, actions);
            } else {
                self.announce_version(peer, actions);
            }
        }
    }

    /// Records a report that a node is unreachable and forwards it if it is new.
    pub(super) fn forward_suspicion(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        reporter: NodeAddress,
        source: Option<NodeAddress>,
        now: ClockTime,
    ) -> Actions {
        let mut actions = Actions::new();
        let zone = self.members.get(&reporter).map(|entry| entry.zone.clone());
        if self
            .members
            .report_unreachable(subject, incarnation, reporter, now)
            && let Some(zone) = zone
        {
            self.members_dirty = true;
            let message = ControlMessage::Suspicion {
                subject,
                incarnation,
                reporter,
                zone,
            };
            self.broadcast(&message, source, &mut actions);
        }
        actions
    }

    pub(super) fn broadcast(
        &self,
        message: &ControlMessage,
        except: Option<NodeAddress>,
        actions: &mut Actions,
    ) {
        for to in self.links.keys().filter(|to| Some(**to) != except) {
            actions.push(ControlAction::Send {
                to: *to,
                message: message.clone(),
            });
        }
    }

    pub(super) fn hello(&self, to: NodeAddress) -> ControlAction {
        let member = self.members.own().unwrap_or(&self.settings.member).clone();
        let message = ControlMessage::Hello(NodeHello {
            member,
            stamp: self.versions.stamp(),
            ready: self.readiness.ready(),
        });
        ControlAction::Send { to, message }
    }

    /// Re-evaluates readiness after an event and reports a change.
    pub(super) fn update_readiness(&mut self, now: ClockTime, actions: &mut Actions) {
        if self.readiness.evaluate(self.versions.stamp(), now) {
            actions.push(ControlAction::ReadyChanged(true));
            // A `Hello` from a ready node verifies the version of peers that are not ready yet.
            actions.extend(self.links.keys().map(|to| self.hello(*to)));
        }
    }
}

/// Creates an action that logs the error as a warning.
pub(super) fn warning(error: Error) -> ControlAction {
    ControlAction::Log {
        level: log::Level::Warn,
        error,
    }
}
