//! The forms as tables: which fields each part of the document has and how each is filled in.
//!
//! Ranges and syntax stand in the document's schema alone; validation words them beside a field.

/// One part of the document, on a page of its own.
#[derive(Debug)]
pub(super) struct Section {
    /// Its key in the document; empty for the document's own fields.
    pub(super) key: &'static str,
    /// Heading of its page.
    pub(super) title: &'static str,
    /// One of its entries.
    pub(super) singular: &'static str,
    /// What it is for.
    pub(super) about: &'static str,
    /// Whether it is a list of named entries.
    pub(super) is_list: bool,
    /// Its fields, or those of each entry.
    pub(super) fields: &'static [Field],
}

/// One field.
#[derive(Debug)]
pub(super) struct Field {
    /// Path within the entry, such as `limit.requests_per_s`.
    pub(super) path: &'static str,
    /// Its label.
    pub(super) label: &'static str,
    /// A line of help.
    pub(super) help: &'static str,
    /// How it is filled in.
    pub(super) kind: Kind,
}

/// How a field is filled in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// One line of text.
    Text,
    /// A number.
    Number,
    /// Yes or no.
    Flag,
    /// One of fixed values.
    Choice(&'static [&'static str]),
    /// The id of an entry of another list.
    IdOf(&'static str),
    /// Texts, one a line.
    Lines,
    /// One of several objects, told apart by their only key; its fields follow.
    Variant(&'static [&'static str]),
}

const fn field(path: &'static str, label: &'static str, help: &'static str, kind: Kind) -> Field {
    Field { path, label, help, kind }
}

/// The key of the list of teams, whose keys can be made in the form.
pub(super) const TEAMS: &str = "teams";
/// The field of a team that holds the hashes of its keys.
pub(super) const KEY_HASHES: &str = "key_hashes";

/// Every section, in the order in which a document is best filled in.
pub(super) static SECTIONS: [Section; 8] = [
    Section {
        key: "",
        title: "Document",
        singular: "document",
        about: "What the document is called.",
        is_list: false,
        fields: &[field("title", "Title", "For people; shown in the console.", Kind::Text)],
    },
    Section {
        key: "failure_domains",
        title: "Failure domains",
        singular: "failure domain",
        about: "Where instances stand, and the region of each place.",
        is_list: true,
        fields: &[
            field("id", "Name", "As the instances carry it in their settings.", Kind::Text),
            field("region", "Region", "Failure domains of one region are near.", Kind::Text),
        ],
    },
    Section {
        key: "tiers",
        title: "Tiers",
        singular: "tier",
        about: "Who is answered first under strain.",
        is_list: true,
        fields: &[
            field("id", "Name", "", Kind::Text),
            field("rank", "Rank", "0 is answered first; each rank once.", Kind::Number),
            field(
                "first_chunk_target_ms",
                "Time to the first chunk (ms)",
                "What callers of the tier are promised, from arrival.",
                Kind::Number,
            ),
            field(
                "floor_permille",
                "Floor (thousandths)",
                "Share of starts that the tier keeps while higher tiers would fill all. 0 allows \
                 starvation.",
                Kind::Number,
            ),
        ],
    },
    Section {
        key: TEAMS,
        title: "Teams and limits",
        singular: "team",
        about: "Callers, their tier, their API keys and their limits over the whole fleet.",
        is_list: true,
        fields: &[
            field("id", "Name", "", Kind::Text),
            field("tier", "Tier", "", Kind::IdOf("tiers")),
            field(
                "limit.requests_per_s",
                "Limit (requests a second)",
                "Accepted requests, over all entries together.",
                Kind::Number,
            ),
            field(
                "limit.burst_requests",
                "Burst (requests)",
                "Requests that may follow one another at once before the rate binds.",
                Kind::Number,
            ),
            field(
                KEY_HASHES,
                "SHA-256 of each API key",
                "64 hexadecimal digits, one key a line. Never the key itself.",
                Kind::Lines,
            ),
        ],
    },
    Section {
        key: "backend_servers",
        title: "Backend servers",
        singular: "backend server",
        about: "What answers requests; the platform's instance list binds each to an instance.",
        is_list: true,
        fields: &[
            field("id", "Name", "", Kind::Text),
            field("failure_domain", "Failure domain", "", Kind::IdOf("failure_domains")),
            field("kind", "Kind", "", Kind::Choice(&["engine", "service"])),
            field("slots", "Slots (requests)", "Requests that it runs at once.", Kind::Number),
            field(
                "queue_slots",
                "Queue (requests)",
                "Requests that may wait beside it; 0 means that none wait.",
                Kind::Number,
            ),
            field(
                "checks_fencing",
                "It refuses orders with an old fencing number by itself",
                "",
                Kind::Flag,
            ),
        ],
    },
    Section {
        key: "model_groups",
        title: "Model groups",
        singular: "model group",
        about: "Ranks that run in lock-step on one expert map.",
        is_list: true,
        fields: &[
            field("id", "Name", "", Kind::Text),
            field("models", "Models", "By the name that callers use, one a line.", Kind::Lines),
            field("weights_version", "Version of the weights", "", Kind::Text),
            field(
                "backend_servers",
                "Backend servers",
                "Engines in rank order, one a line.",
                Kind::Lines,
            ),
            field("ranks_per_server", "Ranks on each backend server", "", Kind::Number),
            field("layers", "Layers with experts", "", Kind::Number),
            field("experts_per_layer", "Experts a layer", "", Kind::Number),
            field("expert_bytes", "Weights of one expert in one layer (bytes)", "", Kind::Number),
            field(
                "expert_slots_per_rank",
                "Experts of one layer that a rank can hold",
                "Replicas included.",
                Kind::Number,
            ),
        ],
    },
    Section {
        key: "routes",
        title: "Routes",
        singular: "route",
        about: "Which requests go to which backend servers, and how long they may take.",
        is_list: true,
        fields: &[
            field("id", "Name", "", Kind::Text),
            field(
                "target",
                "Leads to",
                "model: the model API of groups; service: a plain service behind a path. Save \
                 to see the fields of another choice.",
                Kind::Variant(&["model", "service"]),
            ),
            field(
                "target.model.groups",
                "Model groups",
                "All with the same models, one a line.",
                Kind::Lines,
            ),
            field(
                "target.service.path_prefix",
                "Path prefix",
                "Kept on the way to the service, such as /cases/.",
                Kind::Text,
            ),
            field(
                "target.service.backend_servers",
                "Backend servers",
                "Of kind service, one a line.",
                Kind::Lines,
            ),
            field(
                "idempotent",
                "A request may run more than once",
                "A caller's header can only say no.",
                Kind::Flag,
            ),
            field(
                "default_deadline_ms",
                "Deadline of a request that brings none (ms)",
                "From arrival.",
                Kind::Number,
            ),
            field("max_deadline_ms", "Latest deadline (ms)", "From arrival.", Kind::Number),
            field(
                "key_horizon_ms",
                "Memory of idempotency keys (ms)",
                "From the end of the request.",
                Kind::Number,
            ),
            field(
                "retry_budget_permille",
                "Retry budget (thousandths of first tries)",
                "",
                Kind::Number,
            ),
        ],
    },
    Section {
        key: "balance",
        title: "Balance",
        singular: "balance",
        about: "How step-time skew is weighed against the cost of rebalancing. Only the ratio of \
                the weights matters.",
        is_list: false,
        fields: &[
            field("skew_weight", "Weight of skew", "", Kind::Number),
            field("rebalance_cost_weight", "Weight of rebalancing cost", "", Kind::Number),
            field(
                "weight_store_bytes_per_s",
                "Rate of the weight store (bytes a second)",
                "What it grants the whole fleet.",
                Kind::Number,
            ),
        ],
    },
];

/// Finds a section by its key in the document.
pub(super) fn section(key: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.key == key)
}

impl Section {
    /// The JSON path of an entry, or of the section itself.
    pub(super) fn path(&self, index: Option<usize>) -> String {
        index.map_or_else(|| self.key.to_owned(), |index| format!("{}[{index}]", self.key))
    }
}

impl Field {
    /// Whether a fault's path within the entry belongs beside this field.
    pub(super) fn owns(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path) else { return false };
        let is_variant = matches!(self.kind, Kind::Variant(_));
        rest.is_empty() || (!is_variant && rest.starts_with(['[', '.']))
    }
}
