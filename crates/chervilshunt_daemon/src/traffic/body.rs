//! Response bodies for callers.

use bytes::Bytes;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::relay::RelayError;

/// The body type of all responses to callers.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, RelayError>;

/// Converts a response with an in-memory body to the common body type.
pub(crate) fn whole(res: Response<Bytes>) -> Response<ResponseBody> {
    res.map(|bytes| {
        Full::new(bytes)
            .map_err(|never| match never {})
            .boxed_unsync()
    })
}
