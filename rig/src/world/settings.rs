//! The settings files of a run's processes.

use std::fmt::Write as _;

use crate::deployment::{Service, set};
use crate::error::RigError;
use crate::net::{CLIENT_PORT, LOCAL_PORT, OPERATOR_PORT, PEER_PORT, RELAY_PORT, UPSTREAM_PORT};
use crate::world::{Instance, StartOptions, World, upstream_name};

impl World {
    pub(super) fn write_node_settings(
        &self,
        instance: &Instance,
        options: StartOptions,
    ) -> Result<(), RigError> {
        let domain = &self.deployment.domains[usize::from(instance.domain) - 1];
        let (advertise, platform) = if options.relays {
            let platform = self.network.platform_relay(instance.domain);
            (RELAY_PORT, platform)
        } else {
            (PEER_PORT, self.network.platform())
        };
        let mut text = format!(
            "[node]\nname = {}\nservice = {}\ndomain = {domain}\n\n",
            instance.name, instance.service
        );
        let mut ports = Vec::new();
        let all = [
            ("client", CLIENT_PORT),
            ("local", LOCAL_PORT),
            ("peer", PEER_PORT),
            ("advertise", advertise),
            ("operator", OPERATOR_PORT),
        ];
        for (name, port) in all {
            set(&mut ports, name, &instance.port(port).to_string());
        }
        let mut platform_keys = self.deployment.platform.clone();
        set(&mut platform_keys, "address", &platform.to_string());
        write_section(&mut text, "ports", &ports);
        write_section(&mut text, "platform", &platform_keys);
        write_section(&mut text, "policy", &self.policy_of(&instance.service));
        write_section(&mut text, "membership", &self.deployment.membership);
        self.write(&format!("{}.ini", instance.name), &text)
            .map(|_| ())
    }

    /// Returns the policy of a service's nodes; a fixed limit is the number of slots.
    fn policy_of(&self, service: &str) -> Vec<(String, String)> {
        let mut policy = self.deployment.policy.clone();
        let mut services = self.deployment.services.iter();
        let service = services.find(|known| known.name == service);
        let keys = service.map(|service| service.upstream_keys.as_slice());
        let slots = keys.and_then(|keys| keys.iter().find(|(key, _)| key == "slots"));
        if let Some((_, slots)) = slots {
            set(&mut policy, "fixed-limit", slots);
        }
        policy
    }

    pub(super) fn write_upstream_settings(
        &self,
        instance: &Instance,
        options: StartOptions,
    ) -> Result<(), RigError> {
        let mut services = self.deployment.services.iter();
        let service: &Service = services
            .find(|service| service.name == instance.service)
            .ok_or_else(|| RigError::NoProcess(instance.service.clone()))?;
        let mut keys = service.upstream_keys.clone();
        set(
            &mut keys,
            "address",
            &instance.port(UPSTREAM_PORT).to_string(),
        );
        set(&mut keys, "node", &instance.port(LOCAL_PORT).to_string());
        if options.records {
            let record = self.record_path(&instance.name);
            set(&mut keys, "record", &record.display().to_string());
        }
        let mut text = String::new();
        write_section(&mut text, "upstream", &keys);
        for (route, keys) in &service.routes {
            write_section(&mut text, &format!("route {route}"), keys);
        }
        let file = format!("{}.ini", upstream_name(&instance.name));
        self.write(&file, &text).map(|_| ())
    }
}

fn write_section(text: &mut String, name: &str, keys: &[(String, String)]) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "[{name}]");
    for (key, value) in keys {
        let _ = writeln!(text, "{key} = {value}");
    }
    text.push('\n');
}
