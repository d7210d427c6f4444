//! Incoming messages: their names, how many values each has, and typed access to those values.

use crate::error::ProtocolError;
use load_balancer::{AttemptNumber, Micros, Outcome, RequestId};
use serde_json::Value;

/// The name of the message that starts a batch.
pub const BATCH_START: &str = "TICK";

/// What a message says.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A batch starts, and the clock is this.
    BatchStarted,
    /// The batch is complete and wants its reply.
    BatchEnded,
    /// The entries of a numbered endpoint list.
    ListEntries,
    /// A proxy starts.
    InstanceCreated,
    /// A proxy is killed.
    InstanceKilled,
    /// A proxy is given a numbered list, or loses its subscription.
    EndpointListChanged,
    /// A client's request arrives.
    RequestArrived,
    /// A response begins to stream.
    ResponseStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A client leaves.
    ClientDisconnected,
    /// A timer fires.
    TimerFired,
    /// Another proxy has sent a message; the balancer sends none.
    PeerMessage,
    /// A probe was answered; the balancer sends none.
    ProbeAnswered,
}

/// What the protocol lays down for the messages of one name.
struct MessageForm {
    name: &'static str,
    kind: MessageKind,
    value_count: usize,
}

const fn form(name: &'static str, kind: MessageKind, value_count: usize) -> MessageForm {
    MessageForm { name, kind, value_count }
}

const MESSAGE_FORMS: [MessageForm; 13] = [
    form(BATCH_START, MessageKind::BatchStarted, 1),
    form("END", MessageKind::BatchEnded, 0),
    form("SNAPSHOT_ROWS", MessageKind::ListEntries, 2),
    form("CREATE", MessageKind::InstanceCreated, 3),
    form("KILLED", MessageKind::InstanceKilled, 1),
    form("VIEW", MessageKind::EndpointListChanged, 4),
    form("JOB_IN", MessageKind::RequestArrived, 8),
    form("ESTABLISHED", MessageKind::ResponseStarted, 5),
    form("RETURNED", MessageKind::AttemptEnded, 8),
    form("VANISHED", MessageKind::ClientDisconnected, 2),
    form("TIMEOUT_FIRED", MessageKind::TimerFired, 2),
    form("MEMO", MessageKind::PeerMessage, 3),
    form("STATUS_BACK", MessageKind::ProbeAnswered, 5),
];

/// A message with as many values as its name asks for; the values are not looked at yet.
pub struct Message<'a> {
    /// What it says.
    pub kind: MessageKind,
    /// Its name on the wire.
    pub name: &'static str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Reads the name of a line.
    pub fn parse(line: &'a Value) -> Result<Message<'a>, ProtocolError> {
        let (name, values) = match line.as_array().ok_or(ProtocolError::NotArray)?.split_first() {
            Some((Value::String(name), values)) => (name, values),
            _ => return Err(ProtocolError::NoMessageName),
        };
        let form = MESSAGE_FORMS.iter().find(|form| form.name == name);
        let form = form.ok_or_else(|| ProtocolError::UnknownMessage(name.clone()))?;
        let &MessageForm { name, kind, value_count } = form;
        if values.len() != value_count {
            return Err(ProtocolError::ValueCount {
                message: name,
                expected: value_count,
                got: values.len(),
            });
        }
        Ok(Message { kind, name, values })
    }

    /// The values in order.
    pub fn fields<const COUNT: usize>(&self) -> [Field<'a>; COUNT] {
        std::array::from_fn(|position| self.field(position))
    }

    /// The value at a position, from 0.
    pub fn field(&self, position: usize) -> Field<'a> {
        let value = self.values.get(position).unwrap_or(&Value::Null);
        Field { message: self.name, position, value }
    }
}

/// One value of a message.
pub struct Field<'a> {
    message: &'static str,
    position: usize,
    /// The value as it came.
    pub value: &'a Value,
}

impl<'a> Field<'a> {
    /// The error of a value that is not what was expected.
    pub fn unexpected(&self, expected: &'static str) -> ProtocolError {
        ProtocolError::Value {
            message: self.message,
            position: self.position,
            expected,
            got: self.value.to_string(),
        }
    }

    /// A text.
    pub fn text(&self, expected: &'static str) -> Result<&'a str, ProtocolError> {
        self.value.as_str().ok_or_else(|| self.unexpected(expected))
    }

    /// A whole number of 0 or more.
    pub fn whole_number(&self, expected: &'static str) -> Result<u64, ProtocolError> {
        self.value.as_u64().ok_or_else(|| self.unexpected(expected))
    }

    /// A span of time.
    pub fn micros(&self, expected: &'static str) -> Result<Micros, ProtocolError> {
        self.whole_number(expected).map(Micros)
    }

    /// True or false.
    pub fn flag(&self, expected: &'static str) -> Result<bool, ProtocolError> {
        self.value.as_bool().ok_or_else(|| self.unexpected(expected))
    }

    /// An array.
    pub fn array(&self, expected: &'static str) -> Result<&'a [Value], ProtocolError> {
        self.value.as_array().map(Vec::as_slice).ok_or_else(|| self.unexpected(expected))
    }

    /// The name of an instance.
    pub fn instance(&self) -> Result<&'a str, ProtocolError> {
        self.text("an instance")
    }

    /// A request, by its 16 lower-case hex digits.
    pub fn request(&self) -> Result<RequestId, ProtocolError> {
        let text = self.text("a request id of 16 hex digits")?;
        let is_canonical = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = if is_canonical { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.unexpected("a request id of 16 lower-case hex digits"))
    }

    /// An attempt, by its number within the request.
    pub fn attempt(&self) -> Result<AttemptNumber, ProtocolError> {
        Ok(AttemptNumber(self.whole_number("an attempt")? as u32))
    }

    /// How an attempt ended, by its code.
    pub fn outcome(&self) -> Result<Outcome, ProtocolError> {
        let expected = "an outcome code from 0 to 7";
        match self.whole_number(expected)? {
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
