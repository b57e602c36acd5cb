//! Loopback addresses for one run, so that several runs can go on side by side.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::error::RigError;

/// The first and last second number of the networks 127.N.0.0 that runs use.
const NETWORKS: std::ops::RangeInclusive<u8> = 20..=250;
/// The address by which a network is reserved is 127.N.255.254 with this port.
const RESERVATION_PORT: u16 = 7999;
/// The ports of a node, the same on each address.
pub const CLIENT_PORT: u16 = 7100;
/// The port for the own upstream.
pub const LOCAL_PORT: u16 = 7101;
/// The port for other nodes.
pub const PEER_PORT: u16 = 7102;
/// The port of the relay in front of a node's peer port.
pub const RELAY_PORT: u16 = 7103;
/// The port for operators.
pub const OPERATOR_PORT: u16 = 7104;
/// The port of an upstream.
pub const UPSTREAM_PORT: u16 = 7105;
/// The port of the platform.
pub const PLATFORM_PORT: u16 = 7200;

/// The loopback network of one run, reserved until it is dropped.
#[derive(Debug)]
pub struct Network {
    number: u8,
    _reservation: TcpListener,
}

impl Network {
    /// Reserves a network that no other run uses.
    pub fn reserve() -> Result<Self, RigError> {
        for number in NETWORKS {
            let address =
                SocketAddr::from((Ipv4Addr::new(127, number, 255, 254), RESERVATION_PORT));
            if let Ok(reservation) = TcpListener::bind(address) {
                return Ok(Self {
                    number,
                    _reservation: reservation,
                });
            }
        }
        Err(RigError::NoNetwork)
    }

    /// Returns the address of instance `index` in failure domain `domain`, both from one.
    #[must_use]
    pub fn instance(&self, domain: u8, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, domain, index)
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.number, 0, 2), PLATFORM_PORT))
    }

    /// Returns the address at which a failure domain reaches the platform through a relay.
    #[must_use]
    pub fn platform_relay(&self, domain: u8) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.number, domain, 254);
        SocketAddr::from((address, PLATFORM_PORT))
    }
}
