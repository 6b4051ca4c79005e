//! Signing in, and where a draft begins.

use super::layout::{Chrome, Page, Shown};
use crate::console_state::ActiveDocument;
use maud::html;

/// The form for name and password.
pub(crate) fn sign_in(chrome: &Chrome, fault: Option<&str>) -> Page {
    let body = html! {
        @if chrome.is_on() {
            @if let Some(fault) = fault { p.fault role="alert" { (fault) } }
            form method="post" action="/console/sign-in" {
                label for="name" { "Name" }
                input #name name="name" autocomplete="username" required autofocus;
                label for="password" { "Password" }
                input #password name="password" type="password" autocomplete="current-password"
                    required;
                p { button { "Sign in" } }
            }
        } @else {
            p { "Nobody can sign in: the settings of this entry name no operators. The views work." }
        }
    };
    chrome.page("Sign in", &body)
}

/// The choice of what a draft begins from.
pub(crate) fn begin(
    chrome: &Chrome,
    in_force: Option<&ActiveDocument>,
    fault: Option<&str>,
) -> Page {
    let body = html! {
        p { "A draft lives in this browser's page until you publish it. Nothing is stored here." }
        @if let Some(fault) = fault { p.fault role="alert" { (fault) } }
        form method="post" action="/console/begin" {
            (chrome.form_token())
            @if let Some(in_force) = in_force {
                p { button name="from" value="in-force" {
                    "Change the document in force: " (in_force.document.title)
                } }
                p.help { (Shown(in_force.stamp)) }
            } @else {
                p { "No document is in force yet." }
            }
            p { button name="from" value="empty" { "Begin with nothing filled in" } }
            label for="pasted" { "Or paste a document or a draft" }
            textarea #pasted name="pasted" rows="8" spellcheck="false" {}
            p { button name="from" value="pasted" { "Begin from the pasted text" } }
        }
    };
    chrome.page("New draft", &body)
}
