use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;

use crate::admin::{AdminHandler, AdminPage, PageQuery};
use crate::burn::BurnRateTracker;
use crate::clock::{ClockTime, SystemClock};
use crate::distribution::ControlState;
use crate::membership::MemberState;
use crate::metrics::NodeMetrics;
use crate::node::{EndpointSelector, SharedState};
use crate::status::{AppliedGroup, CallExplanation, NodeStatus, RefusedVersion, VersionConflict};

/// Handler of the read-only admin pages.
pub(crate) struct AdminPages {
    pub(crate) clock: SystemClock,
    pub(crate) state: Rc<RefCell<ControlState>>,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) selector: Rc<EndpointSelector>,
    pub(crate) burn_rates: Rc<RefCell<BurnRateTracker>>,
    pub(crate) metrics: Rc<NodeMetrics>,
}

impl AdminHandler for AdminPages {
    fn get(&self, path: &str, query: &str) -> AdminPage {
        match path {
            "/healthz" => AdminPage::text(200, "ok\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            "/v1/status" => json(&self.status()),
            "/v1/members" => {
                let state = self.state.borrow();
                let entries: Vec<_> = state.members().present().collect();
                json(&entries)
            }
            "/v1/explain" => json(&self.explain(query)),
            "/v1/burn" => json(&self.burn_rates.borrow().report(self.clock.now())),
            _ => AdminPage::text(404, "no such page\n"),
        }
    }
}

impl AdminPages {
    fn readiness(&self) -> AdminPage {
        self.shared.observe();
        if self.shared.is_leaving() {
            AdminPage::text(503, "leaving\n")
        } else if self.shared.is_ready() {
            AdminPage::text(200, "ready\n")
        } else {
            AdminPage::text(503, "no verified version yet\n")
        }
    }

    fn metrics(&self) -> AdminPage {
        let report = self.burn_rates.borrow().report(self.clock.now());
        self.metrics.set_burn(&report);
        match self.metrics.exposition() {
            Ok(text) => AdminPage::text(200, text),
            Err(error) => AdminPage::text(500, format!("{error}\n")),
        }
    }

    fn status(&self) -> NodeStatus {
        let now = self.shared.observe();
        let state = self.state.borrow();
        let versions = state.versions();
        let own = self.shared.address();
        let mut refused: Vec<_> = versions
            .refused()
            .iter()
            .map(|version| RefusedVersion {
                number: version.number,
                digest: version.digest,
                node: own,
                code: version.code,
                message: version.message.clone(),
            })
            .collect();
        let reported = state.refusals().iter().filter(|(node, _)| **node != own);
        refused.extend(
            reported.map(|(node, (number, digest, code))| RefusedVersion {
                number: *number,
                digest: *digest,
                node: *node,
                code: *code,
                message: String::new(),
            }),
        );
        let conflicts = versions.conflicts().iter().map(|conflict| VersionConflict {
            number: conflict.number,
            winner: conflict.winner,
            loser: conflict.loser,
        });
        let mut applied = BTreeMap::<_, Vec<_>>::new();
        for (node, stamp) in state.applied().entries() {
            applied.entry(stamp).or_default().push(node);
        }
        let groups = applied.into_iter();
        let present: Vec<_> = state.members().present().collect();
        let member = state.members().own().cloned();
        NodeStatus {
            member: member.unwrap_or_else(|| state.own_member().clone()),
            ready: self.shared.is_ready(),
            uptime: now,
            stamp: versions.stamp(),
            applied: groups
                .map(|(stamp, nodes)| AppliedGroup { stamp, nodes })
                .collect(),
            read_age: state.read_age(now).unwrap_or(ClockTime(u64::MAX)),
            stale_reads: versions.stale_reads(),
            refused,
            conflicts: conflicts.collect(),
            live_members: present
                .iter()
                .filter(|entry| entry.state == MemberState::Live)
                .count(),
            links: state.linked().count(),
        }
    }

    fn explain(&self, query: &str) -> CallExplanation {
        let query = PageQuery::decode(query);
        let method = query.get("method").unwrap_or("GET");
        let path = query.get("path").unwrap_or("/");
        let manifest = self.shared.manifest();
        let found = manifest
            .as_ref()
            .and_then(|manifest| manifest.lookup(method, path));
        let service = found.map(|found| found.service.name.clone());
        CallExplanation {
            stamp: self.shared.stamp(),
            prefix: found.map(|found| found.route.prefix.clone()),
            kind: found.map(|found| found.kind.name.clone()),
            endpoints: service
                .as_ref()
                .map(|service| self.selector.explain(service))
                .unwrap_or_default(),
            service,
        }
    }
}

fn json<Page>(page: &Page) -> AdminPage
where
    Page: Serialize,
{
    match serde_json::to_string(page) {
        Ok(text) => AdminPage::json(200, text),
        Err(error) => AdminPage::text(500, format!("{error}\n")),
    }
}
