use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures_util::future::{self, FutureExt};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;

use crate::admin::AdminClient;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::ZoneName;
use crate::membership::{MemberEntry, MemberState};
use crate::size::ByteSize;
use crate::status::NodeStatus;
use crate::tool::FleetSnapshot;

/// Time limit for connecting to a node, and again for its answer.
const NODE_TIMEOUT: ClockTime = ClockTime(1_000);
/// Maximum page size; a list of 5,500 members takes about 1.5 MB.
const MAX_PAGE_SIZE: ByteSize = ByteSize(8 << 20);
/// Number of answers wanted per zone. A few suffice, because each node knows which nodes of its
/// zone have applied a version.
const READS_PER_ZONE: usize = 3;
/// Maximum number of nodes per zone that are queried to get the wanted answers.
const MAX_QUERIES_PER_ZONE: usize = 6;

/// Reader of admin pages that queries a bounded number of nodes per zone.
#[derive(Debug, Clone)]
pub struct FleetReader {
    client: AdminClient,
    admins: Vec<SocketAddr>,
    discovered: Vec<SocketAddr>,
}

impl FleetReader {
    /// Creates a reader that gets the member list from any of the given admin addresses.
    #[must_use]
    pub fn new(admins: Vec<SocketAddr>) -> Self {
        Self {
            client: AdminClient::new(NODE_TIMEOUT, MAX_PAGE_SIZE),
            admins,
            discovered: Vec::new(),
        }
    }

    /// Reads and decodes a JSON page of one node.
    ///
    /// # Errors
    ///
    /// Returns `PeerUnreachable` if the node does not answer and `PeerProtocol` if the answer is
    /// not the expected page.
    pub async fn page<Page>(&self, admin: SocketAddr, path: &str) -> Result<Page>
    where
        Page: DeserializeOwned,
    {
        let page = self.client.get(admin, path).await?;
        if page.status != 200 {
            return Err(Error::new(
                ResultCode::PeerProtocol,
                format!(
                    "node at {admin} answered {path} with status {}",
                    page.status
                ),
            ));
        }
        serde_json::from_slice(&page.body).map_err(|error| {
            Error::new(
                ResultCode::PeerProtocol,
                format!("node at {admin} sent an invalid page {path}: {error}"),
            )
        })
    }

    /// Reads the member list from the given nodes or, if none answers, from nodes discovered by an
    /// earlier snapshot.
    ///
    /// # Errors
    ///
    /// Returns `PeerUnreachable` if no node answers.
    pub async fn members(&mut self) -> Result<Vec<MemberEntry>> {
        let mut last = None;
        let known: Vec<_> = self
            .admins
            .iter()
            .chain(&self.discovered)
            .copied()
            .collect();
        // Addresses are queried in concurrent groups, which limits the delay caused by unresponsive
        // nodes.
        for group in known.chunks(READS_PER_ZONE) {
            let reads = group.iter().map(|admin| {
                self.page::<Vec<MemberEntry>>(*admin, "/v1/members")
                    .boxed_local()
            });
            let read = future::select_ok(reads).await.map(|(members, _)| members);
            match read {
                Ok(members) => {
                    // The next read starts at another node, whose list may be more complete.
                    self.admins.rotate_left(1);
                    return Ok(members);
                }
                Err(error) => last = Some(error),
            }
        }
        let cause = last.map_or_else(String::new, |error| format!(", last: {}", error.message()));
        Err(Error::new(
            ResultCode::PeerUnreachable,
            format!("none of {} nodes answered{cause}", known.len()),
        ))
    }

    /// Reads the member list and the status of up to three nodes per zone.
    ///
    /// # Errors
    ///
    /// Returns `PeerUnreachable` if no node answers.
    pub async fn read_snapshot<Random>(&mut self, rng: &mut Random) -> Result<FleetSnapshot>
    where
        Random: Rng + ?Sized,
    {
        let members = self.members().await?;
        let (pairs, silent) = self
            .read_zone_pages::<NodeStatus, _>(&members, "/v1/status", rng)
            .await;
        let mut snapshot = FleetSnapshot {
            members,
            answers: Vec::new(),
            silent: silent.iter().map(|entry| entry.address).collect(),
        };
        for (entry, status) in pairs {
            // The admin address of a departed member may have been reused by another node.
            if status.member.address == entry.address {
                snapshot.answers.push(status);
            } else {
                snapshot.silent.push(entry.address);
            }
        }
        if !snapshot.answers.is_empty() {
            let answers = snapshot.answers.iter();
            self.discovered = answers.map(|status| status.member.admin.0).collect();
        }
        Ok(snapshot)
    }

    /// Reads a page from up to three nodes per zone, preferring live ones.
    ///
    /// Returns the pages and the nodes that gave no usable answer.
    pub(crate) async fn read_zone_pages<Page, Random>(
        &self,
        members: &[MemberEntry],
        path: &str,
        rng: &mut Random,
    ) -> (Vec<(MemberEntry, Page)>, Vec<MemberEntry>)
    where
        Page: DeserializeOwned,
        Random: Rng + ?Sized,
    {
        let mut zones = BTreeMap::<&ZoneName, Vec<&MemberEntry>>::new();
        for entry in members
            .iter()
            .filter(|entry| entry.state != MemberState::Gone)
        {
            zones.entry(&entry.zone).or_default().push(entry);
        }
        for entries in zones.values_mut() {
            entries.shuffle(rng);
            // The stable sort puts leaving nodes last, so they are queried only if too few live
            // nodes answer.
            entries.sort_by_key(|entry| entry.state);
            entries.truncate(MAX_QUERIES_PER_ZONE);
        }
        let zones = zones.into_values();
        let reads = zones.map(|entries| self.read_pages(entries, path, READS_PER_ZONE));
        let mut pages = Vec::new();
        let mut silent = Vec::new();
        for (zone_pages, zone_silent) in future::join_all(reads).await {
            pages.extend(zone_pages);
            silent.extend(zone_silent);
        }
        (pages, silent)
    }

    /// Reads a page from the first `wanted` entries concurrently and replaces each failed read by
    /// one from a further entry.
    pub(crate) async fn read_pages<Page>(
        &self,
        entries: Vec<&MemberEntry>,
        path: &str,
        wanted: usize,
    ) -> (Vec<(MemberEntry, Page)>, Vec<MemberEntry>)
    where
        Page: DeserializeOwned,
    {
        let mut pages = Vec::new();
        let mut silent = Vec::new();
        let mut rest = entries.as_slice();
        while pages.len() < wanted && !rest.is_empty() {
            let (group, later) = rest.split_at(rest.len().min(wanted - pages.len()));
            rest = later;
            let reads = group.iter().map(|entry| self.page(entry.admin.0, path));
            for (entry, page) in group.iter().zip(future::join_all(reads).await) {
                match page {
                    Ok(page) => pages.push(((*entry).clone(), page)),
                    Err(_) => silent.push((*entry).clone()),
                }
            }
        }
        (pages, silent)
    }
}
