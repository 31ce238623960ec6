package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of engines that crash one right after the other.
const (
	chainEngines  = 4
	chainStreams  = 48
	chainEvents   = 30
	chainPause    = 100 * time.Millisecond
	chainGap      = 5 * time.Millisecond // Between two crashes.
	chainDowntime = 2 * time.Second
	chainLimit    = 8 * time.Second // Time limit of a requester.
	chainTries    = 4               // Of a requester, the first included.
)

func init() { cases["crash-chain"] = crashChainCase }

// streamResult is what a requester has of a stream.
type streamResult struct {
	lastID int
	whole  bool
	status int
	reason string
	retry  time.Duration
}

// readStream sends a request for a stream and reads its events.
func readStream(address string, r request, last int) streamResult {
	result := streamResult{lastID: last}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(chainLimit))
	if _, err := conn.Write(r.text()); err != nil {
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return result
	}
	result.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	if result.status != http.StatusOK {
		if lines.Scan() {
			result.reason = lines.Text()
		}
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		result.retry = time.Duration(seconds * float64(time.Second))
		return result
	}
	id := last
	for lines.Scan() {
		switch text, isID := strings.CutPrefix(lines.Text(), "id: "); {
		case isID:
			id, _ = strconv.Atoi(text)
		case lines.Text() == "":
			result.lastID = id
		}
	}
	result.whole = lines.Err() == nil && result.lastID == chainEvents
	return result
}

// crashChainCase has streams under way at all engines when these crash one right after the other,
// and their requesters take them up when the engines are back, beside new streams.
func crashChainCase() bool {
	d := newDeployment(284)
	cleanup = d.stopAll
	record := &poisonRecord{}
	var engines []*crashingEngine
	for i := range chainEngines {
		e := d.startCrashing(fmt.Sprintf("m%d", i+1), record)
		e.events, e.pause = chainEvents, chainPause
		engines = append(engines, e)
	}
	d.publish(1, []route{
		{Name: "digest", Host: host, PathPrefix: "/digest/", Kind: "stream", Service: "model", TimeoutMS: 8000, GoalMS: 500, GapAimMS: 300, MaxAttempts: 2, Sticky: true, Resumable: true},
	})
	d.startGateways(4)
	time.Sleep(3 * time.Second)
	streamRequest := func(n, last int, resumes string) request {
		r := request{method: "POST", path: "/digest/x", id: nextID("stream"), deadlineMS: int(chainLimit.Milliseconds()), body: fmt.Appendf(nil, "prompt %d", n),
			headers: []string{"X-Model: m", "X-Token-Count: 600,30", fmt.Sprintf("X-Prompt-Prefix: 5c1e:200,%x:400", n)}}
		if resumes != "" {
			r.headers = append(r.headers, fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: "+resumes)
		}
		return r
	}
	var broken, wentOn, newStreams, newBegun atomic.Int64
	var mu sync.Mutex
	reasons := make(map[string]int)
	var backAt atomic.Int64
	var callers sync.WaitGroup
	for n := range chainStreams {
		callers.Go(func() {
			begun := time.Now()
			first := streamRequest(n, 0, "")
			result := readStream(d.gateways[n%4].callers, first, 0)
			if result.whole || result.lastID == 0 {
				return
			}
			broken.Add(1)
			note("stream %s broke off after event %d", first.id, result.lastID)
			last := result.lastID
			for try := 1; try < chainTries && time.Since(begun) < chainLimit; try++ {
				r := streamRequest(n, last, first.id)
				result = readStream(d.gateways[(n+try)%4].callers, r, last)
				note("stream %s taken up by %s at front-%d: status %d %s, last event %d", first.id, r.id, (n+try)%4+1, result.status, result.reason, result.lastID)
				if result.status == http.StatusOK && result.lastID > last {
					wentOn.Add(1)
					return
				}
				wait := min(result.retry, (chainLimit-time.Since(begun))/3)
				if until := time.Until(time.Unix(0, backAt.Load())); until > wait {
					wait = until // An earlier one would come while no engine serves.
				}
				time.Sleep(max(wait, 50*time.Millisecond))
			}
			mu.Lock()
			reasons[fmt.Sprintf("%d %s", result.status, result.reason)]++
			mu.Unlock()
		})
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		backAt.Store(time.Now().Add(chainDowntime + time.Second).UnixNano())
		for _, e := range engines {
			e.crash()
			time.Sleep(chainGap)
		}
	}
	time.Sleep(chainDowntime + time.Second)
	for n := range chainStreams {
		callers.Go(func() {
			newStreams.Add(1)
			if result := readStream(d.gateways[n%4].callers, streamRequest(1000+n, 0, ""), 0); result.lastID > 0 {
				newBegun.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	note("%d streams broke off and were taken up, %d went on; of %d new streams %d began", broken.Load(), wentOn.Load(), newStreams.Load(), newBegun.Load())
	note("last answers to those that did not go on: %s", encode(reasons))
	if broken.Load() < 12 {
		return false
	}
	return float64(wentOn.Load())/float64(broken.Load()) < float64(newBegun.Load())/float64(newStreams.Load())/2
}
