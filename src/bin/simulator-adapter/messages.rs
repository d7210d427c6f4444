//! Incoming messages: names, number of values and typed access to the values.

use crate::error::ProtocolError;
use load_balancer::{AttemptNumber, Micros, Outcome, RequestId};
use serde_json::Value;

/// Wire name of the message that starts a batch.
pub const BATCH_START: &str = "TICK";

/// Kind of an incoming message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Start of a batch, with the current simulated time.
    BatchStarted,
    /// End of a batch; the simulator waits for the reply.
    BatchEnded,
    /// Entries of a numbered endpoint list.
    ListEntries,
    /// A proxy starts, with its seed and settings.
    InstanceCreated,
    /// A proxy is killed.
    InstanceKilled,
    /// A proxy receives a numbered endpoint list, or loses its subscription.
    EndpointListChanged,
    /// A request from a client arrives.
    RequestArrived,
    /// A backend starts to send its response.
    ResponseStarted,
    /// An attempt ended.
    AttemptEnded,
    /// A client disconnected.
    ClientDisconnected,
    /// A timer fired.
    TimerFired,
    /// A message from another proxy; ignored, as the balancer sends none.
    PeerMessage,
    /// The response to a probe; ignored, as the balancer sends no probes.
    ProbeAnswered,
}

/// Name, kind and number of values of a message in the protocol.
struct MessageSpec {
    name: &'static str,
    kind: MessageKind,
    value_count: usize,
}

const fn spec(name: &'static str, kind: MessageKind, value_count: usize) -> MessageSpec {
    MessageSpec { name, kind, value_count }
}

const MESSAGE_SPECS: [MessageSpec; 13] = [
    spec(BATCH_START, MessageKind::BatchStarted, 1),
    spec("END", MessageKind::BatchEnded, 0),
    spec("SNAPSHOT_ROWS", MessageKind::ListEntries, 2),
    spec("CREATE", MessageKind::InstanceCreated, 3),
    spec("KILLED", MessageKind::InstanceKilled, 1),
    spec("VIEW", MessageKind::EndpointListChanged, 4),
    spec("JOB_IN", MessageKind::RequestArrived, 8),
    spec("ESTABLISHED", MessageKind::ResponseStarted, 5),
    spec("RETURNED", MessageKind::AttemptEnded, 8),
    spec("VANISHED", MessageKind::ClientDisconnected, 2),
    spec("TIMEOUT_FIRED", MessageKind::TimerFired, 2),
    spec("MEMO", MessageKind::PeerMessage, 3),
    spec("STATUS_BACK", MessageKind::ProbeAnswered, 5),
];

/// A message with the number of values that its kind requires. The values themselves are not checked yet.
pub struct Message<'a> {
    /// Kind of the message.
    pub kind: MessageKind,
    /// Wire name of the message.
    pub name: &'static str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Parses the message name and checks the number of values.
    pub fn parse(line: &'a Value) -> Result<Message<'a>, ProtocolError> {
        let (name, values) = match line.as_array().ok_or(ProtocolError::NotArray)?.split_first() {
            Some((Value::String(name), values)) => (name, values),
            _ => return Err(ProtocolError::NoMessageName),
        };
        let spec = MESSAGE_SPECS.iter().find(|spec| spec.name == name);
        let spec = spec.ok_or_else(|| ProtocolError::UnknownMessage(name.clone()))?;
        let &MessageSpec { name, kind, value_count } = spec;
        if values.len() != value_count {
            return Err(ProtocolError::ValueCount {
                message: name,
                expected: value_count,
                got: values.len(),
            });
        }
        Ok(Message { kind, name, values })
    }

    /// Returns the first `COUNT` values, in order.
    pub fn fields<const COUNT: usize>(&self) -> [Field<'a>; COUNT] {
        std::array::from_fn(|position| self.field(position))
    }

    /// Returns the value at `position`, counted from 0; null past the last value.
    pub fn field(&self, position: usize) -> Field<'a> {
        let value = self.values.get(position).unwrap_or(&Value::Null);
        Field { message: self.name, position, value }
    }
}

/// One value of a message.
pub struct Field<'a> {
    message: &'static str,
    position: usize,
    /// The raw JSON value.
    pub value: &'a Value,
}

impl<'a> Field<'a> {
    /// Returns the error for a value that is not `expected`.
    pub fn unexpected(&self, expected: &'static str) -> ProtocolError {
        ProtocolError::InvalidValue {
            message: self.message,
            position: self.position,
            expected,
            got: self.value.to_string(),
        }
    }

    /// Returns the value as a string.
    pub fn string(&self, expected: &'static str) -> Result<&'a str, ProtocolError> {
        self.value.as_str().ok_or_else(|| self.unexpected(expected))
    }

    /// Returns the value as an unsigned integer.
    pub fn unsigned_integer(&self, expected: &'static str) -> Result<u64, ProtocolError> {
        self.value.as_u64().ok_or_else(|| self.unexpected(expected))
    }

    /// Returns the value as a duration in microseconds.
    pub fn micros(&self, expected: &'static str) -> Result<Micros, ProtocolError> {
        self.unsigned_integer(expected).map(Micros)
    }

    /// Returns the value as a boolean.
    pub fn boolean(&self, expected: &'static str) -> Result<bool, ProtocolError> {
        self.value.as_bool().ok_or_else(|| self.unexpected(expected))
    }

    /// Returns the value as an array.
    pub fn array(&self, expected: &'static str) -> Result<&'a [Value], ProtocolError> {
        self.value.as_array().map(Vec::as_slice).ok_or_else(|| self.unexpected(expected))
    }

    /// Returns the value as an instance name, without checking its format.
    pub fn instance(&self) -> Result<&'a str, ProtocolError> {
        self.string("an instance name")
    }

    /// Parses a request id: exactly 16 lower-case hex digits.
    pub fn request(&self) -> Result<RequestId, ProtocolError> {
        let text = self.string("a request id of 16 lower-case hex digits")?;
        let is_canonical = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = if is_canonical { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.unexpected("a request id of 16 lower-case hex digits"))
    }

    /// Returns the number of an attempt within its request.
    pub fn attempt(&self) -> Result<AttemptNumber, ProtocolError> {
        Ok(AttemptNumber(self.unsigned_integer("an attempt number")? as u32))
    }

    /// Decodes the outcome code of an attempt.
    pub fn outcome(&self) -> Result<Outcome, ProtocolError> {
        let expected = "an outcome code from 0 to 7";
        match self.unsigned_integer(expected)? {
            0 => Ok(Outcome::ErrorResponse),
            1 => Ok(Outcome::Success),
            2 => Ok(Outcome::Rejected),
            3 => Ok(Outcome::TimedOut),
            4 => Ok(Outcome::ConnectFailed),
            5 => Ok(Outcome::ConnectionReset),
            6 => Ok(Outcome::Cancelled),
            7 => Ok(Outcome::NotSent),
            _ => Err(self.unexpected(expected)),
        }
    }
}
