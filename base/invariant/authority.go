package invariant

// The invariants of authority: configuration, leases and orders.
const (
	NoWorkWhenStale      Name = "no_work_when_stale"
	WithdrawnKeyStaysOut Name = "withdrawn_key_stays_out"
	OrderOnlyWhenQuiet   Name = "order_only_when_quiet"
	OrderOnlyWhenDrained Name = "order_only_when_drained"
	IntentBeforeOrder    Name = "intent_before_order"
	PredecessorSettled   Name = "predecessor_settled"
)
