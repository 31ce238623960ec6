package soak_test

import (
	"context"
	"math/rand/v2"
	"time"
)

// restoreStore lets the store come back from copies that are up to a few seconds old, until
// ctx ends. The operator and the endpoints write again soon after. The draws don't depend on
// those of the other faults.
func (h *harness) restoreStore(ctx context.Context, random *rand.Rand) {
	for {
		wait(ctx, time.Duration(random.IntN(2500))*time.Millisecond)
		copied := h.store.Copy()
		wait(ctx, time.Duration(200+random.IntN(4000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		h.report.addFault("store came back from a copy")
		h.store.Restore(copied)
		wait(ctx, time.Duration(random.IntN(500))*time.Millisecond)
		h.writeConfiguration()
		for _, e := range h.endpoints {
			h.writeEndpointRow(e, "ready")
		}
	}
}
