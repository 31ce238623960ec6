package authority

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/standin/platform"
)

const takeoverRuns = 3

// measureTakeover prints how long a lease has no holder after its holder was
// killed and after its holder released it.
func measureTakeover(ctx context.Context, stdout io.Writer) error {
	var killed, released []time.Duration
	for i := range takeoverRuns {
		elapsed, err := takeoverTime(ctx, fmt.Sprintf("killed-%d", i), func(k *leasekeeper.Keeper) {})
		if err != nil {
			return err
		}
		killed = append(killed, elapsed)
		elapsed, err = takeoverTime(ctx, fmt.Sprintf("released-%d", i), func(k *leasekeeper.Keeper) { k.Release(ctx) })
		if err != nil {
			return err
		}
		released = append(released, elapsed)
	}
	fmt.Fprintf(stdout, "takeover killed %s released %s\n", formatPercentiles(killed), formatPercentiles(released))
	return nil
}

func takeoverTime(ctx context.Context, name string, stopHolder func(*leasekeeper.Keeper)) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	tables := platform.NewTables()
	first := leasekeeper.New(tables, name, "first")
	first.Step(ctx)
	second := leasekeeper.New(tables, name, "second")
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		second.Run(ctx)
	}()
	defer wg.Wait()
	defer cancel()
	if err := wait(ctx, time.Second); err != nil {
		return 0, err
	}
	first.Step(ctx)
	stoppedAt := time.Now()
	stopHolder(first)
	for {
		if _, held := second.Held(); held {
			return time.Since(stoppedAt), nil
		}
		if err := wait(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}
