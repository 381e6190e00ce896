use std::sync::Arc;

use crate::clock::ClockTime;
use crate::distribution::{Actions, ControlAction, ControlState, OfferOutcome, VersionTracker};
use crate::error::{Error, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation};
use crate::manifest::Manifest;
use crate::peer::{ControlMessage, NodeHello};

impl ControlState {
    /// Offers a version to the keeper and handles what became of it.
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
        let older = self.versions.current().cloned();
        let stale = self.versions.stale_reads();
        let conflict = self.versions.conflicts().back().cloned();
        let outcome = offer(&mut self.versions);
        if stale == 0 && self.versions.stale_reads() > 0 {
            let message = format!("a version older than {} was read", self.versions.stamp());
            actions.push(warning(Error::new(ResultCode::ManifestStale, message)));
        }
        if let Some(latest) = self.versions.conflicts().back()
            && conflict.as_ref() != Some(latest)
        {
            let message = format!(
                "number {} has two contents, {} is kept and {} is not",
                latest.number, latest.kept, latest.lost
            );
            actions.push(warning(Error::new(ResultCode::ManifestConflict, message)));
        }
        match outcome {
            OfferOutcome::Installed(manifest) => {
                self.install(older.as_deref(), manifest, source, now, actions);
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
        older: Option<&Manifest>,
        manifest: Arc<Manifest>,
        source: Option<NodeAddress>,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let stamp = manifest.stamp();
        if let Some(older) = older {
            self.delta_log.record(&older.delta_to(&manifest));
        }
        self.applied.install(stamp);
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

    /// Passes on a report that a node cannot be reached.
    pub(super) fn forward_suspicion(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        witness: NodeAddress,
        source: Option<NodeAddress>,
        now: ClockTime,
    ) -> Actions {
        let mut actions = Actions::new();
        let zone = self.members.get(&witness).map(|entry| entry.zone.clone());
        if self.members.suspect(subject, incarnation, witness, now)
            && let Some(zone) = zone
        {
            self.members_dirty = true;
            let message = ControlMessage::Suspicion {
                subject,
                incarnation,
                witness,
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

    /// Decides about readiness after an event.
    pub(super) fn update_readiness(&mut self, now: ClockTime, actions: &mut Actions) {
        if self.readiness.evaluate(self.versions.stamp(), now) {
            actions.push(ControlAction::ReadyChanged(true));
            // Peers that are not ready may rely on this node from now on.
            actions.extend(self.links.keys().map(|to| self.hello(*to)));
        }
    }
}

/// Creates a log line.
pub(super) fn warning(error: Error) -> ControlAction {
    ControlAction::Log {
        level: log::Level::Warn,
        error,
    }
}
