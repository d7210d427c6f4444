//! The head of a request, checked against the settings in force.

use super::request_error::RequestError;
use crate::config::Settings;
use crate::headers::{
    CLASS, CLIENT_RETRY, CORRELATION_ID, EXPECTED_WORK, IDEMPOTENCY_KEY, TENANT, TIME_LEFT,
};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::Method;
use load_balancer::{ClassId, Idempotency, Micros, TenantId};

/// Ticks between the proxy's deadline and the client's, for the way there and back.
const MARGIN_TICKS: u64 = 2;
const MICROS_PER_MILLISECOND: u64 = 1000;

/// What the balancer needs to know of a request.
pub(super) struct ParsedRequest {
    /// Version of the settings under which it was parsed.
    pub settings_version: u64,
    /// Its class.
    pub class: ClassId,
    /// Who it is served for, where the settings have tenants.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// The answer is due this long before that time is over.
    pub margin: Micros,
    /// Work that the client expects, on a standard core.
    pub expected_work: Option<Micros>,
    /// The client says that it sent the request before.
    pub is_client_retry: bool,
}

impl ParsedRequest {
    /// Parses the head of a request with a body of `body_length` bytes, where that is known.
    pub fn parse(
        settings: &Settings, head: &Parts, body_length: Option<u64>,
    ) -> Result<ParsedRequest, RequestError> {
        let headers = &head.headers;
        let class = parse_class(settings, head)?;
        check_form(settings.balancer.classes[class.0].idempotency, head, body_length)?;
        if !headers.contains_key(&CORRELATION_ID) {
            return Err(RequestError::MissingCorrelationId);
        }
        let tenant = parse_tenant(settings, headers)?;
        let time_left_ms = parse_number(headers, &TIME_LEFT)?.ok_or(RequestError::MissingTimeLeft)?;
        Ok(ParsedRequest {
            settings_version: settings.version,
            class,
            tenant,
            time_left: Micros(time_left_ms.saturating_mul(MICROS_PER_MILLISECOND)),
            margin: Micros(MARGIN_TICKS * settings.balancer.tick.0),
            expected_work: parse_number(headers, &EXPECTED_WORK)?.map(Micros),
            is_client_retry: header_text(headers, &CLIENT_RETRY) == Some("1"),
        })
    }
}

fn parse_class(settings: &Settings, head: &Parts) -> Result<ClassId, RequestError> {
    let name = header_text(&head.headers, &CLASS).ok_or(RequestError::MissingClass)?;
    let class = settings.names.class(name).ok_or(RequestError::UnknownClass)?;
    match head.uri.path().split('/').nth(1) == Some(name) {
        true => Ok(class),
        false => Err(RequestError::PathOfOtherClass),
    }
}

/// Method, body and idempotency key have to be those of the class.
fn check_form(idempotency: Idempotency, head: &Parts, body_length: Option<u64>) -> Result<(), RequestError> {
    let is_keyed = head.headers.contains_key(&IDEMPOTENCY_KEY);
    let is_fit = match idempotency {
        Idempotency::Idempotent => head.method == Method::GET && body_length == Some(0),
        Idempotency::Keyed { .. } => head.method == Method::POST && is_keyed,
        Idempotency::NonIdempotent => head.method == Method::POST && !is_keyed,
    };
    match is_fit {
        true => Ok(()),
        false => Err(RequestError::UnfitForClass),
    }
}

fn parse_tenant(settings: &Settings, headers: &HeaderMap) -> Result<Option<TenantId>, RequestError> {
    if !settings.names.has_tenants() {
        return Ok(None);
    }
    let name = header_text(headers, &TENANT).ok_or(RequestError::MissingTenant)?;
    settings.names.tenant(name).map(Some).ok_or(RequestError::UnknownTenant)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The whole number in a header, without a sign; `None` if the header is absent.
fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, RequestError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| RequestError::InvalidNumber)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidNumber);
    }
    text.parse().map(Some).map_err(|_| RequestError::InvalidNumber)
}
