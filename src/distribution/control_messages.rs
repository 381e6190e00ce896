use crate::clock::ClockTime;
use crate::distribution::control_offer;
use crate::distribution::link_state::LinkState;
use crate::distribution::{Actions, ControlAction, ControlState};
use crate::error::{Error, ResultCode};
use crate::id::NodeAddress;
use crate::membership::MemberEntry;
use crate::peer::{ControlMessage, NodeHello};
use crate::version::VersionStamp;

/// Maximum number of member entries in one message.
const MAX_BATCH_MEMBERS: usize = 500;
/// Time after the first member entries during which further entries belong to the first full table.
const FIRST_TABLE_WINDOW: ClockTime = ClockTime(2_000);
/// Time for which digests must differ before the full table is requested. Changes in flight make
/// them differ for shorter periods.
const DIGEST_MISMATCH_DELAY: ClockTime = ClockTime(5_000);
/// Minimum interval between requests for the full table, which takes about 100 bytes per node.
const TABLE_REQUEST_INTERVAL: ClockTime = ClockTime(60_000);
/// Minimum interval between requests until a first table has been received.
const FIRST_TABLE_REQUEST_INTERVAL: ClockTime = ClockTime(1_000);
/// Maximum number of nodes whose last refusal is retained.
const MAX_REFUSALS: usize = 64;

impl ControlState {
    /// Handles a message received on the link to `from`.
    pub fn on_message(
        &mut self,
        from: NodeAddress,
        message: ControlMessage,
        now: ClockTime,
    ) -> Actions {
        let mut actions = Actions::new();
        let is_hello = matches!(message, ControlMessage::Hello(_));
        let Some(link) = self.links.get_mut(&from) else {
            return actions;
        };
        if link.zone.is_none() && !is_hello {
            // Messages before `Hello` do not refresh the link, so it times out and is replaced.
            return actions;
        }
        link.last_received = now;
        self.members_dirty |= self.members.record_contact(&from, now);
        match message {
            ControlMessage::Hello(hello) => self.on_hello(from, &hello, now, &mut actions),
            ControlMessage::Heartbeat {
                stamp,
                read_age,
                member_digest,
            } => {
                // The maximum value means that no read is known to the sender.
                if read_age < ClockTime(u64::MAX) {
                    self.last_known_read = self
                        .last_known_read
                        .max(now.0.checked_sub(read_age.0).map(ClockTime));
                }
                self.compare_members(from, member_digest, now, &mut actions);
                self.on_peer_stamp(from, stamp, now, &mut actions);
            }
            ControlMessage::Delta(delta) => self.on_delta(from, &delta, now, &mut actions),
            ControlMessage::IndexRequest(requested) => {
                self.on_index_request(from, requested, now, &mut actions);
            }
            ControlMessage::Index { stamp, entries } => {
                self.on_index(from, stamp, entries, now, &mut actions);
            }
            ControlMessage::PieceRequest(digests) => {
                self.send_pieces(from, &digests, now, &mut actions);
            }
            ControlMessage::Pieces(blobs) => {
                let fetch = self.fetch.as_mut();
                if fetch.is_some_and(|fetch| fetch.add_pieces(&blobs, now)) {
                    self.try_complete_fetch(from, now, &mut actions);
                }
            }
            ControlMessage::MembersRequest => {
                let entries: Vec<_> = self.members.entries().cloned().collect();
                send_members(from, &entries, &mut actions);
            }
            ControlMessage::Members(entries) => {
                self.on_members(from, &entries, now, &mut actions);
            }
            ControlMessage::Suspicion {
                subject,
                incarnation,
                reporter,
                ..
            } => {
                actions = self.forward_suspicion(subject, incarnation, reporter, Some(from), now);
            }
            ControlMessage::Announce(stamp) => self.on_announce(from, stamp, now),
            ControlMessage::Applied { stamp, nodes } => {
                link.sends_reports = true;
                let member = |node: &_| self.members.get(node).map(|entry| entry.incarnation);
                self.applied.record(stamp, &nodes, from, member);
            }
            ControlMessage::Refused {
                number,
                digest,
                node,
                code,
            } => {
                let refusal = (number, digest, code);
                let room = self.refusals.len() < MAX_REFUSALS || self.refusals.contains_key(&node);
                if room && self.refusals.insert(node, refusal) != Some(refusal) {
                    let message = ControlMessage::Refused {
                        number,
                        digest,
                        node,
                        code,
                    };
                    self.broadcast(&message, Some(from), &mut actions);
                }
            }
        }
        self.update_readiness(now, &mut actions);
        actions
    }

    fn on_hello(
        &mut self,
        from: NodeAddress,
        hello: &NodeHello,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        if hello.member.address != from {
            self.fail_link(from, "Hello names another address", actions);
            return;
        }
        let first = self
            .links
            .get_mut(&from)
            .is_some_and(|link| link.zone.replace(hello.member.zone.clone()).is_none());
        self.members_dirty |= self.members.merge(&hello.member, from, false, now);
        self.members_dirty |= self.members.record_contact(&from, now);
        if !first && !hello.ready && self.readiness.ready() {
            actions.push(self.hello(from));
        }
        let refused = self.versions.is_refused(hello.stamp);
        let stamp = if refused {
            VersionStamp::default()
        } else {
            hello.stamp
        };
        self.readiness.on_peer_reply(from, stamp, hello.ready);
        self.compare_members(from, self.members.digest(), now, actions);
        self.on_peer_stamp(from, hello.stamp, now, actions);
    }

    fn on_members(
        &mut self,
        from: NodeAddress,
        entries: &[MemberEntry],
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let since = *self.member_table_since.get_or_insert(now);
        let first = now - since < FIRST_TABLE_WINDOW;
        for entry in entries {
            if self.members.contradicts(entry, now) && self.links.contains_key(&entry.address) {
                // Only the node itself can refute the entry, by raising its incarnation.
                send_members(entry.address, std::slice::from_ref(entry), actions);
            }
            self.members_dirty |= self.members.merge(entry, from, first, now);
        }
    }

    /// Requests the full member table at startup, and when the digests differ for a prolonged time.
    fn compare_members(
        &mut self,
        from: NodeAddress,
        digest: u64,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let own = self.members.digest();
        let Some(link) = self.links.get_mut(&from) else {
            return;
        };
        link.members_differ_since =
            (digest != own).then(|| link.members_differ_since.unwrap_or(now));
        let unknown = self.member_table_since.is_none();
        let mismatch_persists = link
            .members_differ_since
            .is_some_and(|since| now - since >= DIGEST_MISMATCH_DELAY);
        if (unknown || mismatch_persists) && now >= self.next_members_request {
            let interval = if unknown {
                FIRST_TABLE_REQUEST_INTERVAL
            } else {
                TABLE_REQUEST_INTERVAL
            };
            self.next_members_request = now + interval;
            let message = ControlMessage::MembersRequest;
            actions.push(ControlAction::Send { to: from, message });
        }
    }

    /// Sends changed member entries on every link on which they have not been sent.
    pub(super) fn gossip_members(&mut self, actions: &mut Actions) {
        let sequence = self.members.sequence();
        let due = |link: &LinkState| link.members_sequence < sequence && link.zone.is_some();
        for (to, link) in self.links.iter_mut().filter(|(_, link)| due(link)) {
            let entries = self.members.changed_since(link.members_sequence, to);
            link.members_sequence = sequence;
            send_members(*to, &entries, actions);
        }
    }

    /// Allows live nodes to refute their removal by a stale instance list.
    ///
    /// Each linked node that the list removed receives the entry about itself. A link is requested
    /// to one removed node that has none.
    pub(super) fn send_removal_notices(&mut self, now: ClockTime, actions: &mut Actions) {
        for to in self.links.keys() {
            if let Some(entry) = self.members.removal_notice(to, now) {
                send_members(*to, &[entry], actions);
            }
        }
        if let Some(peer) = self.members.next_probe(now) {
            self.neighbors.probe(peer, now);
        }
    }

    fn fail_link(&mut self, peer: NodeAddress, reason: &str, actions: &mut Actions) {
        self.failed_links.push(peer);
        let error = Error::new(
            ResultCode::PeerProtocol,
            format!("link to {peer}: {reason}"),
        );
        actions.push(control_offer::warning(error));
    }
}

fn send_members(to: NodeAddress, entries: &[MemberEntry], actions: &mut Actions) {
    for chunk in entries.chunks(MAX_BATCH_MEMBERS) {
        let message = ControlMessage::Members(chunk.to_vec());
        actions.push(ControlAction::Send { to, message });
    }
}
