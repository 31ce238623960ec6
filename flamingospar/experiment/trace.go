package experiment

import (
	"bytes"
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed traces/*.toml
var builtin embed.FS

// Trace describes a load and the faults during it. Times are seconds from its
// beginning.
type Trace struct {
	Name    string  `toml:"name"`
	About   string  `toml:"about"`
	Seconds float64 `toml:"seconds"`
	// Load is the offered work at the first phase's rate and prefill share, as
	// part of what the fleet could do at best.
	Load         float64 `toml:"load"`
	Lead         float64 `toml:"lead"`          // From an order of an engine to its arrival.
	OutputTokens float64 `toml:"output_tokens"` // Mean.
	PrefixTokens int     `toml:"prefix_tokens"` // Of prompts that have a prefix.
	Prefixes     int     `toml:"prefixes"`      // Documents of a team.
	// From and To bound the time in which "in-window" counts; 0 and 0: all.
	From   float64 `toml:"from"`
	To     float64 `toml:"to"`
	Phases []Phase `toml:"phase"`
	Bursts []Burst `toml:"burst"`
	Faults []Fault `toml:"fault"`
}

// Phase sets the load from a time on; between two phases it changes evenly.
type Phase struct {
	At           float64 `toml:"at"`
	Rate         float64 `toml:"rate"`          // Of requests, relative to the first phase.
	PrefillShare float64 `toml:"prefill_share"` // Of the work.
}

// Burst is extra load of one team.
type Burst struct {
	At       float64 `toml:"at"`
	Seconds  float64 `toml:"seconds"`
	Team     int     `toml:"team"`     // Index in the catalogue.
	Rate     float64 `toml:"rate"`     // Of requests, as a multiple of the team's own; or
	Requests int     `toml:"requests"` // so many like ones at once, of the batch class.
	Deadline float64 `toml:"deadline"` // Seconds, for like requests.
}

// The kinds of faults.
const (
	faultWithdraw     = "withdraw"      // The platform takes engines back after a notice.
	faultCrash        = "crash"         // Engines end at once and come back empty.
	faultDropCaches   = "drop_caches"   // All prefix caches are emptied.
	faultStore        = "store_outage"  // The platform's store answers nobody: no capacity order is sent.
	faultSlow         = "slow"          // Engines take Factor times as long.
	faultStuck        = "stuck_reports" // Load reports repeat their last value.
	faultLying        = "lying_reports" // Load reports say idle.
	faultMissing      = "no_reports"    // No load reports arrive.
	faultClocks       = "clock_skew"    // Agents' clocks are off by Factor seconds.
	withdrawalNotice  = 20.0            // Seconds.
	crashRestartAfter = 10.0            // Seconds.
)

// Fault is one fault.
type Fault struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at"`
	Seconds float64 `toml:"seconds"` // 0: to the end.
	Engines float64 `toml:"engines"` // Part of the engines hit.
	Factor  float64 `toml:"factor"`
}

// LoadTrace reads a trace from a file, or the built-in one of that name.
func LoadTrace(name string) (Trace, error) {
	data, err := builtin.ReadFile("traces/" + name + ".toml")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return Trace{}, fmt.Errorf("trace %s: %w; remedy: name a TOML file or one of %s", name, err, strings.Join(BuiltinTraces(), ", "))
	}
	return parseTrace(name, data)
}

// BuiltinTraces lists the traces that come with the program.
func BuiltinTraces() []string {
	files, _ := fs.Glob(builtin, "traces/*.toml")
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

func parseTrace(name string, data []byte) (Trace, error) {
	trace := Trace{OutputTokens: 80, PrefixTokens: 256, Prefixes: 100}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&trace); err != nil {
		return Trace{}, fmt.Errorf("trace %s: %w; remedy: correct the key", name, err)
	}
	if trace.Seconds <= 0 || trace.Load <= 0 || len(trace.Phases) == 0 {
		return Trace{}, fmt.Errorf("trace %s: seconds, load and a phase are needed; remedy: add them", name)
	}
	if trace.To == 0 {
		trace.To = trace.Seconds
	}
	return trace, nil
}

// at returns the relative rate and the prefill share at a time.
func (t Trace) at(seconds float64) (rate, share float64) {
	previous := t.Phases[0]
	for _, phase := range t.Phases {
		if phase.At > seconds {
			part := (seconds - previous.At) / (phase.At - previous.At)
			return previous.Rate + part*(phase.Rate-previous.Rate),
				previous.PrefillShare + part*(phase.PrefillShare-previous.PrefillShare)
		}
		previous = phase
	}
	return previous.Rate, previous.PrefillShare
}

// longestDeadline returns the longest deadline of the trace's like requests.
func (t Trace) longestDeadline() float64 {
	longest := 0.0
	for _, burst := range t.Bursts {
		longest = max(longest, burst.Deadline)
	}
	return longest
}

// ends returns when a fault ends in a trace of some length.
func (f Fault) ends(seconds float64) float64 {
	if f.Seconds <= 0 {
		return seconds
	}
	return f.At + f.Seconds
}
