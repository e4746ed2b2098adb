"""The Prometheus metrics of a node; their names include the units."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    'pimentoway_requests',
    'Requests by tier and outcome.',
    ['tier', 'outcome'],
)

GOODPUT_TOKENS = prometheus_client.Counter(
    'pimentoway_goodput_tokens',
    'Tokens of answers that came whole within their deadline.',
    ['tier'],
)

PREFILL_TOKENS = prometheus_client.Counter(
    'pimentoway_prefill_tokens',
    'Prompt tokens dispatched to engines, by whether the cache held them.',
    ['cached'],
)

WASTED_PREFILL_TOKENS = prometheus_client.Counter(
    'pimentoway_wasted_prefill_tokens',
    'Prompt tokens of requests whose answers were of no use.',
)

QUEUE_SECONDS = prometheus_client.Histogram(
    'pimentoway_queue_seconds',
    'Time from arrival to dispatch.',
    ['tier'],
)

FIRST_PIECE_SECONDS = prometheus_client.Histogram(
    'pimentoway_first_token_seconds',
    'Time from arrival to the first piece of the answer.',
    ['tier'],
)

PLATFORM_CALLS = prometheus_client.Counter(
    'pimentoway_platform_calls',
    'Calls to the platform.',
    ['method'],
)

CONTROL_BYTES = prometheus_client.Counter(
    'pimentoway_control_bytes',
    'Bytes exchanged with other nodes, and in reports of back ends.',
    ['channel', 'direction'],
)

CONFIGURATION_VERSION = prometheus_client.Gauge(
    'pimentoway_configuration_version',
    'The version of the configuration that the node runs.',
)

LIVE_NODES = prometheus_client.Gauge(
    'pimentoway_live_nodes',
    'The nodes that count as live.',
)

BACKEND_SLOTS = prometheus_client.Gauge(
    'pimentoway_backend_slots',
    'The learnt limit of a back end.',
    ['backend'],
)

ENGINE_NOTICES = prometheus_client.Counter(
    'pimentoway_engine_notices',
    'Answers of back ends that announce that they leave, that they want no '
    'requests for some time, that they can reject few, or something '
    'unreadable.',
    ['notice'],
)

NEW_CONNECTIONS = prometheus_client.Counter(
    'pimentoway_new_connections',
    'Connections that this node opened to back ends, by why none was reused.',
    ['reason'],
)

PACE_ERROR = prometheus_client.Histogram(
    'pimentoway_pace_error',
    'Difference between the pace of a machine as it was reported and as it was '
    'predicted from the figure before; 1 is the usual time of work.',
    buckets=(0.05, 0.1, 0.2, 0.5, 1, 2),
)

PACE_AGE = prometheus_client.Histogram(
    'pimentoway_pace_age_seconds',
    'Age of the pace of a machine when its back end was chosen.',
    buckets=(0.05, 0.1, 0.2, 0.5, 1, 2, 5, 20),
)

FIRST_EVENT_ERROR = prometheus_client.Histogram(
    'pimentoway_first_event_error_seconds',
    'Difference between the time to the first event of an answer and the one '
    'that was expected when its back end was chosen by the pace of machines.',
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)

RELAY_REQUESTS = prometheus_client.Counter(
    'pimentoway_relay_requests',
    'Requests that this node relayed for other nodes, by how they ended.',
    ['end'],
)

RELAY_BYTES = prometheus_client.Counter(
    'pimentoway_relay_bytes',
    'Bytes of the requests and answers that this node relayed.',
    ['direction'],
)

BRITTLE_REJECTIONS = prometheus_client.Counter(
    'pimentoway_brittle_rejections',
    'Requests that back ends that bear few rejections rejected.',
    ['backend'],
)

SLOT_DECISIONS = prometheus_client.Counter(
    'pimentoway_slot_decisions',
    'Slots granted and refused by this broker, by tier and by the estimated '
    'length of the answer relative to its route.',
    ['tier', 'length', 'decision'],
)

STORE_CONTACT = prometheus_client.Gauge(
    'pimentoway_store_contact',
    'Whether this node watches the store and the store answers it.',
)

LOST_PATHS = prometheus_client.Gauge(
    'pimentoway_lost_paths',
    'Paths to back ends on which a node of this broker had faults.',
    ['node'],
)

RELAYED_REQUESTS = prometheus_client.Counter(
    'pimentoway_relayed_requests',
    'Slots that this broker granted through a node that relays the request.',
    ['relay'],
)

CROSSINGS = prometheus_client.Counter(
    'pimentoway_crossings',
    'Slots that this broker granted at back ends in another failure domain '
    'than the node that asked, by service.',
    ['service'],
)

OVER_SHARE = prometheus_client.Gauge(
    'pimentoway_customers_over_share',
    'Customers that got more than their fair share of the slots of this '
    'broker, while requests of several customers wait.',
)

SHARE_GRANTS = prometheus_client.Counter(
    'pimentoway_share_grants',
    'Slots granted by this broker to customers within their fair shares and '
    'to those over them.',
    ['side'],
)

WAIT_ERROR_SECONDS = prometheus_client.Histogram(
    'pimentoway_wait_error_seconds',
    'By how much requests that got a slot waited longer than the broker '
    'predicted when they arrived.',
    buckets=(-1, -0.5, -0.2, -0.1, 0.1, 0.2, 0.5, 1),
)

RESERVATIONS = prometheus_client.Counter(
    'pimentoway_return_reservations',
    'Places reserved for refused requests, by what became of them: made, none '
    '(too late for the caller), repeated (refused again before its time), kept '
    '(returned at its time), early (got a slot before), broken (returned at '
    'its time and was refused) and missed (did not return).',
    ['end'],
)

ENGINE_DEMAND = prometheus_client.Gauge(
    'pimentoway_engine_demand_slots',
    'The slots that the requests of a service need, as the holder of the '
    'duties measures them.',
    ['service'],
)

ENGINE_LEVEL = prometheus_client.Gauge(
    'pimentoway_engine_level',
    'The engines that the holder of the duties wants.',
    ['service', 'zone'],
)

DUTY_HOLDER = prometheus_client.Gauge(
    'pimentoway_duty_holder',
    'Whether this node holds the lease of the duties.',
)

DUTY_TOKEN = prometheus_client.Gauge(
    'pimentoway_duty_token',
    'The fencing token of the tenure; 0 without one.',
)

DUTY_TERM_SECONDS = prometheus_client.Gauge(
    'pimentoway_duty_term_seconds',
    'The rest of the term of the lease; 0 without a tenure.',
)

DUTY_WINDOWS = prometheus_client.Counter(
    'pimentoway_duty_windows',
    'Windows of usage: fixed, reported, of these sent more than once or '
    'late; skipped; dropped without an answer.',
    ['outcome'],
)

DUTY_ORDERS = prometheus_client.Counter(
    'pimentoway_duty_orders',
    'Orders of engines that were answered, by failure domain.',
    ['zone'],
)

DUTY_CALLS = prometheus_client.Counter(
    'pimentoway_duty_calls',
    'Calls to the API of the platform by duty and by status, or by why there '
    'is none.',
    ['duty', 'status'],
)

DUTY_STORE_CALLS = prometheus_client.Counter(
    'pimentoway_duty_store_calls',
    'Calls to the store for the lease of the duties.',
    ['step'],
)

USAGE_STARTS = prometheus_client.Counter(
    'pimentoway_usage_starts',
    'Requests of this node that engines began, by whether an answer or event '
    'came (answered) or the outcome was not known when they were counted.',
    ['evidence'],
)

USAGE_LATE_STARTS = prometheus_client.Counter(
    'pimentoway_usage_late_starts',
    'Requests that were counted after their interval was told to be complete.',
)

USAGE_REQUESTERS = prometheus_client.Gauge(
    'pimentoway_usage_requesters',
    'Nodes that report usage to this broker.',
)

USAGE_WRONG_CLOCKS = prometheus_client.Gauge(
    'pimentoway_usage_wrong_clocks',
    'Nodes whose usage this broker shifts, as their clocks were wrong.',
)

USAGE_CORRECTION_SECONDS = prometheus_client.Gauge(
    'pimentoway_usage_correction_seconds',
    'By how much the true time of the nodes is ahead of this one.',
)

HELD_BYTES = prometheus_client.Gauge(
    'pimentoway_held_bytes',
    'The memory that connections make the node hold, as it is counted.',
)

HELD_BYTES_LIMIT = prometheus_client.Gauge(
    'pimentoway_held_bytes_limit',
    'The limit of pimentoway_held_bytes; 0 for none.',
)

OPEN_CONNECTIONS = prometheus_client.Gauge(
    'pimentoway_open_connections',
    'The accepted connections that are open, by port.',
    ['port'],
)

ENDED_CONNECTIONS = prometheus_client.Counter(
    'pimentoway_ended_connections',
    'Accepted connections that this node ended for want of memory or '
    'descriptors, or as what they sent is invalid, too large or too slow.',
    ['reason'],
)
