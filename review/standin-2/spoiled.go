package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load and the trouble of the case spoiled, within garble of the site files: share 0.35,
// x 0.02, for_s 5.5.
const (
	spoiledCallers = 40
	spoiledPause   = 20 * time.Millisecond
	spoiledBefore  = 3 * time.Second
	spoiledFor     = 5500 * time.Millisecond
	spoiledAfter   = 3 * time.Second
	spoiledShare   = 0.35
	spoiledEvery   = 50 // One answer of so many.
	sealName       = "X-Engine-Seal"
	spoiledName    = "X-Engine-Sebm" // Two wrong bytes.
)

// spoiler changes bytes in some of the answers of an engine as they are sent.
type spoiler struct {
	active  atomic.Bool
	answers atomic.Int64
	spoiled atomic.Int64
}

// listener returns a listener whose connections write spoiled answers.
func (s *spoiler) listener(inner net.Listener) net.Listener { return spoilingListener{inner, s} }

type spoilingListener struct {
	net.Listener
	spoiler *spoiler
}

func (l spoilingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return spoilingConn{conn, l.spoiler}, nil
}

type spoilingConn struct {
	net.Conn
	spoiler *spoiler
}

// Write writes a part of an answer, in some with wrong bytes in its head.
func (c spoilingConn) Write(data []byte) (int, error) {
	if at := bytes.Index(data, []byte(sealName)); at >= 0 && c.spoiler.active.Load() && c.spoiler.answers.Add(1)%spoiledEvery == 0 {
		c.spoiler.spoiled.Add(1)
		data = bytes.Replace(data, []byte(sealName), []byte(spoiledName), 1)
	}
	return c.Conn.Write(data)
}

// runSpoiled has some engines hand out wrong bytes: in the name of the header with the seal.
// Rule MIXED: a requester gets a success without the engine's seal.
func runSpoiled(dir string, r *recorder, trouble bool) int {
	spoilers := map[string]*spoiler{}
	wrapListener = func(e *engine, inner net.Listener) net.Listener {
		s := &spoiler{}
		spoilers[e.id] = s
		return s.listener(inner)
	}
	_, _, engines, gateways := smallSite(dir, answerStream(5, 30*time.Millisecond, 10*time.Millisecond), answerPlain(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), spoiledBefore+spoiledFor+spoiledAfter)
	defer cancel()
	var wait sync.WaitGroup
	var sent, successes, withoutSeal, failures atomic.Int64
	for i := range spoiledCallers {
		wait.Go(func() {
			client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for ctx.Err() == nil {
				id := fmt.Sprintf("%016x", requestCounter.Add(1))
				path, deadline := []string{"/lodge/x", "/status/x", "/brief/x"}[i%3], "1500"
				header := map[string]string{"X-Request-Id": id, "X-Api-Key": "nu6wsjnbanfqasnmgkcu"}
				if path == "/brief/x" {
					deadline = "8000"
					header["X-Model"], header["X-Token-Count"], header["X-Prompt-Prefix"] = "m", "826,29", "5c1e07a2:198,"+id+":628"
				}
				header["X-Deadline-Ms"] = deadline
				request, _ := http.NewRequest(http.MethodPost, "http://"+gateways[i%len(gateways)].front+path, strings.NewReader("body"))
				request.Host = "ficu95.example"
				for name, value := range header {
					request.Header.Set(name, value)
				}
				sent.Add(1)
				response, err := client.Do(request)
				if err != nil {
					failures.Add(1)
					continue
				}
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				switch {
				case err != nil || response.StatusCode/100 != 2:
					failures.Add(1)
				case response.Header.Get(sealName) == "":
					withoutSeal.Add(1)
					r.line("request %s to %s at %s: status %d without %s; its headers: %v", id, path, gateways[i%len(gateways)].name, response.StatusCode, sealName, response.Header)
				default:
					successes.Add(1)
				}
				time.Sleep(spoiledPause)
			}
		})
	}
	time.Sleep(spoiledBefore)
	perService := map[string]int{}
	for _, e := range engines {
		perService[e.service]++
	}
	chosen := map[string]int{}
	for _, e := range engines {
		if trouble && float64(chosen[e.service]+1) <= spoiledShare*float64(perService[e.service]) {
			chosen[e.service]++
			r.line("engine %s of %s hands out wrong bytes in one answer of %d for %v", e.id, e.service, spoiledEvery, spoiledFor)
			spoilers[e.id].active.Store(true)
		}
	}
	time.Sleep(spoiledFor)
	spoiled := int64(0)
	for _, s := range spoilers {
		s.active.Store(false)
		spoiled += s.spoiled.Load()
	}
	wait.Wait()
	r.line("sent %d, answered with success and seal %d, spoiled by engines %d, success without seal %d, otherwise %d", sent.Load(), successes.Load(), spoiled, withoutSeal.Load(), failures.Load())
	if withoutSeal.Load() > 0 {
		r.line("BROKEN: requesters got %d successes without the engine's seal", withoutSeal.Load())
		return broken
	}
	r.line("held: no requester got a success without the engine's seal")
	return held
}
