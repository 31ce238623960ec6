package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case manyparts.
const (
	manyPartsTime    = 100 * time.Second
	ordinaryCallers  = 12
	maxHeaderBytes   = 16384
	headerLeftOver   = 700 // For the other fields of the header.
	partEntryBytes   = len("123456:1,")
	troublePause     = 20 * time.Millisecond
	ordinaryPause    = 200 * time.Millisecond
	timesOnAMachine  = 3
	machinesAffected = 2
)

// manifest returns a configuration like that of shedline-wa.
func manifest(version int) map[string]any {
	route := func(name, path, kind, service string, timeout, goal int, more map[string]any) map[string]any {
		route := map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeout, "goal_ms": goal,
			"priority": 1, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}
		for key, value := range more {
			route[key] = value
		}
		return route
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("code-check", "/code/", "stream", "assessor", 10000, 600, map[string]any{"sticky": true, "gap_aim_ms": 300}),
			route("objection-brief", "/brief/", "stream", "assessor", 8000, 300, map[string]any{"sticky": true, "resumable": true, "max_attempts": 2, "gap_aim_ms": 300}),
			route("lodge-submit", "/lodge/", "non_idempotent", "lodgement", 1500, 300, nil),
			route("status-lookup", "/status/", "idempotent", "lodgement", 1500, 300, map[string]any{"max_attempts": 2}),
		},
		"services": []any{
			map[string]any{"name": "assessor", "health_path": "/healthz", "max_conns": 360, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 524759, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 14, "most": 12, "kv_hold_s": 5.0, "swap_s": 3.0,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "lodgement", "health_path": "/healthz", "max_conns": 100, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"3fexd9dnn2ctnfzs989a"}, "priority": 1}, map[string]any{"name": "fida11", "api_keys": []string{"nu6wsjnbanfqasnmgkcu"}, "priority": 1}},
	}
}

// smallSite starts the store, the platform, the engines of shedline-wa and four gateways.
func smallSite(dir string, stream, plain func(*engine, http.ResponseWriter, *http.Request)) (*store, *duties, []*engine, []*gateway) {
	s, d := newStore("127.0.1.1"), newDuties("127.0.1.2")
	s.put("op", "config", manifest(7))
	zones := []string{"perth-a", "perth-b", "perth-c"}
	var engines []*engine
	for i := range 9 {
		engines = append(engines, newEngine(s, fmt.Sprintf("127.0.64.%d", 1+i), fmt.Sprintf("i-7f3a91c%d", i), "assessor", zones[i%3], "v1", "decode", 64, stream))
	}
	for i := range 3 {
		engines = append(engines, newEngine(s, fmt.Sprintf("127.0.65.%d", 1+i), fmt.Sprintf("i-02d9e6b%d", i), "lodgement", zones[i%3], "v1", "", 6, plain))
	}
	gateways := newGateways(dir, 4, s, d)
	for _, g := range gateways {
		g.start()
		cleanups = append(cleanups, g.close)
	}
	awaitReady(gateways)
	time.Sleep(3 * time.Second)
	return s, d, engines, gateways
}

// requestCounter numbers requests.
var requestCounter atomic.Int64

// send sends a request and returns the status of its whole answer, 0 if it had none.
func send(client *http.Client, g *gateway, method, path, body string, header map[string]string) (int, error) {
	request, err := http.NewRequest(method, "http://"+g.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", requestCounter.Add(1)))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// finePrefix returns a prompt prefix of many parts of one token each that no other prompt has.
func finePrefix(number int64) (prefix string, tokens int) {
	count := (maxHeaderBytes - headerLeftOver) / partEntryBytes
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%06x:1", (number*int64(count)+int64(i))&0xffffff)
	}
	return text.String(), count
}

// samePrefix returns a prompt prefix of the same part of one token many times over, and a last
// part of its own.
func samePrefix(number int64) (prefix string, tokens int) {
	count := (maxHeaderBytes - headerLeftOver) / len("a:1,")
	return strings.Repeat("a:1,", count-1) + fmt.Sprintf("%x:1", number), count
}

// runManyParts sends prompts of many small parts that no other prompt has.
func runManyParts(dir string, r *recorder, trouble bool) int {
	return runParts(dir, r, trouble, finePrefix, 32)
}

// runSameParts sends prompts of the same small part many times over.
func runSameParts(dir string, r *recorder, trouble bool) int {
	return runParts(dir, r, trouble, samePrefix, 256)
}

// runParts sends requests within all limits of the pages whose prompts have many small
// parts. Rule Fault: processes end by themselves, memory over the limit included.
func runParts(dir string, r *recorder, trouble bool, prefixOf func(int64) (string, int), troubleCallers int) int {
	_, _, engines, gateways := smallSite(dir, answerStream(5, 30*time.Millisecond, 10*time.Millisecond), answerPlain(20*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), manyPartsTime)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range gateways {
		wait.Go(func() { g.watchMemory(ctx, r) })
	}
	var ordinary, ordinaryServed, fine, fineServed atomic.Int64
	for i := range ordinaryCallers {
		wait.Go(func() {
			client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for ctx.Err() == nil {
				g := gateways[i%len(gateways)]
				ordinary.Add(1)
				prefix := fmt.Sprintf("5c1e07a2:5382,%08x:800", requestCounter.Load())
				status, _ := send(client, g, http.MethodPost, "/brief/x", "prompt", map[string]string{
					"X-Api-Key": "nu6wsjnbanfqasnmgkcu", "X-Deadline-Ms": "8000", "X-Model": "m", "X-Token-Count": "6182,29", "X-Prompt-Prefix": prefix,
				})
				if status == http.StatusOK {
					ordinaryServed.Add(1)
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	if trouble {
		for i := range troubleCallers {
			wait.Go(func() {
				client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				for ctx.Err() == nil {
					prefix, tokens := prefixOf(fine.Add(1))
					status, _ := send(client, gateways[i%len(gateways)], http.MethodPost, "/code/x", "prompt", map[string]string{
						"X-Api-Key": "3fexd9dnn2ctnfzs989a", "X-Deadline-Ms": "10000", "X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,38", tokens), "X-Prompt-Prefix": prefix,
					})
					if status == http.StatusOK {
						fineServed.Add(1)
					}
					time.Sleep(troublePause)
				}
			})
		}
	}
	for ctx.Err() == nil {
		time.Sleep(3 * time.Second)
		line := ""
		for _, g := range gateways {
			line += fmt.Sprintf(" %s %d MB", g.name, residentMB(g.pid()))
		}
		r.line("ordinary %d of %d served, with many parts %d of %d;%s", ordinaryServed.Load(), ordinary.Load(), fineServed.Load(), fine.Load(), line)
		if endedOften(gateways) >= machinesAffected {
			cancel()
		}
	}
	wait.Wait()
	runs := 0
	for _, e := range engines {
		runs += len(e.arrivals)
	}
	r.line("engines got %d requests", runs)
	for _, g := range gateways {
		r.line("%s: most memory %d MB of %d; over it %d times, ended by itself %d times", g.name, g.peakMB.Load(), ramMB, g.overMemory.Load(), g.endedAlone.Load())
	}
	affected := endedOften(gateways)
	if affected >= machinesAffected {
		r.line("BROKEN: processes ended by themselves %d times or more on %d machines of %d", timesOnAMachine, affected, len(gateways))
		return broken
	}
	r.line("held: processes ended by themselves %d times or more on %d machines", timesOnAMachine, affected)
	return held
}

// endedOften returns the number of machines on which processes ended by themselves, memory over
// the limit included, as often as the rule says.
func endedOften(gateways []*gateway) int {
	machines := 0
	for _, g := range gateways {
		if g.overMemory.Load()+g.endedAlone.Load() >= timesOnAMachine {
			machines++
		}
	}
	return machines
}
