//! Parses the head of a request and validates it against the current settings.

use super::request_error::RequestError;
use crate::config::Settings;
use crate::headers::{
    CLASS, CLIENT_RETRY, CORRELATION_ID, EXPECTED_WORK, IDEMPOTENCY_KEY, TENANT, TIME_LEFT,
};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::Method;
use load_balancer::{ClassId, Idempotency, Micros, TenantId};

/// Time between the proxy's deadline and the client's, in ticks of the balancer; an allowance for the
/// transmission of request and response.
const MARGIN_TICKS: u64 = 2;
const MICROS_PER_MILLISECOND: u64 = 1000;

/// The parts of a request's head that the balancer needs.
pub(super) struct ParsedRequest {
    /// Version of the settings used for parsing.
    pub settings_version: u64,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request; `None` if the settings define no tenants.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up on the request.
    pub time_left: Micros,
    /// The response is due this long before the client gives up.
    pub margin: Micros,
    /// Processing time that the client expects, on a standard core; `None` if it sent no hint.
    pub expected_work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
}

impl ParsedRequest {
    /// Parses the head of a request whose body has `body_length` bytes; `None` if the length is unknown.
    pub fn parse(
        settings: &Settings, head: &Parts, body_length: Option<u64>,
    ) -> Result<ParsedRequest, RequestError> {
        let headers = &head.headers;
        let class = parse_class(settings, head)?;
        check_idempotency(settings.balancer.classes[class.0].idempotency, head, body_length)?;
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
        false => Err(RequestError::PathClassMismatch),
    }
}

/// Checks that the method, the body and the idempotency key are allowed for the class.
fn check_idempotency(
    idempotency: Idempotency, head: &Parts, body_length: Option<u64>,
) -> Result<(), RequestError> {
    let is_keyed = head.headers.contains_key(&IDEMPOTENCY_KEY);
    let is_allowed = match idempotency {
        Idempotency::Idempotent => head.method == Method::GET && body_length == Some(0),
        Idempotency::Keyed { .. } => head.method == Method::POST && is_keyed,
        Idempotency::NonIdempotent => head.method == Method::POST && !is_keyed,
    };
    match is_allowed {
        true => Ok(()),
        false => Err(RequestError::NotAllowedForClass),
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

/// Parses a header as a whole number without a sign; `None` if the header is absent.
fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, RequestError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| RequestError::InvalidNumber)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidNumber);
    }
    text.parse().map(Some).map_err(|_| RequestError::InvalidNumber)
}
