package node_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// fields are fields of a part of a configuration with odd values.
type fields map[string][]any

var (
	oddWholeNumbers = []any{-1, 0, int64(math.MaxInt64), int64(math.MinInt64), nil}
	oddNumbers      = []any{-1, 0, 1e-300, 1e300, -1e300, nil}

	oddRouteFields = fields{
		"timeout_ms": oddNumbers, "goal_ms": oddNumbers, "gap_aim_ms": oddNumbers, "priority": oddWholeNumbers, "max_attempts": oddWholeNumbers,
		"kind": {"", "other", nil}, "resumable": {true, false}, "sticky": {true, false}, "service": {"", "none", nil}, "host": {""}, "path_prefix": {"", "x"},
		"split": {[]any{}, splitOf("", 1), splitOf("none", 1), splitOf("plain", 0), splitOf("plain", -1), splitOf("plain", math.MaxFloat64)},
	}
	oddServiceFields = fields{"name": {"", "plain"}, "max_conns": oddWholeNumbers, "engine": {nil, map[string]any{}}, "scale": {nil, map[string]any{}}}
	oddEngineFields  = fields{
		"slots": oddWholeNumbers, "kv_tokens": oddWholeNumbers, "kv_token_bytes": oddNumbers, "stride": oddWholeNumbers,
		"kv_hold_s": oddNumbers, "swap_s": oddNumbers, "moves": {true}, "backups": {true},
	}
	oddScaleFields = fields{"min": oddWholeNumbers, "max": oddWholeNumbers, "boot_s": oddNumbers}
	oddLimitFields = fields{"max_header_bytes": oddWholeNumbers, "max_body_bytes": oddWholeNumbers, "header_timeout_ms": oddNumbers, "idle_timeout_ms": oddNumbers}
	oddTeamFields  = fields{"name": {""}, "api_keys": {nil, []any{}, []any{""}}, "priority": oddWholeNumbers}
	oddTopFields   = fields{"services": {nil, []any{}, []any{map[string]any{}}}, "limits": {nil, map[string]any{}}, "tenants": {nil, []any{}, []any{map[string]any{}}}}
)

func splitOf(service string, weight float64) []any {
	target := map[string]any{"service": service, "weight": weight}
	return []any{target, target}
}

// oddChanges are changes of one field each.
func oddChanges() map[string]sitetest.Change {
	changes := make(map[string]sitetest.Change)
	add := func(part string, odd fields, parts func(manifest map[string]any) []any) {
		for field, values := range odd {
			for _, value := range values {
				changes[fmt.Sprintf("%s.%s=%v", part, field, value)] = func(manifest map[string]any) {
					for _, p := range parts(manifest) {
						p.(map[string]any)[field] = value
					}
				}
			}
		}
	}
	list := func(field string) func(map[string]any) []any {
		return func(manifest map[string]any) []any { return manifest[field].([]any) }
	}
	inServices := func(field string) func(map[string]any) []any {
		return func(manifest map[string]any) (parts []any) {
			for _, service := range list("services")(manifest) {
				part, _ := service.(map[string]any)[field].(map[string]any)
				if part == nil {
					part = map[string]any{}
					service.(map[string]any)[field] = part
				}
				parts = append(parts, part)
			}
			return parts
		}
	}
	add("routes", oddRouteFields, list("routes"))
	add("services", oddServiceFields, list("services"))
	add("engine", oddEngineFields, inServices("engine"))
	add("scale", oddScaleFields, inServices("scale"))
	add("limits", oddLimitFields, func(manifest map[string]any) []any { return []any{manifest["limits"]} })
	add("teams", oddTeamFields, list("tenants"))
	add("configuration", oddTopFields, func(manifest map[string]any) []any { return []any{manifest} })
	return changes
}

// markedRoute adds a public route, by which a test sees that a configuration is in force.
func markedRoute(prefix string) sitetest.Change {
	return func(manifest map[string]any) {
		manifest["routes"] = append(manifest["routes"].([]any), map[string]any{
			"name": "marked", "host": "h.example", "path_prefix": prefix, "kind": "idempotent", "service": "none", "public": true,
		})
	}
}

// Guards against requests without an answer: each one gets a response while a configuration
// with an odd field comes into force, and after that.
func TestNoRequestIsUnansweredBesideAnOddConfiguration(t *testing.T) {
	h := newHarness(t)
	serve := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(40 * time.Millisecond)
		fmt.Fprint(w, wantedBody(r.RequestURI))
	}
	h.register(sitetest.NewEndpoint(t, "p1", serve), "plain", "")
	h.register(sitetest.NewEndpoint(t, "m1", serve), "model", "decode")
	h.register(sitetest.NewEndpoint(t, "m2", serve), "model", "prefill")
	h.run()
	h.waitUntilServing(plainPath)
	var running sync.WaitGroup
	version := 1
	for name, change := range oddChanges() {
		version++
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(version, "key"))
		h.startAnswered(&running, name+", before")
		time.Sleep(20 * time.Millisecond) // Some are under way, some are not read yet.
		version++
		marked := fmt.Sprintf("/marked%d/", version)
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(version, "key"), change, markedRoute(marked)))
		h.startAnswered(&running, name+", during")
		h.eventually(func() bool {
			status := h.send(http.MethodGet, marked, "key", nil).status
			return status != http.StatusNotFound && status != 0
		})
		h.startAnswered(&running, name+", after")
	}
	running.Wait()
}

// startAnswered sends a request of each kind, which must get a whole response.
func (h *harness) startAnswered(running *sync.WaitGroup, name string) {
	for _, kind := range requestKinds {
		running.Go(func() {
			got := h.send(kind.method, kind.path, "key", func(r *http.Request) {
				if kind.change != nil {
					kind.change(r)
				}
			})
			assert.NoError(h.t, got.err, "%s: %s", name, kind.name)
		})
	}
}
