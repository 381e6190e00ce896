use crate::load::AttemptResult;
use crate::wire::HttpResponse;

/// Request properties that a correct response must echo.
#[derive(Debug, Clone)]
pub struct ResponseCheck {
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Tag of the request.
    pub tag: String,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
}

impl ResponseCheck {
    /// Classifies a response by its outcome header, or by its status if it has none.
    #[must_use]
    pub fn classify(&self, response: &HttpResponse) -> AttemptResult {
        let status = response.status.to_string();
        let code = response
            .header("x-result-code")
            .unwrap_or(&status)
            .to_owned();
        match response.header("x-outcome") {
            Some("not-run") => AttemptResult::Refused(code),
            Some("failed") => AttemptResult::Failed(code),
            Some("unknown") => AttemptResult::Unknown(code),
            _ if response.status == 200 => self.verify_body(response),
            None if response.status == 503 => AttemptResult::Refused(code),
            _ => AttemptResult::Failed(code),
        }
    }

    fn verify_body(&self, response: &HttpResponse) -> AttemptResult {
        let value = response.body_json();
        let padding = value["padding"].as_str();
        let correct = value["method"] == self.method
            && value["path"] == self.path
            && value["tag"] == self.tag
            && value["received_bytes"] == self.body_bytes
            && padding.is_some_and(|text| text.bytes().all(|byte| byte == b'x'));
        match value["instance"].as_str() {
            Some(instance) if correct => AttemptResult::Correct(instance.to_owned()),
            _ => AttemptResult::Incorrect,
        }
    }
}
