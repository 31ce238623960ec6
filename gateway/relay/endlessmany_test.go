package relay_test

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// discarding is the connection of a caller that reads all.
type discarding struct{ header http.Header }

func (d discarding) Header() http.Header         { return d.header }
func (d discarding) Write(p []byte) (int, error) { return len(p), nil }
func (d discarding) WriteHeader(int)             {}
func (d discarding) Flush()                      {}

// Guards against a process that runs out of memory, with the requests of all its callers, since a
// faulty endpoint sends without end: many requests at once are kept within the memory of a VM.
func TestEndlessAnswersToManyRequestsFitTheMemoryOfAVM(t *testing.T) {
	const (
		requests = 400
		maxBytes = 284 << 20 // The memory of an entry VM of the users.
	)
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + sitetest.HeaderRequestID + ": " + id + "\r\nContent-Type: text/event-stream\r\n" + sitetest.HeaderEngineSeal + ": s\r\n"
	}
	for name, c := range map[string]struct {
		first func(id string) string
		unit  string
	}{
		"no answer":       {func(string) string { return "" }, "x"},
		"header line":     {func(id string) string { return head(id) + "X-More: " }, "x"},
		"headers":         {head, "X-More: y\r\n"},
		"interim answers": {func(string) string { return "" }, "HTTP/1.1 103 Early Hints\r\nX-More: y\r\n\r\n"},
		"chunk size":      {func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "0"},
		"chunk extension": {func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n1;" }, "x"},
		"trailer":         {func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: " }, "x"},
		"event":           {func(id string) string { return head(id) + "\r\nid: 1\ndata: " }, "x"},
		"event ID":        {func(id string) string { return head(id) + "\r\nid: " }, "1"},
		"events":          {func(id string) string { return head(id) + "\r\n" }, "id: 1\ndata: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := sitetest.NewEndlessEndpoint(t, c.first, c.unit)
			r := newRelay()
			r.Selector.EndpointChanged(site.Endpoint{ID: "p", Service: "plain", Address: e.Address, DataCentre: "dc-1", Slots: requests, StartedMS: 1})
			addModel(r, "m", e.Address, requests)
			var running sync.WaitGroup
			for i := range requests {
				job := newStreamJob()
				if i%2 == 0 {
					job = newJob(site.NonIdempotent)
				}
				job.Deadline = time.Now().Add(time.Second)
				running.Go(func() {
					defer func() { _ = recover() }() // A caller whose answer has begun is aborted.
					r.Serve(t.Context(), discarding{http.Header{}}, job)
				})
			}
			done := make(chan struct{})
			go func() {
				running.Wait()
				close(done)
			}()
			most := uint64(0)
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(20 * time.Millisecond):
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				most = max(most, stats.HeapInuse)
			}
			t.Logf("%d MB", most>>20)
			require.Less(t, most, uint64(maxBytes))
		})
	}
}
