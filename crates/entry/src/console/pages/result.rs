//! The document as it is given out to be published.

use super::edit::carried;
use super::layout::{Chrome, Page, Shown};
use crate::console::draft::Draft;
use hickorycross_config::Digest;
use maud::html;

/// The result of a draft.
pub(crate) fn result(chrome: &Chrome, draft: &Draft, text: &str, digest: Digest) -> Page {
    let revision = draft.base.revision;
    let body = html! {
        p { "Digest " code { (digest) } ", to replace " (Shown(draft.base)) "." }
        p {
            "Publish the file with the platform's own means; this system writes nothing there. "
            "Name the base, so that the platform refuses if somebody was faster:"
        }
        pre { "curl -X PUT --data-binary @document.json 'PLATFORM/v1/config?base=" (revision) "'" }
        form method="post" action="/console/document" {
            (carried(chrome, draft))
            input type="hidden" name="draft" value=(draft.document);
            p.buttons { button { "Download document.json" } }
        }
        p { a href={ "/console/rollout?digest=" (digest) } { "See where it is in force" } }
        label for="text" { "The document" }
        textarea #text rows="24" readonly spellcheck="false" { (text) }
    };
    chrome.page("Document to publish", &body)
}
