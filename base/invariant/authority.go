package invariant

// Invariants of configuration, leases and orders.
const (
	NoWorkWhenStale      Name = "no_work_when_stale"
	WithdrawnKeyStaysOut Name = "withdrawn_key_stays_out"
	OrderOnlyWhenQuiet   Name = "order_only_when_quiet"
	OrderOnlyWhenDrained Name = "order_only_when_drained" // An interrupting order is sent only while its endpoint has no active runs.
	IntentBeforeOrder    Name = "intent_before_order"     // A capacity order is sent only after its intent is stored.
	PredecessorSettled   Name = "predecessor_settled"     // A new intent is stored only after the previous one is placed.
)
