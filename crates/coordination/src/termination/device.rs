//! A `smoltcp` device for one poll: it yields at most one received packet and passes sent packets
//! to a sink.

use smoltcp::{
    phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken},
    time::Instant,
};

/// Callback for the IP packets that a flow sends.
pub type PacketSink<'a> = &'a mut dyn FnMut(&[u8]);

/// Device for one poll: at most one received packet, and a sink for sent packets.
pub struct PacketDevice<'p, 's> {
    received: Option<&'p [u8]>,
    sink: PacketSink<'s>,
    mtu_bytes: usize,
}

/// Token of the received packet of a poll.
pub struct ReceiveToken<'p>(&'p [u8]);

/// Permission to send one packet to the sink.
pub struct TransmitToken<'a> {
    sink: &'a mut dyn FnMut(&[u8]),
}

impl RxToken for ReceiveToken<'_> {
    fn consume<R, F>(self, f: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        f(self.0)
    }
}

impl TxToken for TransmitToken<'_> {
    fn consume<R, F>(self, len: usize, f: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut buffer = [0; MAX_PACKET_BYTES];
        let packet = &mut buffer[..len.min(MAX_PACKET_BYTES)];
        let result = f(packet);
        (self.sink)(packet);
        result
    }
}

/// Size of the stack buffer in which a sent packet is built.
const MAX_PACKET_BYTES: usize = 1_500;

impl<'p, 's> PacketDevice<'p, 's> {
    /// Creates the device for one poll. Its MTU is `mtu_bytes`, at most 1,500.
    pub fn new(received: Option<&'p [u8]>, sink: PacketSink<'s>, mtu_bytes: usize) -> Self {
        Self {
            received,
            sink,
            mtu_bytes,
        }
    }
}

impl Device for PacketDevice<'_, '_> {
    type RxToken<'a>
        = ReceiveToken<'a>
    where
        Self: 'a;
    type TxToken<'a>
        = TransmitToken<'a>
    where
        Self: 'a;

    fn receive(&mut self, _now: Instant) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.received.take()?;
        Some((ReceiveToken(packet), TransmitToken { sink: self.sink }))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Self::TxToken<'_>> {
        Some(TransmitToken { sink: self.sink })
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = self.mtu_bytes.min(MAX_PACKET_BYTES);
        capabilities
    }
}
