//! The platform's protocol: a thin front. Events pass through untouched.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use tallypin::api::{ClassId, Nanos, RejectReason, TenantId};
use tallypin::name_hash;

use super::FrontContext;
use super::{
    next, opening, retry_after, write, write_chunk, write_whole, AfterAnswer, Incoming, Next, Rejection,
};
use crate::body_budget::BufferedBody;
use crate::core::{FinalAnswer, NewRequest};
use crate::dialect::{ChatWriter, ConversationRequest, Dialect};
use crate::dispatcher::{ResponseEvent, UpstreamRequest};
use crate::http::{BufferedConnection, HttpError};

/// The path of requests.
const PATH: &[u8] = b"/v1/chat/completions";
/// The longest name of a request.
const LONGEST_ID: usize = 128;
/// A wait above this is no wait.
const ABSURD_MS: u64 = 24 * 3600 * 1000;

const BEGUN: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads what the core wants to know of a request; also gives the request's name.
pub fn read(
    context: &FrontContext,
    request: &Incoming,
    now: Nanos,
) -> Result<(NewRequest, Bytes), Rejection> {
    if request.path() != PATH {
        return Err(Rejection::NotFound);
    }
    if &request.method[..] != b"POST" {
        return Err(Rejection::Method);
    }
    let (head, of) = (&request.head, &context.deployment);
    let id = head.single_value("req-id")?.ok_or(HttpError::Malformed)?.clone();
    if id.is_empty() || id.len() > LONGEST_ID || !id.iter().all(u8::is_ascii_graphic) || !head.is_http_11 {
        return Err(HttpError::Malformed.into());
    }
    let kind = head.text_value("req-kind")?;
    let class = of.classes.iter().position(|c| Some(c.name.as_str()) == kind).ok_or(HttpError::Malformed)?;
    let owner = head.text_value("req-owner")?;
    let tenant = match of.tenant_names.iter().position(|p| Some(p.as_str()) == owner) {
        Some(tenant) => tenant,
        None if of.tenant_names.is_empty() => 0,
        None => return Err(HttpError::Malformed.into()),
    };
    let wait = match head.text_value("req-deadline-ms")? {
        None => of.classes[class].deadline,
        Some(ms) => number(ms).filter(|ms| *ms <= ABSURD_MS).ok_or(HttpError::Malformed)? * 1_000_000,
    };
    let retry = head.text_value("req-retry")?;
    let mut ask = NewRequest {
        class: ClassId(class as u32),
        tenant: TenantId(tenant as u32),
        time_left: request.left(now, wait),
        session: head.single_value("req-key")?.map(|key| name_hash::session_key(key)),
        resumes_stream: retry == Some("again"),
        is_client_retry: retry == Some("1"),
        ..NewRequest::default()
    };
    for pair in head.text_value("req-extra")?.unwrap_or_default().split(',').filter(|p| !p.trim().is_empty())
    {
        let (name, value) = pair.trim().split_once('=').ok_or(HttpError::Malformed)?;
        let tokens = || number(value).and_then(|n| u32::try_from(n).ok()).ok_or(HttpError::Malformed);
        match name {
            "prefix" => ask.prefix = Some(name_hash::prefix_key(value.as_bytes())),
            "prompt_len" => ask.prompt_tokens = tokens()?,
            "prefix_len" => ask.prefix_tokens = tokens()?,
            _ => {}
        }
    }
    Ok((ask, id))
}

/// A whole number, digits only.
fn number(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Answers one request.
pub async fn answer(
    context: &Rc<FrontContext>,
    wire: &mut BufferedConnection,
    request: Incoming,
) -> io::Result<AfterAnswer> {
    let (ask, id) = match read(context, &request, context.clock.now()) {
        Ok(read) => read,
        Err(why) => return reject(context, wire, why).await,
    };
    let idempotency_key = match request.idempotency_key() {
        Ok(key) => key,
        Err(bad) => return reject(context, wire, bad.into()).await,
    };
    if context.dispatcher.is_full() {
        return reject(context, wire, Rejection::Full).await;
    }
    let same = context.replicas.dialect == Dialect::Chat;
    let Incoming { method, mut target, mut body, client, .. } = request;
    if !same {
        // An old client, newer model nodes: the one case in which this front is not thin.
        let Ok(asked) = ConversationRequest::parse_chat(&body.bytes) else {
            return reject(context, wire, HttpError::Malformed.into()).await;
        };
        let bytes = asked.messages_body(context.limits.default_max_tokens);
        let Some(reserved) = context.body_budget.reserve(bytes.len()) else {
            return reject(context, wire, Rejection::Full).await;
        };
        (target, body) = (
            Bytes::from_static(context.replicas.dialect.path()),
            BufferedBody { bytes: bytes.into(), reserved },
        );
    }
    let prompt = UpstreamRequest { id, method, target, body, idempotency_key, text: !same, client };
    let Some(mut ticket) = context.dispatcher.submit(ask, prompt) else {
        return reject(context, wire, Rejection::Twice).await;
    };
    let mut writer = ChatWriter::default();
    let mut unsaid = true;
    loop {
        match next(context, wire, &mut ticket).await {
            Next::Piece(ResponseEvent::Data(bytes, told)) => {
                let bytes = if same { bytes } else { writer.write(&told) };
                if bytes.is_empty() {
                    continue;
                }
                write_chunk(context, wire, opening(context, &mut unsaid, BEGUN, ""), bytes).await?;
            }
            Next::Piece(ResponseEvent::End(FinalAnswer::Completed)) => {
                if !same {
                    let head = opening(context, &mut unsaid, BEGUN, "");
                    write_chunk(context, wire, head, writer.finish()).await?;
                }
                write(context, wire, &b"0\r\n\r\n"[..]).await?;
                return Ok(AfterAnswer::KeepOpen);
            }
            // Nothing of the stream has reached the client: closed without a word, it would send the request again.
            Next::Piece(ResponseEvent::End(FinalAnswer::Interrupted)) if unsaid => {
                write_whole(context, wire, 500, "", Bytes::from_static(b"failed\n")).await?;
                return Ok(AfterAnswer::Close);
            }
            // Without the last chunk, so that the client knows that this is not the end.
            Next::Piece(ResponseEvent::End(FinalAnswer::Interrupted)) | Next::Left => {
                return Ok(AfterAnswer::Close)
            }
            Next::Piece(ResponseEvent::End(FinalAnswer::Rejected { retry_after: advice, reason: why })) => {
                let fields = format!("Retry-After: {:.3}\r\n", retry_after(context, advice));
                let status = if why == RejectReason::QuotaExceeded { 429 } else { 503 };
                write_whole(context, wire, status, &fields, Bytes::from_static(b"refused\n")).await?;
                return Ok(AfterAnswer::KeepOpenAfterRejection);
            }
            Next::Piece(ResponseEvent::End(FinalAnswer::Failed { past_deadline: late })) => {
                let status = if late { 504 } else { 500 };
                write_whole(context, wire, status, "", Bytes::from_static(b"failed\n")).await?;
                return Ok(AfterAnswer::KeepOpen);
            }
        }
    }
}

/// Answers what is no request that could be taken.
pub async fn reject(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    why: Rejection,
) -> io::Result<AfterAnswer> {
    let status = why.status();
    let fields = match why {
        Rejection::Full => format!("Retry-After: {:.3}\r\n", retry_after(context, 0)),
        Rejection::Method => "Allow: POST\r\n".into(),
        _ => String::new(),
    };
    let body = Bytes::from_static(crate::http::reason_phrase(status).as_bytes());
    write_whole(context, wire, status, &fields, body).await?;
    Ok(AfterAnswer::KeepOpenAfterRejection)
}
