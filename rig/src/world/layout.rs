//! Where the instances of a run stand, and the relays between them.

use crate::error::RigError;
use crate::net::{PEER_PORT, RELAY_PORT};
use crate::relay::{Route, start_tcp, start_udp};
use crate::world::{Instance, World};

impl World {
    pub(super) fn place_instances(&mut self) {
        let domains = self.deployment.domains.len();
        let mut used = vec![0u8; domains];
        let mut next = 0;
        for service in &self.deployment.services {
            for number in 1..=service.upstreams {
                let at = next % domains;
                next += 1;
                used[at] += 1;
                let domain = u8::try_from(at + 1).unwrap_or(u8::MAX);
                self.instances.push(Instance {
                    name: format!("{}-{number}", service.name),
                    service: service.name.clone(),
                    domain,
                    address: self.network.instance(domain, used[at]),
                });
            }
        }
    }

    pub(super) fn start_relays(&mut self) -> Result<(), RigError> {
        for instance in &self.instances {
            let route = Route {
                front: instance.port(RELAY_PORT),
                back: instance.port(PEER_PORT),
                domain: instance.domain,
            };
            self.relays.push(start_tcp(route, &self.cuts)?);
            self.relays.push(start_udp(route, &self.cuts)?);
        }
        for at in 0..self.deployment.domains.len() {
            let domain = u8::try_from(at + 1).unwrap_or(u8::MAX);
            let route = Route {
                front: self.network.platform_relay(domain),
                back: self.network.platform(),
                domain: 0,
            };
            self.relays.push(start_tcp(route, &self.cuts)?);
        }
        Ok(())
    }
}
