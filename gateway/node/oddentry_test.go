package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// maxRowBytes is the size of the largest value that the store accepts.
const maxRowBytes = 64 << 10

// newAlone is newHarness for a test that runs while no other of the package does.
func newAlone(t *testing.T, vm string) *harness {
	h := newFakesAlone(t)
	h.vm = sitetest.NewVM(t, vm, "dc", h.store.Address, h.duties.Address)
	return h
}

// nested returns a JSON value of arrays within arrays.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// Guards against: an odd entry that another writer left among those of the endpoints was
// used, ended the process or kept it from following the list.
func TestOddEntryAmongTheEndpointsIsNotUsed(t *testing.T) {
	h := newAlone(t, "vm")
	current := sitetest.NewEndpoint(t, "e-first", nil)
	h.register(current, "plain", "")
	h.run()
	h.waitUntilServing(plainPath)

	for _, c := range oddRows {
		odd := sitetest.NewEndpoint(t, "odd-"+strings.ReplaceAll(c.name, " ", "-"), nil)
		h.store.PutRaw(site.TableEndpoints, odd.ID, []byte(c.row(odd.Address)))
		current = h.replaceEndpoint(current, "z-after-"+odd.ID, odd)
		for range 4 {
			require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status, c.name)
		}
		assert.Empty(t, odd.Requests(), c.name)
		h.store.Delete(site.TableEndpoints, odd.ID)
	}
}

// oddRow returns a function that returns the row of an endpoint with some odd fields.
func oddRow(slots, seq, born, more string) func(address string) string {
	return func(address string) string {
		return fmt.Sprintf(`{"service":"plain","addr":%q,"zone":"dc","version":"v1","slots":%s,"state":"ready","cold_left_ms":0,"seq":%s,"born":%s%s}`, address, slots, seq, born, more)
	}
}

// oddAddress returns a function that returns a row in which a part of the address is
// another one.
func oddAddress(part, other string) func(address string) string {
	return func(address string) string {
		host, port, _ := strings.Cut(address, ":")
		if part == "host" {
			return oddRow("8", "1", "1", "")(other + ":" + port)
		}
		return oddRow("8", "1", "1", "")(host + ":" + other)
	}
}

var oddRows = []struct {
	name string
	row  func(address string) string
}{
	{"slots too large", oddRow("1e300", "1", "1", "")},
	{"slots out of range", oddRow("1e400", "1", "1", "")},
	{"slots not whole", oddRow("1.5", "1", "1", "")},
	{"no slots", oddRow("0", "1", "1", "")},
	{"seq too large", oddRow("8", "1e30", "1", "")},
	{"negative seq", oddRow("8", "-1", "1", "")},
	{"start too large", oddRow("8", "1", "1e30", "")},
	{"negative start", oddRow("8", "1", "-5", "")},
	{"start is null", oddRow("8", "1", "null", "")},
	{"port out of range", oddAddress("port", "70000")},
	{"port 0", oddAddress("port", "0")},
	{"unspecified address", oddAddress("host", "0.0.0.0")},
	{"nested", func(string) string { return nested(maxRowBytes / 2) }},
	{"nested in models", oddRow("8", "1", "1", `,"models":`+nested(maxRowBytes/2-200))},
	{"nested slots", oddRow(nested(9000), "1", "1", "")},
	{"empty", func(string) string { return "" }},
	{"no text", func(string) string { return "\x00\xff\xfe" }},
}

// replaceEndpoint registers a new endpoint in place of another one, and waits until it is
// used, or another one is that must not be.
func (h *harness) replaceEndpoint(previous *sitetest.Endpoint, id string, unwanted ...*sitetest.Endpoint) *sitetest.Endpoint {
	h.t.Helper()
	next := sitetest.NewEndpoint(h.t, id, nil)
	h.register(next, "plain", "")
	h.store.Delete(site.TableEndpoints, previous.ID)
	h.eventually(func() bool {
		h.send(http.MethodPost, plainPath, "key", nil)
		used := len(next.Requests()) > 0
		for _, e := range unwanted {
			used = used || len(e.Requests()) > 0
		}
		return used
	})
	return next
}

// Guards against: entries of the largest size filled an answer of the store beyond what is
// read of one, and the process followed the list no longer.
func TestManyLargeEntriesDoNotEndTheFollowing(t *testing.T) {
	h := newAlone(t, "vm")
	first := sitetest.NewEndpoint(t, "e-first", nil)
	h.register(first, "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	h.store.SetDown(true)
	for i := range 60 {
		h.store.PutRaw(site.TableEndpoints, fmt.Sprintf("odd-%d", i), make([]byte, maxRowBytes))
	}
	h.store.SetDown(false)
	h.replaceEndpoint(first, "e-next")
}
