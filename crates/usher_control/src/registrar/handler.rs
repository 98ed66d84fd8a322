//! Answers the wire messages of gateways and other registrars. Not for: targets and operators.

use usher_wire::message::{self, envelope};

use crate::{fleet, registrar, wire_handler};

/// Handles the wire messages that reach a registrar.
#[derive(Clone, Debug)]
pub(crate) struct RegistrarHandler<C> {
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: std::sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) targets: registrar::TargetRegistry<C>,
    pub(crate) routes: registrar::RouteStore<C>,
    pub(crate) publisher: registrar::route_publisher::RoutePublisher,
    pub(crate) broken_calls: registrar::broken_calls::BrokenCallRegistry<C>,
    pub(crate) gateway_loads: registrar::load_aggregator::LoadAggregator<C>,
    pub(crate) usage: Option<registrar::usage_collector::UsageCollector<C>>,
}

impl<C> usher_wire::CallHandler for RegistrarHandler<C>
where
    C: usher_types::ClockSource,
{
    async fn handle(
        &self,
        peer: &usher_wire::WireIdentity,
        body: envelope::Body,
    ) -> Option<envelope::Body> {
        match body {
            envelope::Body::Consensus(message) => {
                self.access.receive(message);
                None
            }
            envelope::Body::ProposeRequest(request) => {
                Some(wire_handler::answer_propose(&self.router, request).await)
            }
            envelope::Body::WatchRequest(request) => Some(envelope::Body::WatchReply(
                self.targets.watch(request).await,
            )),
            envelope::Body::UseReport(report) => {
                let is_registrar = report.gateways > 0;
                for target in &report.leaving {
                    self.targets.record_leaving(&peer.node, target);
                }
                if is_registrar {
                    self.gateway_loads.record(&peer.node, report);
                    // Reports of other registrars are one-way.
                    return None;
                }
                let broken_calls = self.broken_calls.exchange(&report);
                let usage = self.usage.as_ref();
                let usage = usage.map(|usage| usage.record(peer, &report.usage));
                let usage = usage.unwrap_or_default();
                let loads = self.gateway_loads.record(&peer.node, report);
                Some(envelope::Body::UseTotals(message::UseTotals {
                    uses: loads.uses,
                    gateways: loads.gateways,
                    reads: loads.reads,
                    agreed_ms: usage.agreed_ms,
                    usage_fixed_through: usage.usage_fixed_through,
                    ..broken_calls
                }))
            }
            envelope::Body::RoutesRequest(request) => Some(self.routes(&request).await),
            envelope::Body::UsageRequest(request) => {
                let usage = self.usage.as_ref();
                let reply = usage.map(|usage| usage.answer(&request));
                Some(envelope::Body::UsageReply(reply.unwrap_or_default()))
            }
            envelope::Body::ClockReading(reading) => {
                if let Some(usage) = &self.usage {
                    usage.record_clock(&peer.node, &reading);
                }
                None
            }
            envelope::Body::StoreTargets(request) => {
                for target in &request.targets {
                    self.targets.merge(&peer.node, target);
                }
                Some(if self.targets.departures_stored_here().await {
                    envelope::Body::Ack(message::Ack {})
                } else {
                    wire_handler::refuse(
                        message::ErrorKind::Unknown,
                        "the targets are not stored in time",
                    )
                })
            }
            _ => Some(wire_handler::refuse(
                message::ErrorKind::BadRequest,
                "a registrar doesn't answer this message",
            )),
        }
    }
}

impl<C> RegistrarHandler<C>
where
    C: usher_types::ClockSource,
{
    async fn routes(&self, request: &message::RoutesRequest) -> envelope::Body {
        if request.confirmed {
            return match self.routes.confirm_as_leader().await {
                Some(version) => envelope::Body::RoutesReply(message::RoutesReply {
                    version,
                    ..Default::default()
                }),
                None => wire_handler::refuse(
                    message::ErrorKind::NotLeader,
                    "this node is not the leader, or no quorum confirms its leadership",
                ),
            };
        }
        if let Some(changes) = &request.changes {
            return envelope::Body::RoutesReply(self.publisher.part(changes));
        }
        // A gateway of a version without changes gets the document.
        let reply = self
            .routes
            .newest_known()
            .map(|newest| message::RoutesReply {
                version: newest.version.get(),
                document: newest.document.to_vec(),
                changes: None,
            });
        envelope::Body::RoutesReply(reply.unwrap_or_default())
    }
}
