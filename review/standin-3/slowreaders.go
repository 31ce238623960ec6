package main

import (
	"bytes"
	"io"
	"net"
	"sort"
	"sync"
	"time"
)

// Sizes of the case of callers that do not read.
const (
	slowReaders     = 700
	slowAnswerBytes = 100 << 10
	ordinaryCallers = 10
	slowRouteMS     = 3000
)

func init() { cases["slow-readers"] = slowReadersCase }

// attempt is one attempt of an ordinary caller on a new channel.
type attempt struct {
	caller int
	at     time.Duration
	served bool
}

// slowReadersCase has callers that send one request each and do not read the answer, beside
// ordinary callers of the same entry process, each of which asks on new channels.
func slowReadersCase() bool {
	d := newDeployment(284)
	cleanup = d.stopAll
	large := bytes.Repeat([]byte("x"), slowAnswerBytes)
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		d.startEngine(id, "plain", "", 6, serveBody(large, 2*time.Millisecond))
		d.startEngine("s"+id, "small", "", 6, serveBody([]byte("small answer"), 2*time.Millisecond))
	}
	d.startEngine("m1", "model", "decode", 48, serveEvents(3, 10*time.Millisecond))
	d.publish(1, []route{
		{Name: "lookup", Host: host, PathPrefix: "/lookup/", Kind: "idempotent", Service: "plain", TimeoutMS: slowRouteMS, GoalMS: 300, MaxAttempts: 2},
		{Name: "small", Host: host, PathPrefix: "/small/", Kind: "idempotent", Service: "small", TimeoutMS: slowRouteMS, GoalMS: 300, MaxAttempts: 2},
	})
	d.startGateways(1)
	g := d.gateways[0]
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	for caller := range ordinaryCallers {
		ordinary.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				at := time.Since(began)
				got := send(g.callers, request{method: "GET", path: "/small/x", id: nextID("ordinary"), deadlineMS: 1500}, 2*time.Second)
				mu.Lock()
				attempts = append(attempts, attempt{caller, at, got.status == 200})
				mu.Unlock()
				if got.status != 200 {
					note("ordinary caller %d: status %d, error %v", caller, got.status, got.err)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	note("%d callers send a request for an answer of %d bytes; reading: %v", slowReaders, slowAnswerBytes, !trouble)
	var crowd sync.WaitGroup
	for range slowReaders {
		crowd.Go(func() {
			r := request{method: "GET", path: "/lookup/x", id: nextID("crowd"), deadlineMS: 3000}
			if !trouble {
				_ = send(g.callers, r, 10*time.Second)
				return
			}
			for holdUnread(g.callers, r, stop) {
				r.id = nextID("crowd")
			}
		})
	}
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		now, most := g.memoryMB()
		note("ready: %v; memory %d MB, at most %d MB", g.isReady(), now, most)
	}
	close(stop)
	ordinary.Wait()
	crowd.Wait()
	longest, from, callers := longestUnserved(attempts)
	note("longest time without a channel that was taken: %.2f s from %.2f s, in which %d callers tried", longest.Seconds(), from.Seconds(), callers)
	return longest >= contact && callers >= 7
}

// longestUnserved returns the longest time between two attempts that were served, and how many
// callers tried in vain in it.
func longestUnserved(attempts []attempt) (longest, from time.Duration, callers int) {
	var last time.Duration
	tried := make(map[int]bool)
	first := true
	for _, a := range sortAttempts(attempts) {
		if first {
			last, first = a.at, false
		}
		if !a.served {
			tried[a.caller] = true
			continue
		}
		if a.at-last > longest {
			longest, from, callers = a.at-last, last, len(tried)
		}
		last = a.at
		tried = make(map[int]bool)
	}
	return longest, from, callers
}

// holdUnread sends a request, reads the first bytes of the status line and no more, and holds
// the channel. It reports whether to send another one: the process refused this one or has
// closed the channel.
func holdUnread(address string, r request, stop chan struct{}) bool {
	const again = 50 * time.Millisecond
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = conn.Write(r.text())
		first := make([]byte, len("HTTP/1.1 200"))
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err = io.ReadFull(conn, first); err == nil && string(first) == "HTTP/1.1 200" {
			select {
			case <-stop:
				return false
			case <-time.After(7 * time.Second): // Longer than the process waits for a reader.
				return true
			}
		}
	}
	select {
	case <-stop:
		return false
	case <-time.After(again):
		return true
	}
}

func sortAttempts(attempts []attempt) []attempt {
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].at < attempts[j].at })
	return attempts
}
