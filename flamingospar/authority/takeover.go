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

const takeovers = 3

// measureTakeover prints how long a lease is held by nobody: after its holder
// was killed, and after it was given up.
func measureTakeover(ctx context.Context, stdout io.Writer) error {
	var killed, released []time.Duration
	for i := range takeovers {
		after, err := takeOver(ctx, fmt.Sprintf("killed-%d", i), func(k *leasekeeper.Keeper) {})
		if err != nil {
			return err
		}
		killed = append(killed, after)
		after, err = takeOver(ctx, fmt.Sprintf("released-%d", i), func(k *leasekeeper.Keeper) { k.Release(ctx) })
		if err != nil {
			return err
		}
		released = append(released, after)
	}
	fmt.Fprintf(stdout, "takeover killed %s released %s\n", spans(killed), spans(released))
	return nil
}

func takeOver(ctx context.Context, name string, end func(*leasekeeper.Keeper)) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	tables := platform.NewTables()
	first := leasekeeper.New(tables, name, "first")
	first.Step(ctx)
	second := leasekeeper.New(tables, name, "second")
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		second.Run(ctx)
	}()
	defer running.Wait()
	defer cancel()
	if err := wait(ctx, time.Second); err != nil {
		return 0, err
	}
	first.Step(ctx)
	ended := time.Now()
	end(first)
	for {
		if _, held := second.Held(); held {
			return time.Since(ended), nil
		}
		if err := wait(ctx, lookEvery); err != nil {
			return 0, err
		}
	}
}
